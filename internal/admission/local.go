package admission

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/outcome"
	"masticturn/internal/steering"
	"masticturn/internal/telemetry"
	"masticturn/internal/wait"
)

// tickEvery is how often queues are looked at for requests that wait too long.
const tickEvery = 10 * time.Millisecond

// Local admits by what this VM alone knows: own permits, own outcomes and
// reported load. It serves the policies that need no broker.
type Local struct {
	deps  Deps
	meter *meter
	seq   atomic.Uint64
	mu    sync.RWMutex // guards pools, not their content
	pools map[string]*localPool
}

var _ Admitter = (*Local)(nil)

// localPool is the pool of one service.
type localPool struct {
	service  string
	logger   *telemetry.Logger
	mu       sync.Mutex
	core     *core
	snapshot *config.Snapshot
	waiters  map[*steering.Request]*waiter
}

// waiter is a request that waits for its decision.
type waiter struct {
	item     *steering.Item
	decision steering.Decision
	target   *config.TargetIndex
	done     chan struct{}
}

// NewLocal returns an admitter without brokers. Run must be called for
// requests to leave its queues in time.
func NewLocal(deps Deps) *Local { return newLocal(deps, newMeter(deps.Metrics)) }

func newLocal(deps Deps, m *meter) *Local {
	return &Local{deps: deps, meter: m, pools: make(map[string]*localPool)}
}

// Run looks after the queues until the context is done.
func (l *Local) Run(ctx context.Context) {
	wait.Every(ctx, tickEvery, l.tick)
}

func (l *Local) tick() {
	l.mu.RLock()
	pools := make([]*localPool, 0, len(l.pools))
	for _, p := range l.pools {
		pools = append(pools, p)
	}
	l.mu.RUnlock()
	for _, p := range pools {
		p.mu.Lock()
		p.core.tick(l.deps.Targets.View(), l.deps.Clock.Now())
		p.deliver()
		p.mu.Unlock()
	}
}

// Acquire implements Admitter.
func (l *Local) Acquire(ctx context.Context, r *Request) (Permit, error) {
	pool := l.pool(l.deps.Config.Current(), r.Service)
	arrived := l.deps.Clock.Now()
	req := &steering.Request{
		Key:          steering.Key{Holder: l.deps.VM.Name, Seq: l.seq.Add(1)},
		Class:        r.Class.Name,
		Tenant:       r.Tenant,
		CallerRegion: r.CallerRegion,
		Zone:         l.deps.VM.Zone,
		Bytes:        r.Bytes,
		Deadline:     r.Deadline,
		Exclude:      r.Exclude,
		Retry:        r.Retry,
	}
	w := pool.arrive(l, req)
	if err := pool.wait(ctx, l, req, w); err != nil {
		l.meter.shed(r, err.Reason)
		return nil, err
	}
	now := l.deps.Clock.Now()
	l.meter.waited(r, now.Sub(arrived))
	return &localPermit{local: l, request: r, pool: pool, target: w.target, shifted: w.decision.Shifted, since: now}, nil
}

// pool returns the pool of a service, with the given document in force.
func (l *Local) pool(s *config.Snapshot, svc *config.ServiceIndex) *localPool {
	l.mu.RLock()
	p := l.pools[svc.Name]
	l.mu.RUnlock()
	if p == nil {
		p = l.addPool(s, svc)
	}
	return p
}

func (l *Local) addPool(s *config.Snapshot, svc *config.ServiceIndex) *localPool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.pools[svc.Name]; p != nil {
		return p
	}
	now := l.deps.Clock.Now()
	p := &localPool{
		service:  svc.Name,
		logger:   l.deps.Logger,
		core:     newCore(s, svc, l.poolConfig(s, svc), now),
		snapshot: s,
		waiters:  make(map[*steering.Request]*waiter),
	}
	p.core.refresh(l.deps.Targets.View(), now)
	l.pools[svc.Name] = p
	return p
}

func (l *Local) poolConfig(s *config.Snapshot, svc *config.ServiceIndex) steering.PoolConfig {
	policy := steering.PolicyName(s.Document.Steering.Policy)
	return poolConfig(s, svc, l.deps.VM.Region, l.deps.VM.Name, policy)
}

// arrive hands a request to the pool. Decisions about other requests that it
// causes are delivered.
func (p *localPool) arrive(l *Local, r *steering.Request) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := l.deps.Clock.Now()
	p.adopt(l, now)
	p.core.refresh(l.deps.Targets.View(), now)
	w := &waiter{done: make(chan struct{})}
	p.waiters[r] = w
	w.item = p.core.pool.Arrive(r, now)
	p.deliver()
	return w
}

// adopt puts the document in force when it is a new one.
func (p *localPool) adopt(l *Local, now time.Time) {
	s := l.deps.Config.Current()
	if s == p.snapshot {
		return
	}
	svc := s.Service(p.service)
	if svc == nil {
		return
	}
	p.snapshot = s
	for _, it := range p.core.reconfigure(s, svc, l.poolConfig(s, svc), now) {
		if w := p.waiters[it.Request]; w != nil {
			w.item = it
		}
	}
}

// deliver hands out the pool's decisions.
func (p *localPool) deliver() {
	for _, n := range p.core.takeNotes() {
		n.log(p.logger, p.service)
	}
	for _, d := range p.core.pool.TakeDecisions() {
		w := p.waiters[d.Request]
		delete(p.waiters, d.Request)
		w.decision = d
		if d.Target != nil {
			w.target = p.core.targets[d.Target.Name]
		}
		close(w.done)
	}
}

// wait returns when the request is decided or the context is done.
func (p *localPool) wait(ctx context.Context, l *Local, r *steering.Request, w *waiter) *outcome.Error {
	select {
	case <-w.done:
	case <-ctx.Done():
		if p.cancel(l, r, w) {
			return notRun(outcomeLeft, 0)
		}
	}
	if w.decision.Target == nil {
		return notRun(string(w.decision.Reason), w.decision.RetryAfter)
	}
	return nil
}

// cancel takes a request out; it reports false when it was decided meanwhile.
func (p *localPool) cancel(l *Local, r *steering.Request, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, waits := p.waiters[r]; !waits {
		return false
	}
	delete(p.waiters, r)
	p.core.pool.Cancel(w.item, l.deps.Clock.Now())
	return true
}

// outcomeLeft is the reason when the caller left or its time was over.
const outcomeLeft = "the caller left or its time was over"

func notRun(reason string, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Step:       outcome.StepAdmit,
		Reason:     reason,
		RetryAfter: retryAfter,
		Status:     http.StatusServiceUnavailable,
	}
}

// localPermit is a slot given out by a Local.
type localPermit struct {
	local   *Local
	request *Request
	pool    *localPool
	target  *config.TargetIndex
	shifted bool
	since   time.Time
	once    sync.Once
}

var _ Permit = (*localPermit)(nil)

// Target implements Permit.
func (p *localPermit) Target() *config.TargetIndex { return p.target }

// Shifted implements Permit.
func (p *localPermit) Shifted() bool { return p.shifted }

// Release implements Permit. A second call does nothing.
func (p *localPermit) Release(r Result) {
	p.once.Do(func() {
		observe(p.local.deps.Targets, p.target.Name, r)
		now := p.local.deps.Clock.Now()
		p.local.meter.released(p.request, now.Sub(p.since))
		p.pool.mu.Lock()
		defer p.pool.mu.Unlock()
		p.pool.core.release(p.target.Name, p.local.deps.VM.Name, now.Sub(p.since), r, now)
		p.pool.deliver()
	})
}

package placement

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/outcome"
	"masticturn/internal/peer"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "placement"

// lookAgain is how often queues are looked at without an event: what is
// believed of other VMs' requests ages by itself.
const lookAgain = 10 * time.Millisecond

// Views hands out what is believed of targets.
type Views interface {
	View() *discovery.View
	SubscribeView(f func(*discovery.View)) (cancel func())
}

// Deps is what an Admitter needs.
type Deps struct {
	Views   Views
	Members membership.Source
	Network peer.Network
	Settled func() bool // whether this VM knows the other VMs
	VM      settings.VM
	Bounds  settings.Bounds
	Policy  Policy // how targets are chosen
	Clock   kernel.Clock
	Logger  *telemetry.Logger
	Metrics *metrics.Set
}

// Admitter gives out slots at targets by pools of this VM alone.
type Admitter struct {
	deps    Deps
	cancel  []func()
	telling sync.WaitGroup
	metrics meter
	toldOn  chan struct{} // a VM below told something

	mu     sync.Mutex
	pools  map[string]*servicePool
	fleet  Fleet
	teller *Teller
}

// servicePool is the pool of one service with who waits for it.
type servicePool struct {
	*Pool
	name    string
	waiters map[*Waiting]chan struct{} // closed when the request is decided
	ticking bool
}

var (
	_ admission.Admitter = (*Admitter)(nil)
	_ admission.Expecter = (*Admitter)(nil)
	_ kernel.Service     = (*Admitter)(nil)
)

// NewAdmitter returns an admitter; it follows the views once started.
func NewAdmitter(d Deps) *Admitter {
	a := &Admitter{
		deps:    d,
		metrics: newMeter(d.Metrics),
		toldOn:  make(chan struct{}, 1),
		pools:   make(map[string]*servicePool),
		teller:  NewTeller(),
	}
	d.Network.Handle(peer.KindUseReport, a.hearReport)
	d.Network.Handle(peer.KindUseSum, a.hearSum)
	return a
}

// Provision implements kernel.Service.
func (a *Admitter) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (a *Admitter) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	a.cancel = append(a.cancel, cancel)
	a.telling.Go(func() { a.tellLoop(ctx) })
	a.cancel = append(a.cancel,
		a.deps.Views.SubscribeView(a.adopt),
		a.deps.Members.Subscribe(func(*membership.View) { a.setFleet() }))
	a.setFleet()
	if v := a.deps.Views.View(); v != nil {
		a.adopt(v)
	}
	return nil
}

// Drain implements kernel.Service. Requests in flight still need slots.
func (a *Admitter) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (a *Admitter) Stop(context.Context) error {
	for _, cancel := range a.cancel {
		cancel()
	}
	a.telling.Wait()
	return nil
}

// setFleet tells the pools about the other VMs.
func (a *Admitter) setFleet() {
	f := Fleet{Self: a.deps.VM.Name, ColdFactor: a.deps.Bounds.ColdFactor, ColdSlack: a.deps.Bounds.ColdSlack}
	if a.deps.Settled() {
		for _, m := range a.deps.Members.View().Members {
			f.VMs = append(f.VMs, VM{m.Name, m.Region})
		}
	}
	a.place(a.deps.Members.View())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleet = f
	for _, p := range a.pools {
		p.SetFleet(f)
	}
}

func (a *Admitter) adopt(v *discovery.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	for _, svc := range v.Snapshot.Services() {
		p := a.pools[svc.Name]
		if p == nil {
			p = &servicePool{
				Pool: NewPool(Options{
					Region: a.deps.VM.Region,
					Policy: a.deps.Policy,
					Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
				}),
				name:    svc.Name,
				waiters: make(map[*Waiting]chan struct{}),
			}
			p.SetFleet(a.fleet)
			a.pools[svc.Name] = p
		}
		p.SetTargets(svc, v)
		a.serve(p, now)
	}
}

// serve decides on requests that wait; a.mu is held.
func (a *Admitter) serve(p *servicePool, now time.Time) {
	for _, w := range p.Serve(now) {
		if done := p.waiters[w]; done != nil {
			delete(p.waiters, w)
			close(done)
		}
	}
	a.tick(p)
}

// tick looks at a queue again a little later, as long as somebody waits; a.mu
// is held.
func (a *Admitter) tick(p *servicePool) {
	if p.ticking || p.Queued() == 0 {
		return
	}
	p.ticking = true
	time.AfterFunc(lookAgain, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		p.ticking = false
		a.serve(p, a.deps.Clock.Now())
	})
}

// Acquire implements admission.Admitter.
func (a *Admitter) Acquire(ctx context.Context, r *admission.Request) (admission.Permit, error) {
	ask := &Ask{
		ID:       r.ID,
		Key:      r.ObjectKey,
		Rule:     r.Rule,
		Priority: r.Class.Priority,
		Exclude:  r.Exclude,
		Arrived:  r.Arrived,
		Deadline: r.Deadline,
	}
	p, w, done := a.admit(r.Service, ask)
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			a.leave(p, w)
		}
	}
	if w.Refused != nil {
		return nil, a.refuse(r, ask, w.Refused)
	}
	waited := a.deps.Clock.Now().Sub(ask.Arrived)
	a.metrics.placed(r, w.Placed, waited)
	a.logPlaced(r, ask, w.Placed, waited)
	return &permit{admitter: a, pool: p, at: w.Placed, index: w.Placed.index}, nil
}

// admit hands a request to its pool. The channel is closed when it is decided;
// nil when it is already.
func (a *Admitter) admit(svc *config.ServiceIndex, ask *Ask) (*servicePool, *Waiting, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[svc.Name]
	if p == nil {
		return nil, &Waiting{Ask: ask, Refused: &Refusal{Reason: reasonNoTarget, RetryAfter: retryUnknown}}, nil
	}
	now := a.deps.Clock.Now()
	w := p.Enqueue(ask, now)
	a.serve(p, now)
	if w.decided() {
		return p, w, nil
	}
	done := make(chan struct{})
	p.waiters[w] = done
	return p, w, done
}

// leave takes a request out whose caller waits no more. One that was placed
// meanwhile keeps its place.
func (a *Admitter) leave(p *servicePool, w *Waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Cancel(w) {
		delete(p.waiters, w)
	}
}

func (a *Admitter) logPlaced(r *admission.Request, ask *Ask, at *Placed, waited time.Duration) {
	a.deps.Logger.Log(eventPlaced,
		telemetry.Value("request_id", ask.ID),
		telemetry.Peer(at.index.Name),
		telemetry.Value("service", r.Service.Name),
		telemetry.Value("object", ask.Key),
		telemetry.Value("rank", at.rank),
		telemetry.Value("known", at.known),
		telemetry.Value("region", at.index.Region),
		telemetry.Value("own", at.own),
		telemetry.Value("others", at.others),
		telemetry.Value("slots", at.index.Slots),
		telemetry.Value("age_ms", at.age.Milliseconds()),
		telemetry.Value("waited_ms", waited.Milliseconds()))
}

// refuse says no to a request that was not run.
func (a *Admitter) refuse(r *admission.Request, ask *Ask, why *Refusal) *outcome.Error {
	a.metrics.refused(r, why.Reason)
	a.deps.Logger.Log(eventRefused,
		telemetry.Value("request_id", ask.ID),
		telemetry.Value("service", r.Service.Name),
		telemetry.Value("reason", why.Reason),
		telemetry.Value("queued", why.Queued),
		telemetry.Value("targets", why.Targets),
		telemetry.Value("object", ask.Key),
		telemetry.Value("waited_ms", a.deps.Clock.Now().Sub(ask.Arrived).Milliseconds()),
		telemetry.Value("retry_after_ms", why.RetryAfter.Milliseconds()))
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Step:       outcome.StepAdmit,
		Reason:     why.Reason,
		RetryAfter: why.RetryAfter,
		Status:     http.StatusServiceUnavailable,
	}
}

// permit is a slot at a target.
type permit struct {
	admitter *Admitter
	pool     *servicePool
	at       *Placed
	index    *config.TargetIndex
	once     sync.Once
}

var (
	_ admission.Permit         = (*permit)(nil)
	_ admission.Checked        = (*permit)(nil)
	_ admission.NoticeReceiver = (*permit)(nil)
)

// Target implements admission.Permit.
func (p *permit) Target() *config.TargetIndex { return p.index }

// Shifted implements admission.Permit.
func (p *permit) Shifted() bool { return p.index.Region != p.admitter.deps.VM.Region }

// Valid implements admission.Checked: false if the target has stopped accepting requests.
func (p *permit) Valid() bool {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	return p.pool.Accepting(p.index.Name, a.deps.Clock.Now())
}

// Notify implements admission.Hearer.
func (p *permit) Notify(w admission.Notice) {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.pool.RecordNotice(p.index.Name, w, a.deps.Clock.Now()) {
		a.deps.Logger.Log(eventTargetNotice, telemetry.Peer(p.index.Name), telemetry.Value("for_ms", w.Backoff.Milliseconds()))
	}
}

// Release implements admission.Permit. A second call does nothing.
func (p *permit) Release(r admission.Result) {
	p.once.Do(func() {
		a := p.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		now := a.deps.Clock.Now()
		if barred := p.pool.Give(p.at, resultOf(&r), now); barred > 0 {
			a.deps.Logger.Log(eventBarred,
				telemetry.Peer(p.index.Name),
				telemetry.Step(string(r.Step)),
				telemetry.Value("for_ms", barred.Milliseconds()))
		}
		a.serve(p.pool, now)
	})
}

func resultOf(r *admission.Result) Result {
	return Result{
		Load:    r.Load,
		Connect: r.Connect,
		Latency: r.Latency,
		Failed:  r.Outcome != outcome.Answered || r.Status >= http.StatusInternalServerError,
		Shed:    r.ShedByPeer && !r.Misdirected,
		Gone:    r.Misdirected,
		Ended:   r.NoListener,
		Left:    r.Canceled,
	}
}

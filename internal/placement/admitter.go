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

// retryInterval is the interval at which waiting requests are tried without an event,
// since load reports age by themselves.
const retryInterval = 10 * time.Millisecond

// Views provides the catalog of targets.
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

// Admitter grants slots at targets. Each VM decides for itself.
type Admitter struct {
	deps           Deps
	cancel         []func()
	reporting      sync.WaitGroup
	metrics        meter
	reportReceived chan struct{} // signals a child's load report

	mu         sync.Mutex
	pools      map[string]*servicePool
	fleet      Fleet
	aggregator *Aggregator
}

// servicePool is the pool of one service with its waiting requests.
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
		deps:           d,
		metrics:        newMeter(d.Metrics),
		reportReceived: make(chan struct{}, 1),
		pools:          make(map[string]*servicePool),
		aggregator:     NewAggregator(),
	}
	d.Network.Handle(peer.KindUsageReport, a.handleReport)
	d.Network.Handle(peer.KindUsageTotal, a.handleTotal)
	return a
}

// Provision implements kernel.Service.
func (a *Admitter) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (a *Admitter) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	a.cancel = append(a.cancel, cancel)
	a.reporting.Go(func() { a.reportLoop(ctx) })
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
	a.reporting.Wait()
	return nil
}

// setFleet passes the member list to the pools.
func (a *Admitter) setFleet() {
	f := Fleet{Self: a.deps.VM.Name, ColdFactor: a.deps.Bounds.ColdFactor, ColdSlack: a.deps.Bounds.ColdSlack}
	if a.deps.Settled() {
		for _, m := range a.deps.Members.View().Members {
			f.VMs = append(f.VMs, VM{m.Name, m.Region})
		}
	}
	a.updateTreePosition(a.deps.Members.View())
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

// serve decides on waiting requests; a.mu is held.
func (a *Admitter) serve(p *servicePool, now time.Time) {
	for _, w := range p.Serve(now) {
		if done := p.waiters[w]; done != nil {
			delete(p.waiters, w)
			close(done)
		}
	}
	a.tick(p)
}

// tick schedules another serve while requests wait; a.mu is held.
func (a *Admitter) tick(p *servicePool) {
	if p.ticking || p.Queued() == 0 {
		return
	}
	p.ticking = true
	time.AfterFunc(retryInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		p.ticking = false
		a.serve(p, a.deps.Clock.Now())
	})
}

// Acquire implements admission.Admitter.
func (a *Admitter) Acquire(ctx context.Context, r *admission.Request) (admission.Permit, error) {
	req := &Request{
		ID:       r.ID,
		Key:      r.ObjectKey,
		Rule:     r.Rule,
		Priority: r.Class.Priority,
		Exclude:  r.Exclude,
		Arrived:  r.Arrived,
		Deadline: r.Deadline,
	}
	p, w, done := a.admit(r.Service, req)
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			a.leave(p, w)
		}
	}
	if w.Refused != nil {
		return nil, a.refuse(r, req, w.Refused)
	}
	waited := a.deps.Clock.Now().Sub(req.Arrived)
	a.metrics.placed(r, w.Selected, waited)
	a.logPlaced(r, req, w.Selected, waited)
	return &permit{admitter: a, pool: p, at: w.Selected, index: w.Selected.index}, nil
}

// admit enqueues a request. The channel is closed on the decision; nil if it has been
// decided.
func (a *Admitter) admit(svc *config.ServiceIndex, req *Request) (*servicePool, *Waiting, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[svc.Name]
	if p == nil {
		return nil, &Waiting{Request: req, Refused: &Refusal{Reason: reasonNoTarget, RetryAfter: unknownRetryAfter}}, nil
	}
	now := a.deps.Clock.Now()
	w := p.Enqueue(req, now)
	a.serve(p, now)
	if w.decided() {
		return p, w, nil
	}
	done := make(chan struct{})
	p.waiters[w] = done
	return p, w, done
}

// leave cancels a waiting request. One that has been placed keeps its slot.
func (a *Admitter) leave(p *servicePool, w *Waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Cancel(w) {
		delete(p.waiters, w)
	}
}

func (a *Admitter) logPlaced(r *admission.Request, req *Request, at *Selection, waited time.Duration) {
	a.deps.Logger.Log(eventPlaced,
		telemetry.Value("request_id", req.ID),
		telemetry.Peer(at.index.Name),
		telemetry.Value("service", r.Service.Name),
		telemetry.Value("object", req.Key),
		telemetry.Value("rank", at.rank),
		telemetry.Value("known", at.known),
		telemetry.Value("region", at.index.Region),
		telemetry.Value("own", at.own),
		telemetry.Value("others", at.others),
		telemetry.Value("slots", at.index.Slots),
		telemetry.Value("age_ms", at.age.Milliseconds()),
		telemetry.Value("waited_ms", waited.Milliseconds()))
}

// refuse returns the error of a request that was not run.
func (a *Admitter) refuse(r *admission.Request, req *Request, why *Refusal) *outcome.Error {
	a.metrics.refused(r, why.Reason)
	a.deps.Logger.Log(eventRefused,
		telemetry.Value("request_id", req.ID),
		telemetry.Value("service", r.Service.Name),
		telemetry.Value("reason", why.Reason),
		telemetry.Value("queued", why.Queued),
		telemetry.Value("targets", why.Targets),
		telemetry.Value("object", req.Key),
		telemetry.Value("waited_ms", a.deps.Clock.Now().Sub(req.Arrived).Milliseconds()),
		telemetry.Value("retry_after_ms", why.RetryAfter.Milliseconds()))
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Step:       outcome.StepAdmit,
		Reason:     why.Reason,
		RetryAfter: why.RetryAfter,
		Status:     http.StatusServiceUnavailable,
	}
}

// permit holds one slot at a target.
type permit struct {
	admitter *Admitter
	pool     *servicePool
	at       *Selection
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

// Valid implements admission.Checked: false after the target stopped accepting requests.
func (p *permit) Valid() bool {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	return p.pool.Accepting(p.index.Name, a.deps.Clock.Now())
}

// Notify implements admission.NoticeReceiver.
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
		if barred := p.pool.Release(p.at, resultOf(&r), now); barred > 0 {
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

package placement

import (
	"context"
	"maps"
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
	"masticturn/internal/roster"
	"masticturn/internal/settings"
	"masticturn/internal/targetlimit"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "placement"

// serveInterval is the interval at which the queue is served while no event triggers it.
// Targets can become available without one, as load reports and backoffs expire.
const serveInterval = 10 * time.Millisecond

// ViewSource provides the current view of targets and its changes.
type ViewSource interface {
	View() *discovery.View
	SubscribeView(f func(*discovery.View)) (cancel func())
}

// Roster provides all VMs that may be running.
type Roster interface {
	// VMs returns them, without this VM while others may not know it. Empty: not known.
	VMs() []roster.VM
	// Subscribe registers f to be called after changes.
	Subscribe(f func()) (cancel func())
}

// Deps holds the dependencies of an Admitter.
type Deps struct {
	Views   ViewSource
	Members membership.Source
	Network peer.Network
	Settled func() bool // reports whether this VM has joined the others
	Roster  Roster      // nil: the members are all VMs
	VM      settings.VM
	Bounds  settings.Bounds
	Policy  Policy // empty: PolicyCompletion
	// ShareNotice tells other VMs what a target has announced to this one; nil: it concerns no other VM.
	ShareNotice func(target string, leaving bool, backoff time.Duration)
	// RateLimits grants requests under the rate limits that targets name; nil: there are none.
	RateLimits RateLimiter
	// Overload enables what VMs and regions decide together while a service is short of capacity.
	Overload settings.Overload
	// RegionLoads exchanges loads with other regions; nil: nothing is known of them.
	RegionLoads RegionLoads
	Clock       kernel.Clock
	Logger      *telemetry.Logger
	Metrics     *metrics.Set
}

// Admitter grants slots at targets. Each VM decides on its own requests, without asking
// others.
type Admitter struct {
	deps           Deps
	cancelFuncs    []func()
	reporting      sync.WaitGroup
	metrics        decisionMetrics
	reportReceived chan struct{} // signals that a child's load report is to be forwarded
	started        time.Time     // of this process
	fleetMu        sync.Mutex    // held while lists of VMs are passed to the pools, so that the last ones are the latest

	mu         sync.Mutex
	pools      map[string]*servicePool
	fleet      Fleet
	aggregator *Aggregator
	inTree     bool      // the VM has a position in the tree
	rootSince  time.Time // when the VM has become the root of the tree; zero: it is not
	scopes     scopeCache
	// limitedSince is when this VM, as a root, last limited a priority.
	limitedSince map[limitedPriority]time.Time
}

// servicePool is the pool of one service with its waiting requests.
type servicePool struct {
	*Pool
	name           string
	service        *config.ServiceIndex              // the targets of the pool; nil: none yet
	evacuated      map[string]bool                   // evacuated availability zones
	waiters        map[*WaitingRequest]chan struct{} // closed when the request is placed or refused
	serveScheduled bool
	splitLogged    bool   // the last event said that the split is not the default
	splitShown     uint64 // version of the split in the metrics
}

var (
	_ admission.Admitter = (*Admitter)(nil)
	_ admission.Expecter = (*Admitter)(nil)
	_ kernel.Service     = (*Admitter)(nil)
)

// NewAdmitter returns an Admitter. It has no targets until it is started.
func NewAdmitter(d Deps) *Admitter {
	if d.RateLimits == nil {
		d.RateLimits = noRateLimits{}
	}
	if d.RegionLoads == nil || !d.Overload.Regions {
		d.RegionLoads = noRegionLoads{}
	}
	a := &Admitter{
		deps:           d,
		metrics:        newDecisionMetrics(d.Metrics),
		reportReceived: make(chan struct{}, 1),
		started:        d.Clock.Now(),
		pools:          make(map[string]*servicePool),
		aggregator:     NewAggregator(),
		limitedSince:   make(map[limitedPriority]time.Time),
	}
	a.aggregator.decide = a.decide
	d.RateLimits.OnResponse(a.serveTarget)
	d.Network.Handle(peer.KindUsageReport, a.handleReport)
	d.Network.Handle(peer.KindUsageTotal, a.handleTotal)
	return a
}

// Provision implements kernel.Service.
func (a *Admitter) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (a *Admitter) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	a.cancelFuncs = append(a.cancelFuncs, cancel)
	a.reporting.Go(func() { a.reportLoop(ctx) })
	a.cancelFuncs = append(a.cancelFuncs,
		a.deps.Views.SubscribeView(a.applyView),
		a.deps.Members.Subscribe(func(*membership.View) { a.updateFleet() }))
	if a.deps.Roster != nil {
		a.cancelFuncs = append(a.cancelFuncs, a.deps.Roster.Subscribe(a.updateFleet))
	}
	a.updateFleet()
	if v := a.deps.Views.View(); v != nil {
		a.applyView(v)
	}
	return nil
}

// Drain implements kernel.Service. It does nothing, as requests in flight still need slots.
func (a *Admitter) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (a *Admitter) Stop(context.Context) error {
	for _, cancel := range a.cancelFuncs {
		cancel()
	}
	a.reporting.Wait()
	return nil
}

// updateFleet passes the lists of VMs to the pools.
func (a *Admitter) updateFleet() {
	a.fleetMu.Lock()
	defer a.fleetMu.Unlock()
	f := Fleet{Self: a.deps.VM.Name, ColdFactor: a.deps.Bounds.ColdFactor, ColdSlack: a.deps.Bounds.ColdSlack}
	if a.deps.Settled() {
		for _, m := range a.deps.Members.View().Members {
			f.VMs = append(f.VMs, VM{m.Name, m.Region})
		}
	}
	f.MayRun = f.VMs
	if a.deps.Roster != nil {
		f.MayRun = nil
		for _, vm := range a.deps.Roster.VMs() {
			f.MayRun = append(f.MayRun, VM{vm.Name, vm.Region})
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

// applyView updates the pools from a view of targets.
func (a *Admitter) applyView(v *discovery.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	for _, svc := range v.Snapshot.Services() {
		p := a.pools[svc.Name]
		if p == nil {
			p = &servicePool{
				Pool: NewPool(Options{
					Region:  a.deps.VM.Region,
					Started: a.started,
					Policy:  a.deps.Policy,
					Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
					Limits:  a.deps.RateLimits,

					Overload: a.deps.Overload,
				}),
				name:    svc.Name,
				waiters: make(map[*WaitingRequest]chan struct{}),
			}
			p.SetFleet(a.fleet)
			a.pools[svc.Name] = p
		}
		p.update(svc, v)
		a.serveQueue(p, now)
	}
	a.applyScopes(v.Snapshot)
}

// update passes a new view to the pool if anything has changed for its service.
func (p *servicePool) update(svc *config.ServiceIndex, v *discovery.View) {
	old := p.service
	p.service = svc
	if old != nil && svc.SharesTargets(old) && maps.Equal(p.evacuated, v.Evacuated) &&
		old.ColdRequestsPerSecond == svc.ColdRequestsPerSecond && old.ColdMS == svc.ColdMS {
		return
	}
	p.evacuated = v.Evacuated
	p.SetTargets(svc, v)
}

// serveQueue serves a pool's queue and wakes the requests that were decided. a.mu is held.
func (a *Admitter) serveQueue(p *servicePool, now time.Time) {
	for _, w := range p.Serve(now) {
		if done := p.waiters[w]; done != nil {
			delete(p.waiters, w)
			close(done)
		}
	}
	a.scheduleServe(p)
}

// scheduleServe schedules the next serving of the queue if requests wait. a.mu is held.
func (a *Admitter) scheduleServe(p *servicePool) {
	if p.serveScheduled || p.QueueLen() == 0 {
		return
	}
	p.serveScheduled = true
	time.AfterFunc(serveInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		p.serveScheduled = false
		a.serveQueue(p, a.deps.Clock.Now())
	})
}

// Acquire implements admission.Admitter.
func (a *Admitter) Acquire(ctx context.Context, r *admission.Request) (admission.Permit, error) {
	req := &Request{
		ID:       r.ID,
		Key:      r.ObjectKey,
		Rule:     r.Rule,
		Class:    r.Class.Name,
		Customer: r.Customer,
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
			a.cancelWaiting(p, w)
		}
	}
	if w.Refused != nil {
		return nil, a.refusalError(r, req, w.Refused)
	}
	waited := a.deps.Clock.Now().Sub(req.Arrived)
	a.metrics.countPlaced(r, w.Selected, waited)
	a.logPlaced(r, req, w.Selected, waited)
	return &permit{admitter: a, pool: p, selection: w.Selected, target: w.Selected.index}, nil
}

// admit enqueues a request and serves the queue. The returned channel is closed when the
// request is decided; it is nil if that has happened already.
func (a *Admitter) admit(svc *config.ServiceIndex, req *Request) (*servicePool, *WaitingRequest, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[svc.Name]
	if p == nil {
		return nil, &WaitingRequest{Request: req, Refused: &Refusal{Reason: reasonNoTarget, RetryAfter: unknownRetryAfter}}, nil
	}
	now := a.deps.Clock.Now()
	w := p.Enqueue(req, now)
	a.serveQueue(p, now)
	if w.decided() {
		return p, w, nil
	}
	done := make(chan struct{})
	p.waiters[w] = done
	return p, w, done
}

// cancelWaiting cancels a waiting request. A request that has been placed keeps its slot.
func (a *Admitter) cancelWaiting(p *servicePool, w *WaitingRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.Cancel(w) {
		delete(p.waiters, w)
	}
}

func (a *Admitter) logPlaced(r *admission.Request, req *Request, sel *Selection, waited time.Duration) {
	a.deps.Logger.Log(eventPlaced,
		telemetry.Value("request_id", req.ID),
		telemetry.Peer(sel.index.Name),
		telemetry.Value("service", r.Service.Name),
		telemetry.Value("object", req.Key),
		telemetry.Value("rank", sel.rank),
		telemetry.Value("known", sel.known),
		telemetry.Value("region", sel.index.Region),
		telemetry.Value("own", sel.ownRequests),
		telemetry.Value("others", sel.reportedRequests),
		telemetry.Value("slots", sel.index.Slots),
		telemetry.Value("age_ms", sel.reportAge.Milliseconds()),
		telemetry.Value("waited_ms", waited.Milliseconds()))
	if c := sel.cold; c != nil {
		a.deps.Logger.Log(eventColdRequest,
			telemetry.Value("request_id", req.ID),
			telemetry.Peer(sel.index.Name),
			telemetry.Value("vms", c.vms),
			telemetry.Value("rank", c.rank),
			telemetry.Value("senders", c.senders),
			telemetry.Value("cold_for_ms", c.coldFor.Milliseconds()),
			telemetry.Value("since_ms", c.sinceLast.Milliseconds()))
	}
}

// refusalError counts and logs a refused request and returns its error.
func (a *Admitter) refusalError(r *admission.Request, req *Request, refusal *Refusal) *outcome.Error {
	a.metrics.countRefused(r, refusal.Reason)
	a.metrics.countReturn(r, req, refusal)
	a.deps.Logger.Log(eventRefused,
		telemetry.Value("request_id", req.ID),
		telemetry.Value("service", r.Service.Name),
		telemetry.Value("reason", refusal.Reason),
		telemetry.Value("queued", refusal.Queued),
		telemetry.Value("targets", refusal.Targets),
		telemetry.Value("object", req.Key),
		telemetry.Value("waited_ms", a.deps.Clock.Now().Sub(req.Arrived).Milliseconds()),
		telemetry.Value("retry_after_ms", refusal.RetryAfter.Milliseconds()))
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Step:       outcome.StepAdmit,
		Reason:     refusal.Reason,
		RetryAfter: refusal.RetryAfter,
		Status:     http.StatusServiceUnavailable,
	}
}

// permit implements admission.Permit: it holds one slot at a target.
type permit struct {
	admitter  *Admitter
	pool      *servicePool
	selection *Selection
	target    *config.TargetIndex
	once      sync.Once
}

var (
	_ admission.Permit         = (*permit)(nil)
	_ admission.Checked        = (*permit)(nil)
	_ admission.NoticeReceiver = (*permit)(nil)

	_ admission.RateLimitReceiver = (*permit)(nil)
)

// Target implements admission.Permit.
func (p *permit) Target() *config.TargetIndex { return p.target }

// Shifted implements admission.Permit.
func (p *permit) Shifted() bool { return p.target.Region != p.admitter.deps.VM.Region }

// Valid implements admission.Checked. It returns false once the target has announced that it
// accepts no requests.
func (p *permit) Valid() bool {
	a := p.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	return p.pool.Accepting(p.target.Name, a.deps.Clock.Now())
}

// Notify implements admission.NoticeReceiver.
func (p *permit) Notify(notice admission.Notice) {
	a := p.admitter
	a.mu.Lock()
	stopped := p.pool.RecordNotice(p.target.Name, notice, a.deps.Clock.Now())
	a.mu.Unlock()
	if stopped {
		a.deps.Logger.Log(eventTargetNotice, telemetry.Peer(p.target.Name), telemetry.Value("for_ms", notice.Backoff.Milliseconds()))
	}
	if a.deps.ShareNotice != nil {
		a.deps.ShareNotice(p.target.Name, notice.Leaving, notice.Backoff)
	}
}

// NotifyRateLimit implements admission.RateLimitReceiver.
func (p *permit) NotifyRateLimit(l admission.RateLimit, sentAt time.Time) {
	p.admitter.deps.RateLimits.Observe(p.target, targetlimit.Limit(l), sentAt)
}

// RecordLimit records the rate limit that a target has named to another VM, in requests/s.
func (a *Admitter) RecordLimit(target string, perSecond float64) {
	a.mu.Lock()
	var t *config.TargetIndex
	if p := a.poolOf(target); p != nil {
		t = p.targets[target].TargetIndex
	}
	a.mu.Unlock()
	if t != nil {
		a.deps.RateLimits.Observe(t, targetlimit.Limit{Named: true, PerSecond: perSecond}, a.deps.Clock.Now())
	}
}

// Notice returns what a target has announced to this VM, or to one that has told this VM.
func (a *Admitter) Notice(target string) (leaving bool, backoff time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.poolOf(target); p != nil {
		return p.Notice(target, a.deps.Clock.Now())
	}
	return false, 0
}

// RecordNotice records what a target has announced to another VM.
func (a *Admitter) RecordNotice(target string, leaving bool, backoff time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.poolOf(target); p != nil {
		p.RecordNotice(target, admission.Notice{Leaving: leaving, Backoff: backoff}, a.deps.Clock.Now())
	}
}

// ForgetFailures forgets the failures of targets since a time, as they were not the targets'.
func (a *Admitter) ForgetFailures(since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.pools {
		p.Pool.ForgetFailures(since)
		a.serveQueue(p, a.deps.Clock.Now())
	}
}

// serveTarget serves the queue of a target's service.
func (a *Admitter) serveTarget(target string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.poolOf(target); p != nil {
		a.serveQueue(p, a.deps.Clock.Now())
	}
}

// poolOf returns the pool of a target, or nil. a.mu is held.
func (a *Admitter) poolOf(target string) *servicePool {
	for _, p := range a.pools {
		if p.targets[target] != nil {
			return p
		}
	}
	return nil
}

// Release implements admission.Permit. A second call does nothing.
func (p *permit) Release(r admission.Result) {
	p.once.Do(func() {
		a := p.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		now := a.deps.Clock.Now()
		if ejected := p.pool.Release(p.selection, toResult(&r), now); ejected > 0 {
			a.deps.Logger.Log(eventTargetEjected,
				telemetry.Peer(p.target.Name),
				telemetry.Step(string(r.Step)),
				telemetry.Value("for_ms", ejected.Milliseconds()))
		}
		a.serveQueue(p.pool, now)
	})
}

func toResult(r *admission.Result) Result {
	return Result{
		Load:              r.Load,
		Connect:           r.Connect,
		Latency:           r.Latency,
		Failed:            r.Outcome != outcome.Answered || r.Status >= http.StatusInternalServerError,
		Shed:              r.ShedByPeer && !r.Misdirected,
		Misdirected:       r.Misdirected,
		ConnectionRefused: r.NoListener,
		Canceled:          r.Canceled,
	}
}

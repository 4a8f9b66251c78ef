package placement

import (
	"context"
	"net/http"
	"sync"
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/discovery"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/outcome"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "placement"

// lookAgain is how often a waiting request looks for a free slot.
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
	Settled func() bool // whether this VM knows the other VMs
	VM      settings.VM
	Bounds  settings.Bounds
	Clock   kernel.Clock
	Logger  *telemetry.Logger
}

// Admitter gives out slots at targets by pools of this VM alone.
type Admitter struct {
	deps   Deps
	cancel []func()

	mu    sync.Mutex
	pools map[string]*Pool
	fleet Fleet
}

var (
	_ admission.Admitter = (*Admitter)(nil)
	_ kernel.Service     = (*Admitter)(nil)
)

// NewAdmitter returns an admitter; it follows the views once started.
func NewAdmitter(d Deps) *Admitter { return &Admitter{deps: d, pools: make(map[string]*Pool)} }

// Provision implements kernel.Service.
func (a *Admitter) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (a *Admitter) Start(context.Context) error {
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
	for _, svc := range v.Snapshot.Services() {
		p := a.pools[svc.Name]
		if p == nil {
			p = NewPool(a.deps.VM.Region)
			a.pools[svc.Name] = p
		}
		p.SetFleet(a.fleet)
		p.SetTargets(svc, v)
	}
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
	for {
		permit, possible := a.try(r.Service, ask)
		if permit != nil {
			return permit, nil
		}
		if !possible {
			return nil, a.refuse(ask, "no target may take the request", time.Second)
		}
		select {
		case <-time.After(lookAgain):
		case <-ctx.Done():
			return nil, a.refuse(ask, "the caller left or its time was over", 0)
		}
		if a.deps.Clock.Now().Sub(ask.Arrived) > 250*time.Millisecond {
			return nil, a.refuse(ask, "no target has room", 500*time.Millisecond)
		}
	}
}

func (a *Admitter) try(svc *config.ServiceIndex, ask *Ask) (admission.Permit, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	p := a.pools[svc.Name]
	if p == nil {
		return nil, false
	}
	at := p.Choose(ask, now)
	if at == nil {
		return nil, p.possible(ask, now)
	}
	t := at.target
	a.deps.Logger.Log(eventPlaced,
		telemetry.Value("request_id", ask.ID),
		telemetry.Peer(t.Name),
		telemetry.Value("service", svc.Name),
		telemetry.Value("object", ask.Key),
		telemetry.Value("rank", at.rank),
		telemetry.Value("known", at.known),
		telemetry.Value("region", t.Region),
		telemetry.Value("own", t.own),
		telemetry.Value("others", t.others),
		telemetry.Value("age_ms", now.Sub(t.reported).Milliseconds()),
		telemetry.Value("waited_ms", now.Sub(ask.Arrived).Milliseconds()))
	p.Take(at, now)
	return &permit{admitter: a, pool: p, at: at, index: t.TargetIndex}, true
}

// refuse says no to a request that was not run.
func (a *Admitter) refuse(ask *Ask, reason string, retryAfter time.Duration) *outcome.Error {
	a.deps.Logger.Log(eventRefused,
		telemetry.Value("request_id", ask.ID),
		telemetry.Value("reason", reason),
		telemetry.Value("object", ask.Key),
		telemetry.Value("waited_ms", a.deps.Clock.Now().Sub(ask.Arrived).Milliseconds()),
		telemetry.Value("retry_after_ms", retryAfter.Milliseconds()))
	return refusal(reason, retryAfter)
}

func refusal(reason string, retryAfter time.Duration) *outcome.Error {
	return &outcome.Error{
		Outcome:    outcome.NotRun,
		Step:       outcome.StepAdmit,
		Reason:     reason,
		RetryAfter: retryAfter,
		Status:     http.StatusServiceUnavailable,
	}
}

// permit is a slot at a target.
type permit struct {
	admitter *Admitter
	pool     *Pool
	at       *Placed
	index    *config.TargetIndex
	once     sync.Once
}

var _ admission.Permit = (*permit)(nil)

// Target implements admission.Permit.
func (p *permit) Target() *config.TargetIndex { return p.index }

// Shifted implements admission.Permit.
func (p *permit) Shifted() bool { return p.index.Region != p.admitter.deps.VM.Region }

// Release implements admission.Permit. A second call does nothing.
func (p *permit) Release(r admission.Result) {
	p.once.Do(func() {
		a := p.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		p.pool.Give(p.at, resultOf(&r), a.deps.Clock.Now())
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
		Left:    r.Canceled,
	}
}

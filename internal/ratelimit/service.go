package ratelimit

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/customer"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
	"masticturn/internal/wait"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "ratelimit"

// Deps is what a Service needs.
type Deps struct {
	Self        string // VM
	Region      string
	Incarnation uint64 // of this process
	Tolerance   Tolerance
	Customers   func() *customer.Directory // of the document in force; nil: none
	Regions     int                        // of the deployment
	Store       platform.Store
	Network     peer.Network
	Members     membership.Source
	Joined      func() bool
	Announce    func(term uint64) // publishes this VM's term to the other VMs as granter
	Boot        kernel.BootClock
	Logger      *telemetry.Logger
	Metrics     *metrics.Set
}

// Service enforces the limits: it holds shares of budgets, and at one VM grants them.
type Service struct {
	deps   Deps
	seed   maphash.Seed
	cancel context.CancelFunc
	wg     sync.WaitGroup
	urgent chan struct{} // a report is due
	// stopFollowing ends the subscription to the members.
	stopFollowing func()
	meter         *meter

	mu       sync.Mutex
	holder   *holder
	lease    lease
	granter  *granter // nil: this VM is not the granter
	leaving  bool
	told     uint64        // term as announced
	granted  chan struct{} // closed and replaced when shares arrive
	reported uint64        // term to which this VM has reported
	holders  holderCache
	skip     map[string]time.Duration // holders that failed
	denied   map[string]denial        // by customer
}

// denial is a refusal by a holder.
type denial struct {
	until time.Duration // it is repeated without asking
	wait  time.Duration
}

var (
	_ kernel.Service = (*Service)(nil)
	_ Limiter        = (*Service)(nil)
)

// NewService returns a service.
func NewService(d Deps) *Service {
	s := &Service{
		deps:    d,
		seed:    maphash.MakeSeed(),
		urgent:  make(chan struct{}, 1),
		meter:   newMeter(d.Metrics),
		holder:  newHolder(d.Incarnation),
		lease:   lease{self: d.Self},
		granted: make(chan struct{}),
		skip:    make(map[string]time.Duration),
		denied:  make(map[string]denial),
	}
	d.Network.Handle(peer.KindLimitTake, s.handleTake)
	d.Network.Handle(peer.KindLimitReport, s.handleReport)
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.stopFollowing = s.deps.Members.Subscribe(s.follow)
	s.wg.Go(func() { wait.Every(ctx, electionInterval, func() { s.elect(ctx) }) })
	s.wg.Go(func() { s.runReports(ctx) })
	return nil
}

// follow reports to a new granter at once, as it grants little before all have reported.
func (s *Service) follow(view *membership.View) {
	m, _ := view.Member(granterOf(view))
	s.mu.Lock()
	due := m.Term != 0 && m.Term != s.reported
	s.mu.Unlock()
	if due {
		s.requestReport()
	}
}

// requestReport makes a report due.
func (s *Service) requestReport() {
	select {
	case s.urgent <- struct{}{}:
	default: // already due
	}
}

// Drain implements kernel.Service: another VM takes the lease over.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.release(ctx)
	s.announce()
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.stopFollowing()
	s.cancel()
	s.wg.Wait()
	return nil
}

// limited reports whether the document has limits; s.mu is held.
func (s *Service) limited() bool { return s.deps.Customers().Limited() }

// limitOf returns a customer's limit by the document in force here.
func (s *Service) limitOf(name string) customer.Limit {
	if c := s.deps.Customers().ByName(name); c != nil {
		return c.Limit
	}
	return customer.Limit{}
}

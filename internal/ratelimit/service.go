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

// Deps are the dependencies of a Service.
type Deps struct {
	Self        string // name of this VM
	Region      string
	Incarnation uint64 // of this process
	Tolerance   Tolerance
	Customers   func() *customer.Directory // customers of the document in force; nil: none
	Regions     int                        // number of regions of the deployment
	Store       platform.Store
	Network     peer.Network
	Members     membership.Source
	Joined      func() bool       // whether the other VMs are known
	Announce    func(term uint64) // tells the other VMs this VM's term as granter; 0: not the granter
	Boot        kernel.BootClock
	Logger      *telemetry.Logger
	Metrics     *metrics.Set
}

// Service enforces rate limits. It holds shares of customers' budgets, and on the VM that is the granter
// it also grants them.
type Service struct {
	deps      Deps
	seed      maphash.Seed
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	reportDue chan struct{} // signals that a report should be sent immediately
	// unsubscribe ends the subscription to member views.
	unsubscribe func()
	meter       *meter

	mu             sync.Mutex
	holder         *holder
	lease          lease
	granter        *granter // nil: this VM is not the granter
	leaving        bool
	announcedTerm  uint64        // the term that was last announced
	sharesReceived chan struct{} // closed and replaced when shares arrive
	reportedTerm   uint64        // term of the granter that answered this VM's last report
	holders        holderCache
	skipUntil      map[string]time.Duration // by holder that failed
	refusals       map[string]cachedRefusal // by customer
}

// cachedRefusal is a refusal by a holder. It is repeated without asking the holder until validUntil.
type cachedRefusal struct {
	validUntil time.Duration
	wait       time.Duration // until a token is expected
}

var (
	_ kernel.Service = (*Service)(nil)
	_ Limiter        = (*Service)(nil)
)

// NewService returns a Service and registers its message handlers.
func NewService(d Deps) *Service {
	s := &Service{
		deps:           d,
		seed:           maphash.MakeSeed(),
		reportDue:      make(chan struct{}, 1),
		meter:          newMeter(d.Metrics),
		holder:         newHolder(d.Incarnation),
		lease:          lease{self: d.Self},
		sharesReceived: make(chan struct{}),
		skipUntil:      make(map[string]time.Duration),
		refusals:       make(map[string]cachedRefusal),
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
	s.unsubscribe = s.deps.Members.Subscribe(s.onMembersChanged)
	s.wg.Go(func() { wait.Every(ctx, electionInterval, func() { s.stepElection(ctx) }) })
	s.wg.Go(func() { s.runReports(ctx) })
	return nil
}

// onMembersChanged requests a report if there is a new granter. A new granter grants little until all
// holders have reported.
func (s *Service) onMembersChanged(view *membership.View) {
	m, _ := view.Member(granterOf(view))
	s.mu.Lock()
	due := m.Term != 0 && m.Term != s.reportedTerm
	s.mu.Unlock()
	if due {
		s.requestReport()
	}
}

// requestReport requests that a report be sent immediately.
func (s *Service) requestReport() {
	select {
	case s.reportDue <- struct{}{}:
	default: // already requested
	}
}

// Drain implements kernel.Service. It releases the lease, so that another VM can take it over.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.releaseLease(ctx)
	s.announceTerm()
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.unsubscribe()
	s.cancel()
	s.wg.Wait()
	return nil
}

// hasLimits reports whether any customer has a limit. s.mu must be held.
func (s *Service) hasLimits() bool { return s.deps.Customers().Limited() }

// limitOf returns a customer's limit according to the document in force at this VM.
func (s *Service) limitOf(name string) customer.Limit {
	if c := s.deps.Customers().ByName(name); c != nil {
		return c.Limit
	}
	return customer.Limit{}
}

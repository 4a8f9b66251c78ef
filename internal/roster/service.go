// Package roster keeps the list of all VMs that may be running, whether this VM can reach them or not. VMs that divide
// a limit among themselves without messages must not take the members that they reach for the whole fleet: after a
// start, and while VMs are cut off from each other, these are too few.
//
// The list is kept in the platform's store, one object for each region. A VM that starts takes it from another VM, or
// from the store if none has it. One VM of each region adds new VMs, once all others know them as members.
package roster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "roster"

const (
	// checkInterval is the interval of checks whether the store's list is up to date, which cost no call.
	checkInterval = 500 * time.Millisecond
	// recomputeInterval is the interval at which VMs that have been absent for long are removed.
	recomputeInterval = 10 * time.Second
	// peerTimeout is the timeout of a call to another VM.
	peerTimeout = 250 * time.Millisecond
	// storeRetryInterval is the minimum interval between calls to the store.
	storeRetryInterval = time.Second
)

// Deps holds the dependencies of a Service.
type Deps struct {
	Self       VM
	Members    membership.Source
	Joined     func() bool
	FirstStart bool // the whole fleet starts for the first time
	Network    peer.Network
	Store      platform.Store
	Clock      kernel.Clock
	Logger     *telemetry.Logger
	Metrics    *metrics.Set
}

// Service keeps the list of this VM complete and the store's list up to date.
type Service struct {
	deps    Deps
	started time.Time
	cancel  []func()
	wg      sync.WaitGroup

	mu          sync.Mutex
	list        *list
	current     []VM // result of VMs
	recomputeAt time.Time
	subscribers map[int]func()
	nextID      int

	// Used only by run.
	loads        int       // requests for the list
	nextRead     time.Time // earliest time of the next call to the store
	nextAsk      time.Time // earliest time at which this VM asks for its own state again
	asks         int       // requests for it so far; failed ones count as asksPerWriter
	pendingSince time.Time // since when the store's list of the region is to be changed; zero: it is up to date
	checkedEra   uint64    // era of the store in which its list was last compared
}

var _ kernel.Service = (*Service)(nil)

// NewService returns a service that is not started yet.
func NewService(d Deps) *Service {
	s := &Service{deps: d, subscribers: make(map[int]func())}
	s.started = d.Clock.Now()
	s.list = newList(d.Self, s.started)
	d.Network.Handle(peer.KindRoster, s.handleRequest)
	d.Metrics.NewGauge("masticturn_vms_that_may_run", func() float64 { return float64(len(s.VMs())) })
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service. It does not wait for the list.
func (s *Service) Start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	s.cancel = append(s.cancel, cancel, s.deps.Members.Subscribe(s.observe))
	s.observe(s.deps.Members.View())
	s.wg.Go(func() { s.run(ctx) })
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	for _, cancel := range s.cancel {
		cancel()
	}
	s.wg.Wait()
	return nil
}

// VMs returns all VMs that may be running, sorted by name. It is nil while they are not known. This VM is included
// only once the others know it, also those that start from now on. The result must not be changed.
func (s *Service) VMs() []VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Subscribe registers f to be called after changes of VMs. f must not block.
func (s *Service) Subscribe(f func()) (cancel func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextID
	s.nextID++
	s.subscribers[id] = f
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, id)
	}
}

// observe applies a view of the members.
func (s *Service) observe(v *membership.View) {
	s.change(func(now time.Time) bool { return s.list.observe(v, now) })
}

// change changes the list and, if f reports a change, publishes it.
func (s *Service) change(f func(now time.Time) bool) {
	s.mu.Lock()
	now := s.deps.Clock.Now()
	var call []func()
	if f(now) || !now.Before(s.recomputeAt) {
		s.recomputeAt = now.Add(recomputeInterval)
		if vms := s.list.published(now); !slices.Equal(vms, s.current) {
			s.current = vms
			for _, f := range s.subscribers {
				call = append(call, f)
			}
		}
	}
	s.mu.Unlock()
	for _, f := range call {
		f()
	}
}

func (s *Service) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// step does what is due and returns the time until the next step.
func (s *Service) step(ctx context.Context) time.Duration {
	s.change(func(time.Time) bool { return false })
	if !s.complete() {
		return s.load(ctx)
	}
	s.maintain(ctx)
	return checkInterval
}

func (s *Service) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.complete
}

// ask sends a request to another VM.
func (s *Service) ask(ctx context.Context, vm string, req request) (r response, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	err = s.deps.Network.Call(ctx, vm, peer.KindRoster, &req, &r)
	return r, err
}

// handleRequest answers a request of another VM.
func (s *Service) handleRequest(_ context.Context, from string, payload []byte) (any, error) {
	var req request
	if err := peer.Decode(payload, &req); err != nil {
		return nil, err
	}
	s.mu.Lock()
	now := s.deps.Clock.Now()
	r := &response{Complete: s.list.complete}
	e := s.list.vms[from]
	r.SenderStored = e != nil && e.stored && !e.removed(now)
	var known knownVMs
	if r.Complete && !req.OwnStateOnly {
		known = s.list.known(now)
	}
	s.mu.Unlock()
	if !r.Complete || req.OwnStateOnly {
		return r, nil
	}
	return r, r.pack(known)
}

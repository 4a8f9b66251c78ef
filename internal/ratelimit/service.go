package ratelimit

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"masticturn/internal/customer"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "ratelimit"

const (
	// reportInterval is the interval of reports to the granter.
	reportInterval = 500 * time.Millisecond
	// reportSpacing is the least time between two reports.
	reportSpacing = 30 * time.Millisecond
	// failedSpacing is the same after a report that was not answered.
	failedSpacing = 100 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 450 * time.Millisecond
	// shareWait is how long a request waits for this VM's first share of its customer's limit.
	shareWait = 250 * time.Millisecond
	// takeTimeout bounds the call of a holder, which may wait for a share.
	takeTimeout = shareWait + tokenWait + 100*time.Millisecond
	// skipFor is how long a holder that failed is skipped.
	skipFor = time.Second
	// maxHolderTries bounds the holders that a request tries.
	maxHolderTries = 2
	// minHolderBurst is the least burst of a holder for which there are more of them.
	minHolderBurst = 12
	// tokenWait is how long requests wait for a token. Only as many do as get one in that time.
	tokenWait = 50 * time.Millisecond
	// unknownRetryAfter is the Retry-After while no holder knows its share. Without a granter it is
	// electionRetryAfter to twice that, which an election takes.
	unknownRetryAfter  = 200 * time.Millisecond
	electionRetryAfter = 500 * time.Millisecond
	// maxExpected bounds the customers whose shares a VM asks for when it starts.
	maxExpected = 1000
	// denialMemory bounds how long a refusal by a holder is repeated here without asking it.
	denialMemory = 50 * time.Millisecond
)

// Refusal is a request that the limiter refuses.
type Refusal struct {
	Over       bool // the limit is reached; else its state is not known here
	RetryAfter time.Duration
}

// Limiter enforces rate limits.
type Limiter interface {
	// Take takes one request from a customer's limit; nil: it may run.
	Take(ctx context.Context, c *customer.Customer) *Refusal
}

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
	Announce    func(term uint64) // tells the other VMs this VM's term as granter
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
	s.wg.Go(func() { s.runElection(ctx) })
	s.wg.Go(func() { s.runReports(ctx) })
	return nil
}

func (s *Service) runElection(ctx context.Context) {
	ticker := time.NewTicker(electionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.elect(ctx)
		case <-ctx.Done():
			return
		}
	}
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

// Take implements Limiter.
func (s *Service) Take(ctx context.Context, c *customer.Customer) *Refusal {
	if !c.Limit.Limited() {
		return nil
	}
	result, wait := s.take(ctx, c)
	s.meter.count(c.Name, result)
	switch result {
	case verdictTaken:
		return nil
	case verdictOver:
		return &Refusal{Over: true, RetryAfter: max(wait, time.Millisecond)}
	}
	return &Refusal{RetryAfter: s.unknownRetry()}
}

// unknownRetry returns when to come back for a request whose limit is not known here.
func (s *Service) unknownRetry() time.Duration {
	view := s.deps.Members.View()
	m, _ := view.Member(granterOf(view))
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Term != 0 && m.Term == s.reported {
		return unknownRetryAfter
	}
	return electionRetryAfter + time.Duration(rand.Float64()*float64(electionRetryAfter))
}

// take asks the holders of the region, of which this VM may be one.
func (s *Service) take(ctx context.Context, c *customer.Customer) (verdict, time.Duration) {
	holders := s.holdersOf(c)
	if len(holders) == 0 || slices.Contains(holders, s.deps.Self) {
		return s.takeHere(ctx, c)
	}
	if wait, ok := s.deniedLately(c.Name); ok {
		return verdictOver, wait
	}
	tries := 0
	first := int(maphash.String(s.seed, c.Name) % uint64(len(holders)))
	for i := range holders {
		vm := holders[(first+i)%len(holders)]
		if tries == maxHolderTries || s.skipped(vm) {
			continue
		}
		tries++
		if result, wait := s.takeFrom(ctx, vm, c.Name); result != verdictUnknown {
			return result, wait
		}
	}
	return verdictUnknown, 0
}

// takeHere takes a token of this VM's share. The first requests of a customer wait for the share, and
// a few requests wait shortly for a token.
func (s *Service) takeHere(ctx context.Context, c *customer.Customer) (verdict, time.Duration) {
	s.mu.Lock()
	now := s.deps.Boot.SinceBoot()
	s.holder.count(c.Name, now)
	result, wait := s.holder.take(c.Name, now)
	granted := s.granted
	s.mu.Unlock()
	if result == verdictUnknown {
		result, wait = s.awaitShare(ctx, c.Name, granted)
	}
	if result == verdictOver {
		return s.awaitToken(ctx, c.Name, wait)
	}
	return result, wait
}

// awaitShare waits for this VM's first share of a customer's limit.
func (s *Service) awaitShare(ctx context.Context, name string, granted <-chan struct{}) (verdict, time.Duration) {
	s.requestReport()
	timer := time.NewTimer(shareWait)
	defer timer.Stop()
	for {
		select {
		case <-granted:
		case <-timer.C:
			return verdictUnknown, 0
		case <-ctx.Done():
			return verdictUnknown, 0
		}
		s.mu.Lock()
		result, wait := s.holder.take(name, s.deps.Boot.SinceBoot())
		granted = s.granted
		s.mu.Unlock()
		if result != verdictUnknown {
			return result, wait
		}
	}
}

// awaitToken waits for a token that is expected shortly, or refuses the request.
func (s *Service) awaitToken(ctx context.Context, name string, wait time.Duration) (verdict, time.Duration) {
	s.mu.Lock()
	queued := s.holder.enqueue(name, wait)
	s.mu.Unlock()
	if !queued {
		return s.refuse(name, wait)
	}
	defer s.dequeue(name)
	deadline := s.deps.Boot.SinceBoot() + tokenWait
	for s.deps.Boot.SinceBoot()+wait <= deadline {
		pause(ctx, wait)
		if ctx.Err() != nil {
			return verdictUnknown, 0
		}
		s.mu.Lock()
		result, next := s.holder.take(name, s.deps.Boot.SinceBoot())
		s.mu.Unlock()
		if result != verdictOver {
			return result, next
		}
		wait = next
	}
	return s.refuse(name, wait)
}

func (s *Service) dequeue(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.dequeue(name)
}

func (s *Service) refuse(name string, wait time.Duration) (verdict, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return verdictOver, s.holder.refuse(name, wait, s.deps.Boot.SinceBoot())
}

// takeFrom asks a holder for a token.
func (s *Service) takeFrom(ctx context.Context, vm, name string) (verdict, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var a takeAnswer
	err := s.deps.Network.Call(ctx, vm, peer.KindLimitTake, &takeRequest{Customer: name}, &a)
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.skip[vm] = now + skipFor
		return verdictUnknown, 0
	}
	wait := time.Duration(a.WaitMS) * time.Millisecond
	if a.Result == verdictOver {
		s.denied[name] = denial{until: now + min(wait, denialMemory), wait: wait}
	}
	return a.Result, wait
}

// deniedLately reports whether a holder has just refused the customer. The wait is jittered, as its
// callers would come back together.
func (s *Service) deniedLately(name string) (time.Duration, bool) {
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.denied[name]
	if !ok || now >= d.until {
		delete(s.denied, name)
		return 0, false
	}
	return d.wait + time.Duration(rand.Float64()*float64(d.wait)), true
}

func (s *Service) skipped(vm string) bool {
	now := s.deps.Boot.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.skip[vm]
	if ok && now >= until {
		delete(s.skip, vm)
		return false
	}
	return ok
}

// handleTake answers a VM that asks for a token.
func (s *Service) handleTake(ctx context.Context, _ string, payload []byte) (any, error) {
	var r takeRequest
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	c := s.deps.Customers().ByName(r.Customer)
	if c == nil {
		return &takeAnswer{}, nil
	}
	result, wait := s.takeHere(ctx, c)
	return &takeAnswer{Result: result, WaitMS: uint32(wait.Milliseconds())}, nil
}

// errNotGranter answers reports to another VM than the granter.
var errNotGranter = trace.CompareFailed("this VM is not the granter of rate limits")

// handleReport answers a holder's report.
func (s *Service) handleReport(_ context.Context, from string, payload []byte) (any, error) {
	var r report
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	return s.grant(from, &r)
}

func (s *Service) grant(from string, r *report) (*grants, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Boot.SinceBoot()
	if s.granter == nil || !s.lease.valid(now) {
		return nil, errNotGranter
	}
	if id, named := s.lease.holders[from]; !named || id != processID(r.Incarnation) {
		s.granter.replaced(from, r.Incarnation)
		s.lease.early = true // the next renewal names the process
		return nil, errNotGranter
	}
	s.granter.processesEnded(s.granter.pending.ended(s.deps.Members.View()))
	a, ok := s.granter.report(from, r, s.limitOf, now)
	if !ok {
		return nil, errNotGranter
	}
	return a, nil
}

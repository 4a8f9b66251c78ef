// Package regionload exchanges the capacity and demand of regions. The root of each region's
// aggregation tree (see package placement) sends its region's load by service to the roots of the
// other regions. All state is soft: what is not renewed is unknown after 1.5 s.
package regionload

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/overload"
	"masticturn/internal/peer"
	"masticturn/internal/telemetry"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "regionload"

const (
	// SendInterval is the interval of messages to each other region.
	SendInterval = 250 * time.Millisecond
	// maxSendInterval is the longest interval to which large messages are spread. Two of three
	// messages may be lost until a load is unknown.
	maxSendInterval = 500 * time.Millisecond
	// maxBytesPerSecond bounds what a root sends to the other regions, so that its control traffic
	// stays within 14 KB/s together with the totals of its region. Only a message that is too large
	// even at maxSendInterval exceeds it.
	maxBytesPerSecond = 5000
	// messageOverheadBytes is the size of a frame and of the TCP and IP headers.
	messageOverheadBytes = 90
	// publishedTTL is how long published loads are sent. The root publishes several times a second; a
	// VM that is no longer the root ceases to.
	publishedTTL = 750 * time.Millisecond
)

// Deps holds the dependencies of a Service.
type Deps struct {
	Region  string // of this VM
	Network peer.Network
	Members membership.Source
	// RootOf returns the root of the aggregation tree of the named VMs; "" if there are none.
	RootOf  func(vms []string) string
	Boot    kernel.BootClock
	Logger  *telemetry.Logger
	Metrics *metrics.Set
}

// Service sends the load of this VM's region, if this VM is its root, and keeps those of the others.
type Service struct {
	deps        Deps
	meter       *meter
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	unsubscribe func()

	mu          sync.Mutex
	view        *membership.View
	roots       []string // of the other regions
	received    *receivedLoads
	published   map[string]overload.RegionLoad
	publishedAt time.Duration
	unknownFrom map[string]bool // VMs whose messages were rejected, for the log
}

var _ kernel.Service = (*Service)(nil)

// NewService returns a Service and registers its message handler.
func NewService(d Deps) *Service {
	s := &Service{deps: d, meter: newMeter(d.Metrics), received: newReceivedLoads(), view: &membership.View{}, unknownFrom: make(map[string]bool)}
	d.Network.Handle(peer.KindRegionLoad, s.handle)
	return s
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.unsubscribe = s.deps.Members.Subscribe(s.setView)
	s.setView(s.deps.Members.View())
	s.wg.Go(func() { s.run(ctx) })
	return nil
}

// Drain implements kernel.Service. It does nothing, as a draining VM publishes no loads.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.unsubscribe()
	s.cancel()
	s.wg.Wait()
	return nil
}

// Publish sets the loads of this VM's region by service, which are sent until they are replaced or
// 0.75 s old. Only the root of the region calls it. It keeps the map, which must not be modified.
func (s *Service) Publish(loads map[string]overload.RegionLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published, s.publishedAt = loads, s.deps.Boot.SinceBoot()
}

// Others returns the loads of the other regions for a service, without those older than 1.5 s and those of
// VMs that are not in the region by the member list.
func (s *Service) Others(service string) map[string]overload.RegionLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received.others(service, s.inRegion, s.deps.Boot.SinceBoot())
}

// setView replaces the member list.
func (s *Service) setView(v *membership.View) {
	byRegion := make(map[string][]string)
	for _, m := range v.Members {
		if m.State == membership.Alive && m.Region != s.deps.Region {
			byRegion[m.Region] = append(byRegion[m.Region], m.Name)
		}
	}
	var roots []string
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		roots = append(roots, s.deps.RootOf(byRegion[region]))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view, s.roots = v, roots
	s.received.prune(func(vm string) bool { _, ok := v.Member(vm); return ok })
	clear(s.unknownFrom)
}

// inRegion reports whether a VM is in another region by the member list. s.mu is held.
func (s *Service) inRegion(vm, region string) bool {
	m, ok := s.view.Member(vm)
	return ok && m.Region == region && region != s.deps.Region
}

// run sends loads until the context is done.
func (s *Service) run(ctx context.Context) {
	timer := time.NewTimer(SendInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			timer.Reset(s.send())
		case <-ctx.Done():
			return
		}
	}
}

// send sends the published loads to the roots of the other regions, and returns the time until the next
// message. Errors are ignored, as the next message replaces a lost one.
func (s *Service) send() time.Duration {
	s.mu.Lock()
	now := s.deps.Boot.SinceBoot()
	roots, loads := s.roots, s.published
	fresh := now-s.publishedAt <= publishedTTL
	s.mu.Unlock()
	if !fresh || len(loads) == 0 || len(roots) == 0 {
		return SendInterval
	}
	m := message{Region: s.deps.Region, SentMS: uint64(now.Milliseconds()), Services: make(map[string]wireLoad, len(loads))}
	for service, load := range loads {
		m.Services[service] = toWire(load)
	}
	for _, root := range roots {
		_ = s.deps.Network.Send(root, peer.KindRegionLoad, &m)
	}
	return interval(&m, len(roots))
}

// interval returns the time until the next message, with which a root stays within maxBytesPerSecond.
func interval(m *message, recipients int) time.Duration {
	payload, err := peer.Encode(m)
	if err != nil {
		return SendInterval
	}
	bytes := (len(payload) + messageOverheadBytes) * recipients
	return min(max(SendInterval, time.Duration(bytes)*time.Second/maxBytesPerSecond), maxSendInterval)
}

// handle stores the load of another region.
func (s *Service) handle(_ context.Context, from string, payload []byte) (any, error) {
	var m message
	if err := peer.Decode(payload, &m); err != nil {
		s.meter.countDropped(dropUnreadable)
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.inRegion(from, m.Region) {
		s.reject(from, m.Region)
		return nil, trace.AccessDenied("VM %s is not in region %s by the member list", from, m.Region)
	}
	if !s.received.record(from, &m, s.deps.Boot.SinceBoot()) {
		s.meter.countDropped(dropOvertaken)
	}
	return nil, nil
}

// reject counts a message of a VM that isn't in the region, and logs the first one for a member list. s.mu
// is held.
func (s *Service) reject(from, region string) {
	s.meter.countDropped(dropWrongRegion)
	if s.unknownFrom[from] {
		return
	}
	s.unknownFrom[from] = true
	s.deps.Logger.Log(eventLoadRejected, telemetry.Peer(from), telemetry.Value("region", region))
}

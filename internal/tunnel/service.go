// Package tunnel connects a VM to targets that it does not reach itself, through other VMs that do. A VM
// finds out that its own ways are lost by comparing: what it fails to reach, another VM reaches.
package tunnel

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/telemetry"
	"masticturn/internal/wait"
)

// ServiceName is the name under which the service is registered.
const ServiceName = "tunnel"

// Announcer tells the other VMs whether this one is partitioned.
type Announcer interface {
	membership.Source
	SetPartitioned(partitioned bool)
}

// Notices holds what targets have announced to this VM.
type Notices interface {
	// Notice returns what a target has announced.
	Notice(target string) (leaving bool, backoff time.Duration)
	// RecordNotice records what a target has announced to another VM.
	RecordNotice(target string, leaving bool, backoff time.Duration)
	// RecordLimit records the rate limit that a target has named to another VM, in requests/s.
	RecordLimit(target string, perSecond float64)
	// ForgetFailures forgets the failures of targets since a time, as they were this VM's.
	ForgetFailures(since time.Time)
}

// Deps are the dependencies of a Service.
type Deps struct {
	Self        string // name of this VM
	Incarnation uint64 // of this VM's process; tells its tunnels from those of earlier processes in logs
	Region      string // of this VM
	MemoryBytes int64  // of this VM; 0: unknown
	Members     Announcer
	Config      config.Source
	Streams     peer.Streams
	Network     peer.Network
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	Clock       kernel.Clock
	Logger      *telemetry.Logger
	Metrics     *metrics.Set
}

// Service opens connections to targets, through other VMs if necessary, and carries connections of other VMs.
type Service struct {
	deps          Deps
	health        *Health
	lastID        atomic.Uint64
	carriersInUse *useCount // open tunnels of this VM, by carrying VM
	originsInUse  *useCount // open tunnels that this VM carries, by the VM that opened them
	buffers       sync.Pool
	opened        *metrics.Counter
	carried       *metrics.Counter
	carriedBytes  *metrics.Counter
	relayed       *metrics.Counter
	responseTime  *metrics.Histogram // until the carrying VM tells whether it connected, in s
	connectTime   *metrics.Histogram // of connects for other VMs, in s

	mu         sync.Mutex
	notices    Notices // nil: not set yet
	onSilence  []func()
	avoidUntil map[string]time.Time
	tunnels    map[*carriedTunnel]struct{} // that this VM carries
	waiting    map[net.Conn]struct{}       // ready tunnels of other VMs
	ctx        context.Context             // from Start to Stop

	ready          readyTunnels
	cancel         context.CancelFunc
	checks         sync.WaitGroup
	checkRequested chan struct{} // capacity 1
}

var _ kernel.Service = (*Service)(nil)

// NewService returns a Service. Start begins to check the ways to targets.
func NewService(d Deps) *Service {
	s := &Service{
		deps:          d,
		health:        NewHealth(d.Clock.Now()),
		carriersInUse: newUseCount(),
		originsInUse:  newUseCount(),
		opened:        d.Metrics.GetOrCreateCounter(`masticturn_tunnels_total{role="origin"}`),
		carried:       d.Metrics.GetOrCreateCounter(`masticturn_tunnels_total{role="carrier"}`),
		carriedBytes:  d.Metrics.GetOrCreateCounter("masticturn_tunnel_carried_bytes_total"),
		relayed:       d.Metrics.GetOrCreateCounter("masticturn_ready_tunnels_used_total"),
		responseTime:  d.Metrics.GetOrCreateHistogram("masticturn_ready_tunnel_response_seconds"),
		connectTime:   d.Metrics.GetOrCreateHistogram("masticturn_tunnel_connect_seconds"),
		avoidUntil:    make(map[string]time.Time),
		tunnels:       make(map[*carriedTunnel]struct{}),
		waiting:       make(map[net.Conn]struct{}),

		ready:          readyTunnels{byRegion: make(map[string]*readyRegion), overdue: make(map[*Conn]struct{})},
		ctx:            context.Background(),
		checkRequested: make(chan struct{}, 1),
	}
	s.buffers.New = func() any { return new([chunkHeadBytes + maxChunkBytes]byte) }
	d.Metrics.GetOrCreateGauge("masticturn_partitioned", func() float64 {
		if s.health.Partitioned() {
			return 1
		}
		return 0
	})
	d.Metrics.GetOrCreateGauge("masticturn_detoured_targets", func() float64 { return float64(s.health.DetourCount()) })
	d.Metrics.GetOrCreateGauge(`masticturn_tunnels_open{role="origin"}`, func() float64 { return float64(s.carriersInUse.total()) })
	d.Metrics.GetOrCreateGauge(`masticturn_tunnels_open{role="carrier"}`, func() float64 { return float64(s.originsInUse.total()) })
	d.Metrics.GetOrCreateGauge("masticturn_ready_tunnels", func() float64 { return float64(s.ready.count()) })
	d.Streams.HandleStreams(s.acceptStream)
	d.Network.Handle(peer.KindTargetNotice, s.handleNotice)
	return s
}

// SetNotices sets the source of targets' notices. It must be called before Start.
func (s *Service) SetNotices(n Notices) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices = n
}

// OnSilence registers f to be called when this VM finds itself partitioned and no open connection has brought
// anything for a while: what was sent on them will not be answered soon. It must be called before Start.
func (s *Service) OnSilence(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onSilence = append(s.onSilence, f)
}

func (s *Service) silenceHandlers() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.onSilence)
}

func (s *Service) noticeSource() Notices {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// checkInterval is the interval at which the ways to targets are checked, if they are to be checked.
const checkInterval = 200 * time.Millisecond

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.checks.Go(func() { s.runChecks(ctx) })
	return nil
}

// lifetime returns a context that ends with Stop.
func (s *Service) lifetime() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx
}

// drainPollInterval is how often Drain checks whether tunnels are still open.
const drainPollInterval = 50 * time.Millisecond

// Drain implements kernel.Service: it waits until no connection is carried.
func (s *Service) Drain(ctx context.Context) error {
	for s.originsInUse.total() > 0 {
		if !wait.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		s.checks.Wait()
	}
	s.ready.close()
	s.closeWaiting()
	s.closeTunnels(func(*carriedTunnel) bool { return true })
	return nil
}

// apply acts on a change of this VM's state. target and carrier are the latest evidence.
func (s *Service) apply(change Change, target, carrier string) {
	switch change {
	case BecamePartitioned:
		s.deps.Logger.Log(eventPartitioned, telemetry.Peer(carrier), telemetry.Value("target", target),
			telemetry.Value("silent_ms", s.deps.Clock.Now().Sub(s.health.Since()).Milliseconds()))
		if n := s.noticeSource(); n != nil {
			n.ForgetFailures(s.health.Since())
		}
		if s.health.Silent(s.deps.Clock.Now()) {
			s.closeTunnels(func(*carriedTunnel) bool { return true })
			for _, f := range s.silenceHandlers() {
				f()
			}
		}
		s.deps.Members.SetPartitioned(true)
	case BecameReachable:
		s.deps.Logger.Log(eventReachable, telemetry.Value("target", target),
			telemetry.Value("partitioned_ms", s.deps.Clock.Now().Sub(s.health.Since()).Milliseconds()))
		s.deps.Members.SetPartitioned(false)
	}
}

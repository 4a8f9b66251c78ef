// Package daemon assembles the services that run on one VM.
package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/platform"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// DialFunc opens a connection. Benchmarks inject delays and faults with it.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// ListenFunc opens a listener.
type ListenFunc = func(network, address string) (net.Listener, error)

// Options configures a daemon in addition to its settings. All fields are optional.
type Options struct {
	Logger *telemetry.Logger // nil: nothing is logged
	Clock  kernel.Clock      // nil: the system clock
	Boot   kernel.BootClock  // nil: the system's boot clock
	Store  platform.Store    // nil: an HTTP client of settings.Platform
	Dial   DialFunc          // nil: a net.Dialer with keepAlive; used for peers, targets and the platform
	Listen ListenFunc        // nil: net.Listen
	// Metrics is the set in which the daemon registers its metrics; nil: a new set.
	Metrics *metrics.Set
	// Hosted makes the daemon run on a platform; nil: the daemon runs standalone.
	Hosted *Hosted
}

// Daemon runs the services of one VM.
type Daemon struct {
	settings       *settings.Settings
	opts           Options
	incarnation    uint64
	kernel         *kernel.Kernel
	listeners      listeners
	drainOnce      sync.Once
	drainRequested chan struct{}
}

// New opens the listeners of a daemon and registers its services, which run only
// after Start. If a listener can't be opened, the error names its address.
func New(s *settings.Settings, opts Options) (*Daemon, error) {
	if opts.Clock == nil {
		opts.Clock = kernel.SystemClock{}
	}
	if opts.Boot == nil {
		opts.Boot = kernel.NewSystemBootClock()
	}
	if opts.Logger == nil {
		opts.Logger = telemetry.Discard()
	}
	if opts.Dial == nil {
		opts.Dial = newDialer().DialContext
	}
	if opts.Listen == nil {
		opts.Listen = net.Listen
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	l, err := openListeners(s.Listen, opts.Listen)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:       s,
		opts:           opts,
		incarnation:    membership.NewIncarnation(time.Now()),
		kernel:         kernel.New(opts.Clock),
		listeners:      l,
		drainRequested: make(chan struct{}),
	}
	for _, m := range d.modules() {
		if err := d.kernel.Register(m); err != nil {
			return nil, trace.NewAggregate(err, l.close())
		}
	}
	return d, nil
}

// keepAlive configures TCP keep-alive probes. They detect within three seconds that
// the peer or the network has lost a connection, also while no messages are sent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func newDialer() *net.Dialer { return &net.Dialer{KeepAliveConfig: keepAlive} }

// Start starts all services. If it returns nil, the listeners serve. PathReadyz
// reports whether callers may be sent to this VM.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.kernel.Start(ctx); err != nil {
		return trace.NewAggregate(err, d.listeners.close())
	}
	d.opts.Logger.Log(eventStarted,
		telemetry.Value("zone", d.settings.VM.Zone),
		telemetry.Value("region", d.settings.VM.Region),
		telemetry.Value("callers", d.CallerAddress()),
		telemetry.Value("peers", d.PeerAddress()),
		telemetry.Value("operators", d.OperatorAddress()))
	return nil
}

// HandleReload logs which sections of reloaded settings differ from those in force, or
// the error of reading them. It applies nothing: all settings are fixed when the
// process starts, and changes need a restart.
func (d *Daemon) HandleReload(s *settings.Settings, err error) {
	if err != nil {
		d.opts.Logger.Log(eventReloadFailed, telemetry.Err(err))
		return
	}
	d.opts.Logger.Log(eventReloaded, telemetry.Value("changed", d.settings.ChangedSections(s)))
}

// RequestDrain asks the program that runs the daemon to drain it. Only the first call
// has an effect.
func (d *Daemon) RequestDrain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

// DrainRequested returns a channel that RequestDrain closes.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.drainRequested }

// isDraining reports whether a drain was requested or is in progress.
func (d *Daemon) isDraining() bool {
	select {
	case <-d.drainRequested:
		return true
	default:
		return false
	}
}

// Drain leaves the fleet without aborting requests: look-ups stop naming this VM,
// which continues to serve until the last cached look-up has expired and no request
// is in flight. It returns early if the context is done.
func (d *Daemon) Drain(ctx context.Context) error {
	d.RequestDrain()
	started := time.Now()
	d.opts.Logger.Log(eventDraining)
	err := d.kernel.Drain(ctx)
	d.opts.Logger.Log(eventDrained, telemetry.Value("took_ms", time.Since(started).Milliseconds()))
	return err
}

// Stop stops all services immediately.
func (d *Daemon) Stop(ctx context.Context) error {
	return trace.NewAggregate(d.kernel.Stop(ctx), d.listeners.close())
}

// Metrics returns the metrics of this daemon.
func (d *Daemon) Metrics() *metrics.Set { return d.opts.Metrics }

// Kernel returns the kernel, so that tests and benchmarks can look up services by name.
func (d *Daemon) Kernel() *kernel.Kernel { return d.kernel }

// CallerAddress returns the host:port of the callers' listener.
func (d *Daemon) CallerAddress() string { return d.listeners.callers.Addr().String() }

// PeerAddress returns the host:port of the peers' listener.
func (d *Daemon) PeerAddress() string { return d.listeners.peers.Addr().String() }

// OperatorAddress returns the host:port of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.listeners.operators.Addr().String() }

// Package daemon assembles the services of one VM.
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

// DialFunc opens a connection; benches put delays and faults there.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// ListenFunc opens a listener.
type ListenFunc = func(network, address string) (net.Listener, error)

// Options are what a daemon takes besides its settings. All are optional.
type Options struct {
	Logger *telemetry.Logger // nil: no log
	Clock  kernel.Clock      // nil: the machine's
	Boot   kernel.BootClock  // nil: the machine's
	Store  platform.Store    // nil: an HTTP client of settings.Platform
	Dial   DialFunc          // nil: a plain net.Dialer; used towards peers, targets and the platform
	Listen ListenFunc        // nil: net.Listen
	// Metrics takes the metrics of the daemon; nil: a set of its own.
	Metrics *metrics.Set
	// Hosted makes the daemon run on a platform; nil: it stands alone.
	Hosted *Hosted
}

// Daemon is the system on one VM.
type Daemon struct {
	settings    *settings.Settings
	opts        Options
	incarnation uint64
	kernel      *kernel.Kernel
	listeners   listeners
	drainOnce   sync.Once
	drainAsk    chan struct{}
}

// New opens the listeners of a daemon and registers its services. Nothing runs
// before Start. The error names the address that could not be opened.
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
		settings:    s,
		opts:        opts,
		incarnation: membership.NewIncarnation(time.Now()),
		kernel:      kernel.New(opts.Clock),
		listeners:   l,
		drainAsk:    make(chan struct{}),
	}
	for _, m := range d.modules() {
		if err := d.kernel.Register(m); err != nil {
			return nil, trace.NewAggregate(err, l.close())
		}
	}
	return d, nil
}

// Keep-alive probes of connections: one that a peer or a link has lost track
// of is noticed within three seconds, without a message of our own.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func newDialer() *net.Dialer { return &net.Dialer{KeepAliveConfig: keepAlive} }

// Start starts all services. When it returns nil the listeners serve; readiness
// to be given callers is a matter of PathReadyz.
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

// Reloaded takes the settings as they were read again. All of them are fixed
// when a process starts, so that what differs is told and takes a restart.
func (d *Daemon) Reloaded(s *settings.Settings, err error) {
	if err != nil {
		d.opts.Logger.Log(eventReloadFailed, telemetry.Err(err))
		return
	}
	d.opts.Logger.Log(eventReloaded, telemetry.Value("changed", d.settings.ChangedSections(s)))
}

// RequestDrain asks the program that runs the daemon to drain it.
func (d *Daemon) RequestDrain() { d.drainOnce.Do(func() { close(d.drainAsk) }) }

// DrainRequested is closed once a drain was asked for by RequestDrain.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.drainAsk }

// draining reports whether a drain was asked for or runs.
func (d *Daemon) draining() bool {
	select {
	case <-d.drainAsk:
		return true
	default:
		return false
	}
}

// Drain leaves the fleet without cutting a request: look-ups stop naming this
// VM, and it serves on until the last cached look-up has expired and nothing
// is in flight. It returns early when the context is done.
func (d *Daemon) Drain(ctx context.Context) error {
	d.RequestDrain()
	started := time.Now()
	d.opts.Logger.Log(eventDraining)
	err := d.kernel.Drain(ctx)
	d.opts.Logger.Log(eventDrained, telemetry.Value("took_ms", time.Since(started).Milliseconds()))
	return err
}

// Stop ends all services at once.
func (d *Daemon) Stop(ctx context.Context) error {
	return trace.NewAggregate(d.kernel.Stop(ctx), d.listeners.close())
}

// Metrics returns the metrics of this daemon.
func (d *Daemon) Metrics() *metrics.Set { return d.opts.Metrics }

// Kernel returns the kernel, to look services up by name in tests and benches.
func (d *Daemon) Kernel() *kernel.Kernel { return d.kernel }

// CallerAddress returns host:port of the callers' listener.
func (d *Daemon) CallerAddress() string { return d.listeners.callers.Addr().String() }

// PeerAddress returns host:port of the peers' listener.
func (d *Daemon) PeerAddress() string { return d.listeners.peers.Addr().String() }

// OperatorAddress returns host:port of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.listeners.operators.Addr().String() }

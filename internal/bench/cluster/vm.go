package cluster

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"masticturn/internal/edge"
	"masticturn/internal/settings"
	"masticturn/internal/standin/network"
	"masticturn/internal/telemetry"
)

// Daemon is a running daemon.
type Daemon interface {
	// Drain stops it gracefully, as SIGTERM does, and returns when it ended.
	Drain(ctx context.Context) error
	// Kill ends it at once; its listeners are closed when it returns.
	Kill()
}

// DaemonDeps is what a daemon of a cluster uses in place of its own.
type DaemonDeps struct {
	Dial    network.DialFunc // for all connections that it opens
	Metrics *metrics.Set
	Logger  *telemetry.Logger
}

// StartDaemon starts a daemon and returns when its listeners are open.
type StartDaemon func(ctx context.Context, s *settings.Settings, deps DaemonDeps) (Daemon, error)

// VM is a VM of the cluster.
type VM struct {
	Host     network.Host
	Settings *settings.Settings
	cluster  *Cluster

	mu      sync.Mutex
	daemon  Daemon
	metrics *metrics.Set
}

// Waits of a VM.
const (
	readyPoll    = 20 * time.Millisecond
	readyTimeout = time.Second
	unlistLag    = 3 * time.Second // of the platform's list behind a death
)

// Start starts the daemon of the VM.
func (v *VM) Start(ctx context.Context) error {
	v.cluster.Network.Up(v.Host)
	set := metrics.NewSet()
	logger := telemetry.NewLogger(v.cluster.opts.LogTo, telemetry.FormatText, v.cluster.opts.LogLevel, v.Host.Name)
	var daemon Daemon
	err := bounded("start", startBound, func() (err error) {
		daemon, err = v.cluster.opts.Start(ctx, v.Settings, DaemonDeps{
			Dial:    v.cluster.dialer(v.Host),
			Metrics: set,
			Logger:  logger,
		})
		return err
	})
	if err != nil {
		return trace.Wrap(err, "start %s", v.Host.Name)
	}
	v.mu.Lock()
	v.daemon, v.metrics = daemon, set
	v.mu.Unlock()
	v.cluster.note(Event{What: VMStarted, VM: v.Host.Name})
	return v.cluster.listVM(v)
}

// Metrics returns the metrics of the present daemon, nil before Start.
func (v *VM) Metrics() *metrics.Set {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.metrics
}

// WaitReady waits until the daemon says that it may be given callers.
func (v *VM) WaitReady(ctx context.Context) error {
	url := "http://" + v.Settings.Listen.Operators + edge.PathReadyz
	client := &http.Client{Timeout: readyTimeout}
	for {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "%s is not ready", v.Host.Name)
		}
	}
}

// Running reports whether the daemon runs.
func (v *VM) Running() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemon != nil
}

func (v *VM) take() Daemon {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.daemon
	v.daemon = nil
	return d
}

// Kill ends the daemon at once, with all its connections.
func (v *VM) Kill() error {
	d := v.take()
	if d == nil {
		return nil
	}
	v.cluster.note(Event{What: VMKilled, VM: v.Host.Name})
	v.cluster.Network.Down(v.Host)
	err := v.kill(d)
	v.cluster.unlistAfter(v, unlistLag)
	return err
}

func (v *VM) kill(d Daemon) error {
	err := bounded("kill", killBound, func() error {
		d.Kill()
		return nil
	})
	return trace.Wrap(err, "kill %s", v.Host.Name)
}

// Drain stops the daemon as planned and returns when it has ended. What is
// left when the context ends is cut.
func (v *VM) Drain(ctx context.Context) error {
	d := v.take()
	if d == nil {
		return nil
	}
	v.cluster.note(Event{What: VMDrains, VM: v.Host.Name})
	limit := drainBound
	if deadline, ok := ctx.Deadline(); ok {
		limit += time.Until(deadline)
	} else {
		limit += v.cluster.Document.Drain.GraceMS.Duration()
	}
	err := bounded("drain", limit, func() error { return d.Drain(ctx) })
	v.cluster.note(Event{What: VMDrained, VM: v.Host.Name})
	v.cluster.unlistAfter(v, unlistLag)
	return trace.Wrap(err, "drain %s", v.Host.Name)
}

// stop ends the daemon without a record.
func (v *VM) stop() error {
	if d := v.take(); d != nil {
		return v.kill(d)
	}
	return nil
}

// Isolate holds back everything from and to the VM, as if it were paused; its
// own clock goes on. Rejoin lets it all through.
func (v *VM) Isolate() {
	v.cluster.note(Event{What: VMIsolated, VM: v.Host.Name})
	v.cluster.Network.HoldHost(v.Host, true)
}

// Rejoin ends Isolate.
func (v *VM) Rejoin() {
	v.cluster.Network.HoldHost(v.Host, false)
	v.cluster.note(Event{What: VMRejoined, VM: v.Host.Name})
}

package peer

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the parameters of a TCP network. Zero values of the bounds and
// timings mean their defaults.
type Options struct {
	VM          string // name of this VM
	Incarnation uint64 // of this process
	Listen      string // host:port of the listener
	TLS         settings.TLS

	Listener    net.Listener // in place of Listen, if not nil
	DialContext DialFunc     // in place of a net.Dialer, if not nil
	Metrics     *metrics.Set // may be nil
	Logger      *telemetry.Logger

	MaxFrameBytes   int           // largest frame either way
	MaxQueueBytes   int           // bound of the write queue to one VM
	MaxCalls        int           // calls of one connection handled at once
	MaxConnections  int           // accepted connections
	FramesPerSecond int           // accepted per connection; a faster peer is read slower
	PingAfter       time.Duration // without an ack for this time a ping is sent
	DetachAfter     time.Duration // ... new messages go to a new connection
	DeadAfter       time.Duration // ... the connection is closed
	IdleTimeout     time.Duration // a connection without messages is closed
	DialTimeout     time.Duration // of opening a connection, hello included
	MinBackoff      time.Duration // first wait after a failed dial
	MaxBackoff      time.Duration // longest wait after failed dials
}

// Defaults of Options.
const (
	defaultMaxFrameBytes   = 2 << 20
	defaultMaxQueueBytes   = 8 << 20
	defaultMaxCalls        = 16384
	defaultMaxConnections  = 4096
	defaultFramesPerSecond = 500_000
	defaultPingAfter       = 450 * time.Millisecond
	defaultDetachAfter     = 750 * time.Millisecond
	defaultDeadAfter       = time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultDialTimeout     = time.Second
	defaultMinBackoff      = 50 * time.Millisecond
	defaultMaxBackoff      = 2 * time.Second
)

// orDefault sets *v to def if it is zero.
func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (o *Options) setDefaults() {
	orDefault(&o.MaxFrameBytes, defaultMaxFrameBytes)
	orDefault(&o.MaxQueueBytes, defaultMaxQueueBytes)
	orDefault(&o.MaxCalls, defaultMaxCalls)
	orDefault(&o.MaxConnections, defaultMaxConnections)
	orDefault(&o.FramesPerSecond, defaultFramesPerSecond)
	orDefault(&o.PingAfter, defaultPingAfter)
	orDefault(&o.DetachAfter, defaultDetachAfter)
	orDefault(&o.DeadAfter, defaultDeadAfter)
	orDefault(&o.IdleTimeout, defaultIdleTimeout)
	orDefault(&o.DialTimeout, defaultDialTimeout)
	orDefault(&o.MinBackoff, defaultMinBackoff)
	orDefault(&o.MaxBackoff, defaultMaxBackoff)
	if o.DialContext == nil {
		o.DialContext = new(net.Dialer).DialContext
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
}

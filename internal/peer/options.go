package peer

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the parameters of a TCP network. Limits and durations that are zero
// are set to their defaults.
type Options struct {
	VM          string // name of this VM
	Incarnation uint64 // incarnation of this process
	Listen      string // host:port to listen on
	TLS         settings.TLS

	Listener    net.Listener // used instead of Listen if not nil
	DialContext DialFunc     // used instead of net.Dialer if not nil
	Metrics     *metrics.Set // may be nil
	Logger      *telemetry.Logger

	MaxFrameBytes   int           // maximum size of a frame sent or received
	MaxQueueBytes   int           // maximum size of the write queue to a VM
	MaxCalls        int           // maximum number of concurrently handled calls of a connection
	MaxConnections  int           // maximum number of accepted connections
	FramesPerSecond int           // maximum rate of frames read per connection; faster peers are throttled
	PingAfter       time.Duration // send a ping if frames stay unacknowledged for this time
	DetachAfter     time.Duration // ... use a new connection for new messages
	DeadAfter       time.Duration // ... close the connection
	IdleTimeout     time.Duration // close a connection without messages after this time
	DialTimeout     time.Duration // timeout of opening a connection, including the handshake
	MinBackoff      time.Duration // initial delay after a failed dial
	MaxBackoff      time.Duration // maximum delay after failed dials
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

// orDefault sets *v to def if *v is the zero value.
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

package customer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/kernel"
	"masticturn/internal/telemetry"
	"masticturn/internal/wait"
)

// GuardName is the name under which the guard is registered.
const GuardName = "customer.guard"

const (
	// guardMargin allows for clock drift between a VM and the store.
	guardMargin = 50 * time.Millisecond
	// guardInterval is the interval at which the guard checks whether keys may be used, and
	// announces changes.
	guardInterval = 100 * time.Millisecond
)

// GuardDeps are the dependencies of a Guard.
type GuardDeps struct {
	// MaxRevocationDelay is the time within which every VM must refuse a removed key; 0: no bound.
	MaxRevocationDelay time.Duration
	// Age returns an upper bound on the age of this VM's document, including time during which
	// the VM was suspended.
	Age func() time.Duration
	// HasCustomers reports whether the document has customers.
	HasCustomers func() bool
	// Announce tells the other VMs whether this one serves requests with keys.
	Announce func(serves bool)
	Logger   *telemetry.Logger
	Metrics  *metrics.Set
}

// Guard allows the use of keys only while this VM's document is recent enough to include every key
// removal that must already be enforced.
type Guard struct {
	deps              GuardDeps
	maxAge            time.Duration
	cancel            context.CancelFunc
	done              chan struct{}
	announcedRefusing atomic.Bool // the state that was last announced
}

var _ kernel.Service = (*Guard)(nil)

// NewGuard returns a Guard. If there is a bound, it registers the gauge of the document's age.
func NewGuard(d GuardDeps) *Guard {
	if d.MaxRevocationDelay > 0 {
		d.Metrics.GetOrCreateGauge("masticturn_document_age_seconds", func() float64 { return d.Age().Seconds() })
	}
	return &Guard{deps: d, maxAge: d.MaxRevocationDelay - guardMargin, done: make(chan struct{})}
}

// KeysUsable reports whether keys may be used. For each request, it must be called after the request
// was received and before the document by which the request is judged is loaded.
func (g *Guard) KeysUsable() bool { return g.deps.MaxRevocationDelay == 0 || g.deps.Age() < g.maxAge }

// Provision implements kernel.Service.
func (g *Guard) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (g *Guard) Start(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	go g.run(ctx)
	return nil
}

func (g *Guard) run(ctx context.Context) {
	defer close(g.done)
	if g.deps.MaxRevocationDelay > 0 {
		wait.Every(ctx, guardInterval, g.check)
	}
}

// check announces and logs a change of state. Without customers no key is refused.
func (g *Guard) check() {
	refusing := g.deps.HasCustomers() && !g.KeysUsable()
	if g.announcedRefusing.Swap(refusing) == refusing {
		return
	}
	g.deps.Announce(!refusing)
	event := eventKeysServed
	if refusing {
		event = eventKeysRefused
	}
	g.deps.Logger.Log(event, telemetry.Value("age_ms", g.deps.Age().Milliseconds()))
}

// Drain implements kernel.Service.
func (g *Guard) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (g *Guard) Stop(context.Context) error {
	if g.cancel != nil {
		g.cancel()
		<-g.done
	}
	return nil
}

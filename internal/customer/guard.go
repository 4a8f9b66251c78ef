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
	// guardMargin covers the drift between the clocks of a VM and the store.
	guardMargin = 50 * time.Millisecond
	// guardInterval is the interval at which the guard announces whether this VM serves keys.
	guardInterval = 100 * time.Millisecond
)

// GuardDeps is what a Guard needs.
type GuardDeps struct {
	// Revocation is the time after which a removed key must be refused by every VM; 0: no bound.
	Revocation time.Duration
	// Age returns the greatest age that this VM's document may have. Time for which the machine was
	// suspended counts.
	Age func() time.Duration
	// Keyed reports whether the document has customers.
	Keyed func() bool
	// Announce publishes to the other VMs whether this one serves requests with keys.
	Announce func(serves bool)
	Logger   *telemetry.Logger
	Metrics  *metrics.Set
}

// Guard allows keys to be used only while this VM can prove that it would know of their removal.
type Guard struct {
	deps    GuardDeps
	limit   time.Duration
	cancel  context.CancelFunc
	done    chan struct{}
	refuses atomic.Bool // as announced
}

var _ kernel.Service = (*Guard)(nil)

// NewGuard returns a guard.
func NewGuard(d GuardDeps) *Guard {
	if d.Revocation > 0 {
		d.Metrics.GetOrCreateGauge("masticturn_document_age_seconds", func() float64 { return d.Age().Seconds() })
	}
	return &Guard{deps: d, limit: d.Revocation - guardMargin, done: make(chan struct{})}
}

// Current reports whether keys may be used. It must be called after the request was received and
// before the document that decides on it is loaded.
func (g *Guard) Current() bool { return g.deps.Revocation == 0 || g.deps.Age() < g.limit }

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
	if g.deps.Revocation > 0 {
		wait.Every(ctx, guardInterval, g.check)
	}
}

// check announces a change. A VM without customers refuses nothing.
func (g *Guard) check() {
	refuses := g.deps.Keyed() && !g.Current()
	if g.refuses.Swap(refuses) == refuses {
		return
	}
	g.deps.Announce(!refuses)
	event := eventKeysServed
	if refuses {
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

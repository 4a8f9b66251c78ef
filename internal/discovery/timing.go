package discovery

import (
	"time"

	"masticturn/internal/platform"
	"masticturn/internal/settings"
)

// Timing is the freshness of a kind that makes changes known everywhere within a bound.
type Timing struct {
	// Watch is how long the store may hold a watch. It bounds the time until an outage or
	// missed changes are detected.
	Watch time.Duration
	// Stale is the age from which a peer's state is insufficient. It covers a watch, the
	// delay between regions and settlePause; the rest of the bound is for polling others.
	Stale time.Duration
}

// Timings and the bounds that they hold; tighter bounds shorten them in proportion.
var (
	// changeTiming is that of the document and the targets.
	changeTiming = Timing{Watch: 950 * time.Millisecond, Stale: 1350 * time.Millisecond}
	changeBound  = 2 * time.Second
	// zonesTiming is that of the evacuated zones.
	zonesTiming = Timing{Watch: 2400 * time.Millisecond, Stale: 2800 * time.Millisecond}
	zonesBound  = 5 * time.Second
)

// readsPerRevocation is how many watches of the document end within the time in which a removed key
// must be refused. A VM may then miss several of them.
const readsPerRevocation = 10

// Timings returns each kind's timing under the deployment's bounds.
func Timings(kinds Kinds, b settings.Bounds) map[platform.Kind]Timing {
	document := changeTiming.within(changeBound, b.ConfigInForce)
	if b.KeyRevocation > 0 {
		watch := min(document.Watch, b.KeyRevocation/readsPerRevocation)
		document = Timing{Watch: watch, Stale: document.Stale - document.Watch + watch}
	}
	return map[platform.Kind]Timing{
		kinds.Document:    document,
		kinds.Targets:     changeTiming.within(changeBound, b.TargetDrain),
		kinds.Evacuations: zonesTiming.within(zonesBound, b.ZoneEvacuation),
	}
}

// within scales a timing that holds one bound to a tighter one; 0: no bound.
func (t Timing) within(holds, bound time.Duration) Timing {
	if bound == 0 || bound >= holds {
		return t
	}
	part := float64(bound) / float64(holds)
	return Timing{
		Watch: time.Duration(part * float64(t.Watch)),
		Stale: time.Duration(part * float64(t.Stale)),
	}
}

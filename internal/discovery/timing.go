package discovery

import (
	"time"

	"masticturn/internal/platform"
	"masticturn/internal/settings"
)

// Timing sets how fresh each VM keeps its state of a kind, so that changes reach all VMs within a
// bound.
type Timing struct {
	// WatchTimeout is how long the store may hold a watch. An outage or missed changes are detected
	// within this time.
	WatchTimeout time.Duration
	// StaleAfter is the age above which a peer's state is stale. It covers a watch, the delay between
	// regions and coalesceDelay. The rest of the bound is left for polling other peers.
	StaleAfter time.Duration
	// FallbackWithin bounds the time until every VM whose sources are stale has read the store itself. 0: no
	// bound, so that these reads don't grow with the fleet.
	FallbackWithin time.Duration
}

// Default timings and the bounds that they meet. For tighter bounds they are shortened in
// proportion.
var (
	// changeTiming applies to the document and the targets.
	changeTiming = Timing{WatchTimeout: 950 * time.Millisecond, StaleAfter: 1350 * time.Millisecond}
	changeBound  = 2 * time.Second
	// zonesTiming applies to the evacuated zones.
	zonesTiming = Timing{WatchTimeout: 2400 * time.Millisecond, StaleAfter: 2800 * time.Millisecond}
	zonesBound  = 5 * time.Second
)

// watchesPerRevocation is the number of watches of the document that end within the bound after
// which a removed key must be refused, so that a VM may miss several of them.
const watchesPerRevocation = 10

// fallbacksPerRevocation is the number of times that FallbackWithin of the document goes into the same bound.
const fallbacksPerRevocation = 4

// Timings returns the timing of each kind under the deployment's bounds.
func Timings(kinds Kinds, b settings.Bounds) map[platform.Kind]Timing {
	document := changeTiming.scaledTo(changeBound, b.ConfigInForce)
	if b.KeyRevocation > 0 {
		watch := min(document.WatchTimeout, b.KeyRevocation/watchesPerRevocation)
		document = Timing{
			WatchTimeout:   watch,
			StaleAfter:     document.StaleAfter - document.WatchTimeout + watch,
			FallbackWithin: b.KeyRevocation / fallbacksPerRevocation,
		}
	}
	return map[platform.Kind]Timing{
		kinds.Document:    document,
		kinds.Targets:     changeTiming.scaledTo(changeBound, b.TargetDrain),
		kinds.Evacuations: zonesTiming.scaledTo(zonesBound, b.ZoneEvacuation),
	}
}

// scaledTo scales a timing that meets designBound to a tighter bound. A bound of 0 means none.
func (t Timing) scaledTo(designBound, bound time.Duration) Timing {
	if bound == 0 || bound >= designBound {
		return t
	}
	ratio := float64(bound) / float64(designBound)
	return Timing{
		WatchTimeout: time.Duration(ratio * float64(t.WatchTimeout)),
		StaleAfter:   time.Duration(ratio * float64(t.StaleAfter)),
	}
}

package discovery

import (
	"time"

	"masticturn/internal/platform"
	"masticturn/internal/settings"
)

// Timing is how often news of a kind of objects must come for a change to be
// known everywhere within a bound.
type Timing struct {
	// Watch is how long the store may hold a watch without news. A watch can miss
	// changes when the store drops its history, and tells nothing while the store is
	// silent; with this wait both are found out in time, by this VM and by those that
	// hear from it.
	Watch time.Duration
	// Stale is the age at which what another VM tells is not good enough: a watcher
	// hears from the store after a watch, the way between regions and settlePause at
	// the latest, and whoever follows it hears so at once. What is left of the bound
	// is for asking elsewhere.
	Stale time.Duration
}

// Timings that hold their bound; tighter bounds shorten them in proportion.
var (
	// newsTiming holds two seconds with the ways of 55 ms between regions
	// (TestChangesReachAllVMsInTime).
	newsTiming = Timing{Watch: 950 * time.Millisecond, Stale: 1350 * time.Millisecond}
	newsBound  = 2 * time.Second
	// zonesTiming holds five seconds, with fewer calls to the store.
	zonesTiming = Timing{Watch: 2400 * time.Millisecond, Stale: 2800 * time.Millisecond}
	zonesBound  = 5 * time.Second
)

// Timings returns the timing of each kind under the bounds of the deployment.
func Timings(kinds Kinds, b settings.Bounds) map[platform.Kind]Timing {
	return map[platform.Kind]Timing{
		kinds.Document:    newsTiming.within(newsBound, b.ConfigInForce),
		kinds.Targets:     newsTiming.within(newsBound, b.TargetDrain),
		kinds.Evacuations: zonesTiming.within(zonesBound, b.ZoneEvacuation),
	}
}

// within returns a timing that holds a bound, by one that holds another; 0 is no
// bound.
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

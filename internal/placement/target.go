package placement

import (
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
)

// reportLife is how long a target's own word on its load counts in full. At
// twenty answers a second from a busy target, a VM of ten hears from it about
// every half second.
const reportLife = 600 * time.Millisecond

// targetState is what this VM knows of one target.
type targetState struct {
	*config.TargetIndex
	coldUntil time.Time
	evacuated bool

	own      int       // requests of this VM that run there
	others   int       // requests of others that ran or waited there at the last report
	reported time.Time // of that report

	barredUntil time.Time // its failures bar it until then
	failures    int       // in a row
	gone        bool      // its address serves another instance
	coldSent    time.Time // last request of this VM while it was cold
	objects     objects
	slow        slowness
}

// busy is how many of the target's slots are believed to be in use or waited
// for.
func (t *targetState) busy(now time.Time) int {
	if now.Sub(t.reported) > reportLife {
		return t.own
	}
	return t.own + t.others
}

// report takes in the load that an answer told, after which own requests of
// this VM still run there.
func (t *targetState) report(load *edge.Load, own int, now time.Time) {
	t.others = max(0, load.Running+load.Waiting-own)
	t.reported = now
}

// reportAge is how old the target's last word on its load is; -1 ms when it has
// told none.
func (t *targetState) reportAge(now time.Time) time.Duration {
	if t.reported.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(t.reported)
}

// cold reports whether the target bears few requests only.
func (t *targetState) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// usable reports whether the target may get any request at all.
func (t *targetState) usable(now time.Time) bool {
	return !t.Leaving && !t.evacuated && !t.gone && !now.Before(t.barredUntil)
}

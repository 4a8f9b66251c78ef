package placement

import (
	"math"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
)

const (
	// reportLifeLeast is the least time for which a target's own word on its load
	// counts in full: about as often a VM of a small fleet hears from a busy target.
	reportLifeLeast = 600 * time.Millisecond
	// reportRuns is how many times the time that a target needs for what it told of
	// its word counts: some more arrives meanwhile.
	reportRuns = 1.5
)

// targetState is what this VM knows of one target.
type targetState struct {
	*config.TargetIndex
	id        uint32 // shortID of its name
	coldUntil time.Time
	evacuated bool

	own      int           // requests of this VM that run there
	others   int           // requests of others that ran or waited there at the last report
	shared   int           // requests of VMs of the region that run there, as they told
	reported time.Time     // of that report
	life     time.Duration // for which it counts in full

	notice      *notice   // what it announced
	barredUntil time.Time // its failures bar it until then
	failures    int       // in a row
	gone        bool      // its address serves another instance
	endedUntil  time.Time // nobody listened at its address, and it has not answered since
	coldSent    time.Time // last request of this VM while it was cold
	coldFleet   uint64    // view of the fleet in which coldSender was worked out; 0: none
	coldSender  bool      // this VM may send to it while it is cold
	usedAt      time.Time // last known request of a VM of the region
	objects     objects
	slow        slowness
}

// busy is how many of the target's slots are believed to be in use or waited
// for. Of what the target told and what other VMs told the larger one counts:
// each leaves out what the other may hold, and both tell of the same requests.
func (t *targetState) busy(now time.Time) int { return t.own + max(t.shared, t.othersAt(now)) }

// othersAt is how many requests of others are believed to be at the target. Its
// word counts in full for a while and then fades, so that a target that nobody
// hears from any more is tried again.
func (t *targetState) othersAt(now time.Time) int {
	over := now.Sub(t.reported) - t.life
	if over <= 0 || t.others == 0 {
		return t.others
	}
	return int(math.Round(float64(t.others) * math.Exp(-float64(over)/float64(t.life))))
}

// report takes in the load that an answer told, after which own requests of
// this VM still run there. It counts in full for life.
func (t *targetState) report(load *edge.Load, own int, life time.Duration, now time.Time) {
	t.others = max(0, load.Running+load.Waiting-own)
	t.reported = now
	t.life = life
}

// reportAge is how old the target's last word on its load is; -1 ms when it has
// told none.
func (t *targetState) reportAge(now time.Time) time.Duration {
	if t.reported.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(t.reported)
}

// endedLife is how long a target at whose address nobody listened counts as one
// that may start anew: until its entry has lapsed, after which it is gone or the
// news of its start comes. A cut may look the same.
const endedLife = 10 * time.Second

// cold reports whether the target bears few requests only. One whose process had
// ended and that answers under the same id has started anew. Until the news of
// that comes, within two seconds, this VM would send it a warm target's share.
func (t *targetState) cold(now time.Time) bool {
	return now.Before(t.coldUntil) || now.Before(t.endedUntil)
}

// answered notes a good answer.
func (t *targetState) answered(coldTime time.Duration, now time.Time) {
	if now.Before(t.endedUntil) {
		t.coldUntil = later(t.coldUntil, now.Add(coldTime))
	}
	t.endedUntil = time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// most is how many requests a VM places at the target at most.
func (t *targetState) most() int { return int(math.Ceil(float64(t.Slots) * (1 + queueMost))) }

// usable reports whether the target may get any request at all.
func (t *targetState) usable(now time.Time) bool {
	return t.inService() && t.notice.accepting(now) && !now.Before(t.barredUntil)
}

// inService reports whether the target is to get requests, apart from pauses.
func (t *targetState) inService() bool {
	return !t.Leaving && !t.evacuated && !t.gone && !t.notice.leaving
}

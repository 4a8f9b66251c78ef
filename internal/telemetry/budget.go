package telemetry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget of lines of one process, by how much they are needed. A VM of the
// first deployments serves some thirty requests a second; at ten times that
// the lines of requests that went well are left out in part, those of failures
// are kept.
const (
	// LinesPerSecond is the usual bound, for events marked Routine and for all
	// others each.
	LinesPerSecond = 150
	budgetBurst    = 2 // seconds' worth that may come at once
)

// lineBudget bounds the volume of the log and counts what is left out.
type lineBudget struct {
	routine *rate.Limiter
	other   *rate.Limiter

	mu      sync.Mutex
	left    map[int]int // lines left out, by event number
	lastSum time.Time
}

func newLineBudget(perSecond int) *lineBudget {
	return &lineBudget{
		routine: rate.NewLimiter(rate.Limit(perSecond), budgetBurst*perSecond),
		other:   rate.NewLimiter(rate.Limit(perSecond), budgetBurst*perSecond),
		left:    make(map[int]int),
	}
}

// allow reports whether a line may be written; if not it is counted.
func (b *lineBudget) allow(e *Event) bool {
	limiter := b.other
	if e.Routine {
		limiter = b.routine
	}
	if limiter.Allow() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[e.Number]++
	return false
}

// sumEvery is how often it is said what was left out.
const sumEvery = time.Second

// takeLeftOut returns what was left out, at most once in sumEvery; nil when
// there is nothing to say.
func (b *lineBudget) takeLeftOut(now time.Time) map[int]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.left) == 0 || now.Sub(b.lastSum) < sumEvery {
		return nil
	}
	b.lastSum = now
	left := b.left
	b.left = make(map[int]int)
	return left
}

package telemetry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the log volume of one process. A VM of the first deployments serves
// about 30 requests per second. At ten times that rate some lines of successful
// requests are suppressed, while those of failures are kept.
const (
	// LinesPerSecond is the default limit. It applies separately to events
	// marked Routine and to all others.
	LinesPerSecond = 150
	burstSeconds   = 2 // burst size, in seconds at the limit
)

// lineLimiter limits the log volume and counts suppressed lines.
type lineLimiter struct {
	routine *rate.Limiter
	other   *rate.Limiter

	mu         sync.Mutex
	suppressed map[int]int // lines by event number
	lastReport time.Time
}

func newLineLimiter(perSecond int) *lineLimiter {
	return &lineLimiter{
		routine:    rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond),
		other:      rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond),
		suppressed: make(map[int]int),
	}
}

// allow reports whether a line may be written, and counts it as suppressed if not.
func (l *lineLimiter) allow(e *Event) bool {
	limiter := l.other
	if e.Routine {
		limiter = l.routine
	}
	if limiter.Allow() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suppressed[e.Number]++
	return false
}

// suppressedReportInterval is the minimum time between reports of suppressed lines.
const suppressedReportInterval = time.Second

// takeSuppressed returns and resets the counts of suppressed lines, at most once
// per suppressedReportInterval. It returns nil if there is nothing to report.
func (l *lineLimiter) takeSuppressed(now time.Time) map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suppressed) == 0 || now.Sub(l.lastReport) < suppressedReportInterval {
		return nil
	}
	l.lastReport = now
	suppressed := l.suppressed
	l.suppressed = make(map[int]int)
	return suppressed
}

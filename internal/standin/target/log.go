package target

import (
	"sync"
	"time"
)

// Ending is how a request ended at a target.
type Ending int

// The endings of a request. Shed and Left requests were never run.
const (
	Running  Ending = iota // not ended yet
	Shed                   // refused, and said so
	Left                   // the other side left while it was queued
	Lost                   // a fault swallowed it before it was run
	Broken                 // its body ended early
	Canceled               // the other side left, or the deadline passed, while it ran
	Done                   // it ran to its end
)

// String returns the name used in traces.
func (e Ending) String() string {
	return [...]string{"running", "shed", "left", "lost", "broken", "canceled", "done"}[e]
}

// Record is one request as a target saw it.
type Record struct {
	Target    string
	RequestID string
	Key       string // Idempotency-Key
	Method    string
	Path      string
	Arrived   time.Time
	Started   time.Time // zero: never run
	Finished  time.Time
	BodyBytes int64
	BodyOwn   bool // the body is the content of the seed in its query
	Ending    Ending
	Fault     Fault // injected
}

// Executed reports whether the target began to run the request.
func (r *Record) Executed() bool { return !r.Started.IsZero() }

// Log is the execution log of any number of targets. A nil Log keeps nothing.
type Log struct {
	mu      sync.Mutex
	records []*Record
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{} }

// add keeps a record; later changes go through update.
func (l *Log) add(r *Record) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

func (l *Log) update(change func()) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// Records returns copies of all records, in the order of their arrival.
func (l *Log) Records() []Record {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Record, len(l.records))
	for i, r := range l.records {
		out[i] = *r
	}
	return out
}

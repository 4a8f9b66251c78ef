package telemetry

import (
	"io"
	"sync/atomic"
	"time"
)

// queueLines is the capacity of the queue in lines: about two seconds of the
// maximum output that the rate limit allows.
const queueLines = 1024

// flushTimeout limits the time for which Flush delays the end of a process.
const flushTimeout = 200 * time.Millisecond

// QueuedWriter writes lines in its own goroutine, so that a blocked reader of the
// output never delays callers. If the queue is full, lines are dropped and counted.
type QueuedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewQueuedWriter returns a writer to out and starts its goroutine.
func NewQueuedWriter(out io.Writer) *QueuedWriter {
	w := &QueuedWriter{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *QueuedWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// TakeDropped returns the number of lines dropped since the last call.
func (w *QueuedWriter) TakeDropped() int64 { return w.dropped.Swap(0) }

// Flush waits until all queued lines are written, at most flushTimeout. It ends
// the writer's goroutine: nothing may be written afterwards.
func (w *QueuedWriter) Flush() {
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case w.lines <- nil: // ends run
	case <-timer.C:
		return
	}
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *QueuedWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		// An error cannot be reported: the log itself is not writable.
		_, _ = w.out.Write(line)
	}
}

package telemetry

import (
	"io"
	"sync/atomic"
	"time"
)

// queueLines is how many lines may wait for the writer: about two seconds of
// the most that the line budget lets through.
const queueLines = 1024

// flushPatience bounds how long the end of a process waits for the writer.
const flushPatience = 200 * time.Millisecond

// QueuedWriter writes lines from a goroutine of its own, so that a reader that
// does not read never holds up who logs. Lines that find the queue full are
// dropped and counted.
type QueuedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewQueuedWriter returns a writer to out.
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

// TakeDropped returns how many lines were dropped since the last call.
func (w *QueuedWriter) TakeDropped() int64 { return w.dropped.Swap(0) }

// Flush waits until the lines so far are written, for a short time at most.
// Nothing is to be written after it.
func (w *QueuedWriter) Flush() {
	timer := time.NewTimer(flushPatience)
	defer timer.Stop()
	select {
	case w.lines <- nil: // the end, for run
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
		// A reader that is gone leaves nobody to tell.
		_, _ = w.out.Write(line)
	}
}

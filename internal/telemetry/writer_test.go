package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

var (
	routine = &Event{Number: 1, Level: logrus.InfoLevel, Name: "routine", Routine: true}
	failure = &Event{Number: 2, Level: logrus.WarnLevel, Name: "failure"}
)

// Writes never wait for a blocked output, and dropped lines are counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		queue := NewQueuedWriter(out)
		began := time.Now()
		const lines = 3 * queueLines
		for range lines {
			if _, err := queue.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("writing took %v", waited)
		}
		synctest.Wait()
		dropped := queue.TakeDropped()
		if dropped < lines-queueLines-2 || dropped > lines-queueLines {
			t.Errorf("%d lines counted as dropped, of %d", dropped, lines)
		}
		began = time.Now()
		queue.Flush()
		if waited := time.Since(began); waited != flushTimeout {
			t.Errorf("Flush waited %v for a blocked output, want flushTimeout", waited)
		}
		close(out.release)
		queue.Flush()
		synctest.Wait()
		if got := strings.Count(out.text.String(), "line\n"); int64(got) != lines-dropped {
			t.Errorf("%d lines were written, want %d", got, lines-dropped)
		}
	})
}

func TestFlushWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	queue := NewQueuedWriter(&out)
	logger := NewLogger(queue, FormatJSON, logrus.InfoLevel, "vm")
	logger.Log(failure)
	logger.Flush()
	if !strings.Contains(out.String(), "failure") {
		t.Errorf("written: %q", out.String())
	}
}

// At ten times the usual load the number of lines stays within the limit: routine
// lines are suppressed and counted, failures are all written.
func TestBurstStaysWithinTheLineBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := NewLogger(&out, FormatJSON, logrus.InfoLevel, "vm")
		const seconds, requestsPerSecond, failuresPerSecond = 10, 1000, 100
		for range seconds {
			for i := range requestsPerSecond {
				logger.Log(routine)
				if i%(requestsPerSecond/failuresPerSecond) == 0 {
					logger.Log(failure)
				}
				time.Sleep(time.Second / requestsPerSecond)
			}
		}
		counts, suppressed := countLines(t, &out)
		maxLines := (seconds + burstSeconds) * (LinesPerSecond + LinesPerSecond)
		if total := counts[1] + counts[2] + counts[eventLinesSuppressed.Number]; total > maxLines+seconds+1 {
			t.Errorf("%d lines in %d s, want at most %d", total, seconds, maxLines)
		}
		if counts[2] != seconds*failuresPerSecond {
			t.Errorf("%d of %d failures were written", counts[2], seconds*failuresPerSecond)
		}
		if accounted := counts[1] + suppressed; accounted < seconds*requestsPerSecond*9/10 {
			t.Errorf("%d routine lines written and %d reported as suppressed, of %d", counts[1], suppressed, seconds*requestsPerSecond)
		}
	})
}

// countLines returns the number of lines by event, and the number of routine
// lines reported as suppressed.
func countLines(t *testing.T, r io.Reader) (counts map[int]int, suppressed int) {
	t.Helper()
	counts = make(map[int]int)
	dec := json.NewDecoder(r)
	for dec.More() {
		var line struct {
			Event int
			Lines map[string]int
		}
		if err := dec.Decode(&line); err != nil {
			t.Fatal(err)
		}
		counts[line.Event]++
		suppressed += line.Lines["1"]
	}
	return counts, suppressed
}

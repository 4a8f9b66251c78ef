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

// blockedWriter is a reader of the log that does not read until it is let go.
type blockedWriter struct {
	let  chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.let
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

var (
	routine = &Event{Number: 1, Level: logrus.InfoLevel, Name: "routine", Routine: true}
	failure = &Event{Number: 2, Level: logrus.WarnLevel, Name: "failure"}
)

// Nobody who logs waits for standard output, however long that is blocked, and
// what was dropped is counted.
func TestBlockedOutputDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{let: make(chan struct{})}
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
		if waited := time.Since(began); waited != flushPatience {
			t.Errorf("the end of the process waited %v for a reader that does not read", waited)
		}
		close(out.let)
		queue.Flush()
		synctest.Wait()
		if got := strings.Count(out.text.String(), "line\n"); int64(got) != lines-dropped {
			t.Errorf("%d lines were written, want %d", got, lines-dropped)
		}
	})
}

func TestFlushWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	queue := NewQueuedWriter(&out)
	logger := NewLogger(queue, FormatJSON, logrus.InfoLevel, "vm")
	logger.Log(failure)
	logger.Flush()
	if !strings.Contains(out.String(), "failure") {
		t.Errorf("written: %q", out.String())
	}
}

// Ten times the usual load stays within the budget of lines; failures are kept
// while lines of requests that went well are left out, and how many is said.
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
		counts, leftOut := count(t, &out)
		most := (seconds + budgetBurst) * (LinesPerSecond + LinesPerSecond)
		if total := counts[1] + counts[2] + counts[eventLeftOut.Number]; total > most+seconds+1 {
			t.Errorf("%d lines in %d s, want at most %d", total, seconds, most)
		}
		if counts[2] != seconds*failuresPerSecond {
			t.Errorf("%d of %d failures were written", counts[2], seconds*failuresPerSecond)
		}
		if said := counts[1] + leftOut; said < seconds*requestsPerSecond*9/10 {
			t.Errorf("%d routine lines written and %d said to be left out, of %d", counts[1], leftOut, seconds*requestsPerSecond)
		}
	})
}

// count returns the lines by event, and how many are said to be left out.
func count(t *testing.T, r io.Reader) (counts map[int]int, leftOut int) {
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
		leftOut += line.Lines["1"]
	}
	return counts, leftOut
}

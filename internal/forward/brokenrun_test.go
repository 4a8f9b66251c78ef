package forward

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"masticturn/internal/digest"
)

// brokenRunLine is a log line of eventRunBroken.
type brokenRunLine struct {
	Event                int
	Peer, Digest, Target string
}

// waitForBrokenRuns waits for n log lines about broken runs.
func waitForBrokenRuns(t *testing.T, log *syncBuffer, n int) []brokenRunLine {
	t.Helper()
	for range 500 {
		var found []brokenRunLine
		for text := range strings.Lines(log.String()) {
			var line brokenRunLine
			if json.Unmarshal([]byte(text), &line) == nil && line.Event == eventRunBroken.Number {
				found = append(found, line)
			}
		}
		if len(found) >= n {
			return found
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("fewer than %d lines about broken runs:\n%s", n, log.String())
	return nil
}

// newBreakingTarget starts a target that breaks the connection of every request. If
// ends is set, it stops listening before that, as after a crash.
func newBreakingTarget(t *testing.T, ends bool) string {
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if ends {
			_ = s.Listener.Close()
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestBrokenRunsAreLogged(t *testing.T) {
	var log syncBuffer
	ending, breaking := newBreakingTarget(t, true), newBreakingTarget(t, false)
	b := newTestProxy(t, testDocument(ending, breaking), nil, newTestLogger(&log))
	resp, _, err := b.call(t, "POST", "/svc/a?q=1", strings.NewReader("body"), "Masticturn-No-Retry", "1")
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatal(resp, err)
	}
	waitForBrokenRuns(t, &log, 1)
	if _, _, err := b.call(t, "POST", "/svc/a?q=1", strings.NewReader("body"), "Masticturn-No-Retry", "1", "X-Request-Id", "another"); err != nil {
		t.Fatal(err)
	}
	lines := waitForBrokenRuns(t, &log, 2)
	_, port, _ := net.SplitHostPort(strings.TrimPrefix(b.URL, "http://"))
	want := digest.HeadOf("POST", "127.0.0.1:"+port, "/svc/a?q=1", "", "").Sum([]byte("body")).String()
	for i, state := range []targetState{targetEnded, targetListening} {
		if got := lines[i]; got.Target != string(state) || got.Digest != want || got.Peer != "target"+string(rune('a'+i)) {
			t.Errorf("line %d: %+v, want state %s and digest %s", i, got, state, want)
		}
	}
}

package forward

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/telemetry"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"

// oneAttempt returns a document whose requests are tried once.
func oneAttempt(targets ...string) *config.Document {
	doc := document(targets...)
	doc.Retry.MaxAttempts = 1
	return doc
}

// A target that closes its connection at any byte of the exchange never sees
// a request twice, a caller never sees a part of an answer, and nobody is told
// that a request was not run which ran.
func TestTargetClosesAtEveryByte(t *testing.T) {
	target := newScripted(t)
	b := newBench(t, oneAttempt(target.address), nil, telemetry.Discard())
	target.set(whole(okAnswer))
	if _, _, err := b.call(t, "GET", "/svc/a", strings.NewReader("payload")); err != nil {
		t.Fatal(err)
	}
	var scripts []script
	for n := range target.lastLength() {
		scripts = append(scripts, script{readBytes: n, writeBytes: -1, reset: n%2 == 0})
	}
	for n := range len(okAnswer) {
		scripts = append(scripts, script{readBytes: -1, writeBytes: n, answer: okAnswer, reset: n%2 == 0})
	}
	for _, method := range []string{"GET", "POST"} {
		for _, sc := range scripts {
			// An idle connection is there for the request to be sent on.
			target.set(whole(okAnswer))
			if resp, body, err := b.call(t, "GET", "/svc/a", nil); err != nil || resp.StatusCode != http.StatusOK || body != "0123456789" {
				t.Fatal(resp, body, err)
			}
			target.set(sc)
			resp, body, err := b.call(t, method, "/svc/a", strings.NewReader("payload"))
			if err != nil {
				t.Fatalf("%s %+v: %v", method, sc, err)
			}
			begun, executed := target.counts()
			if begun > 1 || executed > 1 {
				t.Errorf("%s %+v: the target saw it %d times and ran it %d times", method, sc, begun, executed)
			}
			if resp.StatusCode == http.StatusOK {
				t.Errorf("%s %+v: got %q as if it were whole", method, sc, body)
			}
			if o := resp.Header.Get(edge.HeaderOutcome); executed > 0 && o != "unknown" {
				t.Errorf("%s %+v: it ran, and the caller is told %q", method, sc, o)
			}
		}
	}
}

func TestWrongAnswersNeverReachTheCaller(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, answer string
		close        bool // after the answer
		fault        string
	}{
		{"crossed", head + "X-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", false, FaultCrossed.String()},
		{"shorter than its length", head + "Content-Length: 20\r\n\r\nok", true, FaultShort.String()},
		{"chunks without an end", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, FaultShort.String()},
		{"no length", head + "\r\nok", true, FaultShort.String()},
		{"two lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!", false, FaultBroken.String()},
		{"headers only", head + "Content-Length: 2\r\n\r\n", true, FaultShort.String()},
		{"half a head", "HTTP/1.1 200 O", true, FaultBroken.String()},
		{"not HTTP", "hello\r\n\r\n", true, FaultBroken.String()},
		{"protocol switch", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", true, FaultShort.String()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScripted(t)
			sc := whole(tt.answer)
			if tt.close {
				sc.writeBytes = len(tt.answer)
			}
			target.set(sc)
			b := newBench(t, oneAttempt(target.address), nil, telemetry.Discard())
			resp, body, err := b.call(t, "GET", "/svc/a", nil)
			if tt.name == "chunks without an end" {
				// A streamed part went out: the caller must see the cut.
				if err == nil {
					t.Errorf("got %q as if it were whole", body)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			var e edge.ErrorBody
			if err := json.Unmarshal([]byte(body), &e); err != nil {
				t.Fatalf("%q: %v", body, err)
			}
			if resp.StatusCode != http.StatusBadGateway || e.Outcome != "unknown" || e.Reason != tt.fault || e.Peer != "targeta" {
				t.Errorf("got %d %+v", resp.StatusCode, e)
			}
			if n := b.heldPermits(); n != 0 {
				t.Errorf("%d permits are still held", n)
			}
		})
	}
}

func TestShedRequestIsSentElsewhereEvenWhenUnrepeatable(t *testing.T) {
	runs := 0
	shedding := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(edge.HeaderTargetNotRun, "1")
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	good := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		runs++
		_, _ = io.Copy(w, r.Body)
	})
	b := newBench(t, document(shedding, good), nil, telemetry.Discard())
	resp, body, err := b.call(t, "POST", "/svc/a", strings.NewReader("book"))
	if err != nil || resp.StatusCode != http.StatusOK || body != "book" || runs != 1 {
		t.Errorf("got %v %q %v after %d runs", resp, body, err, runs)
	}
	b = newBench(t, document(shedding), nil, telemetry.Discard())
	resp, _, err = b.call(t, "POST", "/svc/a", strings.NewReader("book"))
	if err != nil {
		t.Fatal(err)
	}
	if got := resp.Header.Get(edge.HeaderOutcome); got != "not-run" || resp.Header.Get("Retry-After") != "7" {
		t.Errorf("all shed: got %q, Retry-After %q", got, resp.Header.Get("Retry-After"))
	}
}

func TestRetriesStayWithinBudgetWithHalfTheTargetsFailing(t *testing.T) {
	var targets []string
	for i := range 8 {
		target := newScripted(t)
		target.set(whole(okAnswer))
		if i%2 == 0 {
			target.set(script{readBytes: -1, writeBytes: 0})
		}
		targets = append(targets, target.address)
	}
	doc := document(targets...)
	doc.Retry.MaxAttempts = 4
	b := newBench(t, doc, nil, telemetry.Discard())
	const requests = 2000
	for range requests {
		if _, _, err := b.call(t, "GET", "/svc/a", nil); err != nil {
			t.Fatal(err)
		}
	}
	// The saved-up burst comes on top of the fraction.
	most := requests + requests/10 + config.DefaultBudgetBurst
	if b.admission.attempts > most {
		t.Errorf("%d attempts for %d requests, want at most %d", b.admission.attempts, requests, most)
	}
	if b.admission.attempts < requests+requests/20 {
		t.Errorf("%d attempts for %d requests: the budget is hardly used", b.admission.attempts, requests)
	}
}

// The error of a target goes to the caller's JSON answer and to the log, with
// the step and the peer.
func TestErrorTravelsFromTargetToCallerAndLog(t *testing.T) {
	target := newScripted(t)
	target.set(script{readBytes: -1, writeBytes: 0})
	var log syncBuffer
	b := newBench(t, oneAttempt(target.address), nil, newTestLogger(&log))
	_, body, err := b.call(t, "POST", "/svc/a", strings.NewReader("x"), edge.HeaderRequestID, "id-7")
	if err != nil {
		t.Fatal(err)
	}
	for _, where := range []string{body, log.String()} {
		for _, want := range []string{`"step":"wait"`, `"peer":"targeta"`, `"request_id":"id-7"`, `"outcome":"unknown"`} {
			if !strings.Contains(where, want) {
				t.Errorf("%s is missing in %s", want, where)
			}
		}
	}
	if want := fmt.Sprintf(`"event":%d`, eventRequestFailed.Number); !strings.Contains(log.String(), want) {
		t.Errorf("%s is missing in %s", want, log.String())
	}
}

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

// singleAttemptDocument returns a document that allows one attempt per request.
func singleAttemptDocument(targets ...string) *config.Document {
	doc := testDocument(targets...)
	doc.Retry.MaxAttempts = 1
	return doc
}

// If a target closes its connection at any byte of the exchange, it does not get the
// request twice, the caller does not get a partial response, and a request that ran
// is not reported as not run.
func TestTargetClosesAtEveryByte(t *testing.T) {
	target := newScripted(t)
	b := newTestProxy(t, singleAttemptDocument(target.address), nil, telemetry.Discard())
	target.set(fullAnswer(okAnswer))
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
			// Leaves an idle connection for the next request.
			target.set(fullAnswer(okAnswer))
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
				t.Errorf("%s %+v: the target got it %d times and ran it %d times", method, sc, begun, executed)
			}
			if resp.StatusCode == http.StatusOK {
				t.Errorf("%s %+v: got %q as a complete response", method, sc, body)
			}
			if o := resp.Header.Get(edge.HeaderOutcome); executed > 0 && o != "unknown" {
				t.Errorf("%s %+v: it ran, but the reported outcome is %q", method, sc, o)
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
		{"crossed", head + "X-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", false, FaultMismatched.String()},
		{"shorter than its length", head + "Content-Length: 20\r\n\r\nok", true, FaultTruncated.String()},
		{"chunks without an end", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, FaultTruncated.String()},
		{"no length", head + "\r\nok", true, FaultTruncated.String()},
		{"two lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!", false, FaultConnectionBroken.String()},
		{"headers only", head + "Content-Length: 2\r\n\r\n", true, FaultTruncated.String()},
		{"half a head", "HTTP/1.1 200 O", true, FaultConnectionBroken.String()},
		{"not HTTP", "hello\r\n\r\n", true, FaultConnectionBroken.String()},
		{"protocol switch", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", true, FaultTruncated.String()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newScripted(t)
			sc := fullAnswer(tt.answer)
			if tt.close {
				sc.writeBytes = len(tt.answer)
			}
			target.set(sc)
			b := newTestProxy(t, singleAttemptDocument(target.address), nil, telemetry.Discard())
			resp, body, err := b.call(t, "GET", "/svc/a", nil)
			if tt.name == "chunks without an end" {
				// A part was already streamed, so the caller must see an error.
				if err == nil {
					t.Errorf("got %q as a complete response", body)
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
	b := newTestProxy(t, testDocument(shedding, good), nil, telemetry.Discard())
	resp, body, err := b.call(t, "POST", "/svc/a", strings.NewReader("book"))
	if err != nil || resp.StatusCode != http.StatusOK || body != "book" || runs != 1 {
		t.Errorf("got %v %q %v after %d runs", resp, body, err, runs)
	}
	b = newTestProxy(t, testDocument(shedding), nil, telemetry.Discard())
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
		target.set(fullAnswer(okAnswer))
		if i%2 == 0 {
			target.set(script{readBytes: -1, writeBytes: 0})
		}
		targets = append(targets, target.address)
	}
	doc := testDocument(targets...)
	doc.Retry.MaxAttempts = 4
	b := newTestProxy(t, doc, nil, telemetry.Discard())
	const requests = 2000
	for range requests {
		if _, _, err := b.call(t, "GET", "/svc/a", nil); err != nil {
			t.Fatal(err)
		}
	}
	// The initial burst is added to the fraction.
	maxAttempts := requests + requests/10 + config.DefaultBudgetBurst
	if b.admission.attempts > maxAttempts {
		t.Errorf("%d attempts for %d requests, want at most %d", b.admission.attempts, requests, maxAttempts)
	}
	if b.admission.attempts < requests+requests/20 {
		t.Errorf("%d attempts for %d requests: the budget was hardly used", b.admission.attempts, requests)
	}
}

// The caller's error response and the log contain the step, the peer and the outcome
// of a failed attempt.
func TestErrorIsReportedToCallerAndLog(t *testing.T) {
	target := newScripted(t)
	target.set(script{readBytes: -1, writeBytes: 0})
	var log syncBuffer
	b := newTestProxy(t, singleAttemptDocument(target.address), nil, newTestLogger(&log))
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

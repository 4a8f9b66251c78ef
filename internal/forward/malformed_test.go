package forward

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/outcome"
	"masticturn/internal/telemetry"
)

// malformedAnswers are answers that net/http accepts, but RFC 9110 and RFC 9112 do not. All of them claim a load, that
// their target leaves, and when to return.
func malformedAnswers() map[string]string {
	const claims = edge.HeaderTargetDraining + ": 1\r\nRetry-After: 60\r\n"
	answers := make(map[string]string)
	for _, status := range []string{"000", "-00", "+00", "+20", "042", "099", "600", "999"} {
		answers["status "+status] = "HTTP/1.1 " + status + " X\r\n" + claims + "Content-Length: 2\r\n\r\nok"
	}
	return answers
}

func newMalformedProxy(t *testing.T, doc *config.Document) *testProxy {
	b := newTestProxy(t, doc, nil, telemetry.Discard())
	b.handler.deps.Dialect.CloseDelimitedResponses = true
	b.admission.sticky = true
	return b
}

// Guards against answers that reach the caller though their status or the name of a field is not valid.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	for name, answer := range malformedAnswers() {
		t.Run(name, func(t *testing.T) {
			target := newScripted(t)
			target.set(fullAnswer(answer))
			b := newMalformedProxy(t, singleAttemptDocument(target.address))
			for range 2 {
				resp, body, err := b.call(t, "POST", "/svc/a", strings.NewReader("payload"))
				if err != nil {
					t.Fatal(err)
				}
				var e edge.ErrorBody
				if err := json.Unmarshal([]byte(body), &e); err != nil {
					t.Fatalf("got %d %q: %v", resp.StatusCode, body, err)
				}
				if resp.StatusCode != http.StatusBadGateway || e.Outcome != "unknown" || e.Peer != "targeta" || resp.Header.Get("Retry-After") != "" {
					t.Errorf("got %d %+v %v", resp.StatusCode, e, resp.Header)
				}
			}
			if n := b.heldPermits(); n != 0 {
				t.Errorf("%d permits are still held", n)
			}
			if n := b.handler.conns.IdleCount(); n != 0 {
				t.Errorf("%d connections are kept", n)
			}
			for _, r := range b.admission.released {
				if r.Outcome != outcome.Unknown || r.Canceled || r.Draining || r.Backoff != 0 || r.Load != nil {
					t.Errorf("released with %+v", r)
				}
			}
		})
	}
}

func TestMalformedAnswerIsAskedForElsewhere(t *testing.T) {
	for name, answer := range malformedAnswers() {
		t.Run(name, func(t *testing.T) {
			target := newScripted(t)
			target.set(fullAnswer(answer))
			good := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "good") })
			b := newMalformedProxy(t, testDocument(target.address, good))
			resp, body, err := b.call(t, "GET", "/svc/a", nil)
			if err != nil || resp.StatusCode != http.StatusOK || body != "good" {
				t.Errorf("got %v %q, %v", resp, body, err)
			}
			if begun, _ := target.counts(); begun != 1 {
				t.Errorf("the target got %d requests, want one", begun)
			}
		})
	}
}

// Guards against the claim of a key that stays with a run whose answer was malformed.
func TestMalformedAnswerEndsTheClaim(t *testing.T) {
	target := newScripted(t)
	target.set(fullAnswer(malformedAnswers()["status 000"]))
	doc := singleAttemptDocument(target.address)
	keys, _, ticket := newKeys(t, doc)
	b := newTestProxy(t, doc, keys, telemetry.Discard())
	for _, want := range []string{FaultMalformed.String(), "ended without a known result"} {
		resp, body, err := b.call(t, "POST", "/svc/keyed", strings.NewReader("book"), edge.HeaderIdempotencyKey, ticket+"k")
		if err != nil || resp.Header.Get(edge.HeaderOutcome) != "unknown" || !strings.Contains(body, want) {
			t.Errorf("got %v %q, %v, want %q", resp, body, err, want)
		}
	}
	if begun, _ := target.counts(); begun != 1 {
		t.Errorf("the target got the request %d times", begun)
	}
}

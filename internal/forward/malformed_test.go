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
	const ok, short = "HTTP/1.1 200 OK\r\n" + claims, "Content-Length: 2\r\n"
	const chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for name, answer := range map[string]string{
		"blank before the colon":           ok + "Content-Length : 2\r\n\r\nok",
		"blank before the colon, chunks":   ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank in a name":                  ok + "X Odd: a\r\n" + short + "\r\nok",
		"tab in a name":                    ok + "X\tOdd: a\r\n" + short + "\r\nok",
		"control byte in a name":           ok + "X\x01Odd: a\r\n" + short + "\r\nok",
		"DEL in a name":                    ok + "X\x7fOdd: a\r\n" + short + "\r\nok",
		"NUL in a name":                    ok + "X\x00Odd: a\r\n" + short + "\r\nok",
		"CR in a name":                     ok + "X\rOdd: a\r\n" + short + "\r\nok",
		"empty name":                       ok + ": a\r\n" + short + "\r\nok",
		"blank in a name of an interim":    "HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\n" + ok + short + "\r\nok",
		"blank in an announced trailer":    ok + "Trailer: X Odd\r\n" + chunks,
		"chunks in HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + claims + chunks,
		"chunks in HTTP/1.0, other case":   "HTTP/1.0 200 OK\r\n" + claims + "X: " + strings.Repeat("a", 5000) + "\r\ntransfer-ENCODING:" + "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks in HTTP/1.0, and a length": "HTTP/1.0 200 OK\r\n" + claims + short + chunks,
		"version of another protocol":      "HTTP/2.0 200 OK\r\n" + claims + short + "\r\nok",
	} {
		answers[name] = answer
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

// A trailer comes after the answer, so that the caller can only be told by the end of its connection.
func TestMalformedTrailerCutsTheAnswer(t *testing.T) {
	target := newScripted(t)
	target.set(fullAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: a\r\n\r\n"))
	b := newMalformedProxy(t, singleAttemptDocument(target.address))
	resp, body, err := b.call(t, "GET", "/svc/a", nil)
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("got %q as a whole answer, trailers %v", body, resp.Trailer)
	}
	if n := b.heldPermits(); n != 0 {
		t.Errorf("%d permits are still held", n)
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

// Sound answers that resemble malformed ones.
func TestUnusualAnswersArePassedOn(t *testing.T) {
	for name, tt := range map[string]struct {
		answer, body string
		status       int
	}{
		"HTTP/1.0 until its end":            {"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n\r\nok", "ok", 200},
		"HTTP/1.0, a body like a head":      {"HTTP/1.0 200 OK\r\nContent-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", 200},
		"highest status":                    {"HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nok", "ok", 599},
		"status without a meaning":          {"HTTP/1.1 299 X\r\nContent-Length: 2\r\n\r\nok", "ok", 299},
		"no reason":                         {"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"every character allowed in a name": {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: a\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"interim answers":                   {strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 50) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"a blank in a value":                {"HTTP/1.1 200 OK\r\nX: a b\r\n Y: c\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
	} {
		t.Run(name, func(t *testing.T) {
			target := newScripted(t)
			sc := fullAnswer(tt.answer)
			if strings.HasPrefix(tt.answer, "HTTP/1.0") {
				sc.writeBytes = len(tt.answer)
			}
			target.set(sc)
			b := newMalformedProxy(t, singleAttemptDocument(target.address))
			resp, body, err := b.call(t, "GET", "/svc/a", nil)
			if err != nil || resp.StatusCode != tt.status || body != tt.body {
				t.Errorf("got %v %q, %v", resp, body, err)
			}
		})
	}
}

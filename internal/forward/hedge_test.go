package forward

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/telemetry"
)

// hedgingDocument returns a document with the given hedging delay.
func hedgingDocument(after config.Millis, targets ...string) *config.Document {
	doc := testDocument(targets...)
	doc.Retry.HedgeAfterMS = after
	return doc
}

func TestSlowAnswerIsHedgedOnlyWhenRepeatable(t *testing.T) {
	tests := []struct {
		method string
		status int
		runs   int // at the fast target
	}{
		{"GET", http.StatusOK, 1},
		{"POST", http.StatusGatewayTimeout, 0},
	}
	for _, tt := range tests {
		slow, fast := newSilentTarget(t), newScripted(t)
		fast.set(fullAnswer(okAnswer))
		b := newTestProxy(t, hedgingDocument(20, slow.address, fast.address), nil, telemetry.Discard())
		resp, _, err := b.call(t, tt.method, "/svc/a", nil, edge.HeaderTimeoutMS, "400")
		if err != nil {
			t.Fatal(err)
		}
		if _, runs := fast.counts(); resp.StatusCode != tt.status || runs != tt.runs {
			t.Errorf("%s: got %d, %d runs at the fast target", tt.method, resp.StatusCode, runs)
		}
		if n := b.heldPermits(); n != 0 {
			t.Errorf("%s: %d permits are still held", tt.method, n)
		}
	}
}

func TestHedgesStayWithinTheBudget(t *testing.T) {
	slow := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "slow")
	})
	b := newTestProxy(t, hedgingDocument(1, slow, slow, slow), nil, telemetry.Discard())
	const requests = 300
	for range requests {
		if resp, _, err := b.call(t, "GET", "/svc/a", nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
	}
	_ = b.heldPermits()
	maxAttempts := requests + requests/10 + config.DefaultBudgetBurst
	if b.admission.attempts > maxAttempts || b.admission.attempts == requests {
		t.Errorf("%d attempts for %d requests, want hedges, and at most %d attempts", b.admission.attempts, requests, maxAttempts)
	}
}

// The first and the second attempt end at about the same time, in any order: the
// caller gets one complete response, and all permits are released.
func TestHedgesThatEndTogether(t *testing.T) {
	answer := strings.Repeat("a", 3*relayBufferBytes)
	address := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(rand.N(3 * time.Millisecond))
		if rand.IntN(5) == 0 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, answer)
	})
	doc := hedgingDocument(1, address, address, address)
	doc.Retry.BudgetFraction = 10
	doc.Retry.MaxAttempts = 3
	b := newTestProxy(t, doc, nil, telemetry.Discard())
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 60 {
				resp, body, err := b.call(t, "GET", "/svc/a", nil)
				switch {
				case err != nil:
					t.Error(err)
				case resp.StatusCode == http.StatusOK && body != answer:
					t.Errorf("got %d bytes as a complete response", len(body))
				}
			}
		})
	}
	wg.Wait()
	for i := 0; b.heldPermits() != 0; i++ {
		if i == 1000 {
			t.Fatalf("%d permits are still held", b.heldPermits())
		}
		time.Sleep(time.Millisecond) // the losing attempt releases its permit asynchronously
	}
}

package forward

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/idempotency"
	"masticturn/internal/kernel"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/telemetry"
)

// newKeys returns a key registry with a fake store, the store, and the prefix of keys
// with a ticket.
func newKeys(t *testing.T, doc *config.Document) (*idempotency.Keys, *platformtest.Store, string) {
	t.Helper()
	snap, err := config.NewSnapshot(1, doc)
	if err != nil {
		t.Fatal(err)
	}
	store := platformtest.NewStore()
	keys, err := idempotency.NewKeys(idempotency.Deps{
		Self: idempotency.Instance{VM: "vm1", Incarnation: 1}, Store: store, Config: fixedConfig{snap},
		Clock: kernel.SystemClock{}, Logger: telemetry.Discard(), Metrics: metrics.NewSet(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return keys, store, keys.Ticket("vm1", 1) + edge.KeySeparator
}

func TestRepeatedKeyIsAnsweredFromTheRecord(t *testing.T) {
	var runs atomic.Int32
	address := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("X-Booking", "7")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.Copy(w, r.Body)
	})
	doc := testDocument(address)
	keys, store, ticket := newKeys(t, doc)
	b := newTestProxy(t, doc, keys, telemetry.Discard())
	for _, key := range []string{ticket + "k1", "k2"} {
		runs.Store(0)
		for i := range 3 {
			resp, body, err := b.call(t, "POST", "/svc/keyed", strings.NewReader("book"), edge.HeaderIdempotencyKey, key)
			if err != nil {
				t.Fatal(err)
			}
			replayed := resp.Header.Get(edge.HeaderReplayed) == "1"
			if resp.StatusCode != http.StatusCreated || body != "book" || resp.Header.Get("X-Booking") != "7" || replayed != (i > 0) {
				t.Errorf("%s, call %d: got %d %q %v", key, i, resp.StatusCode, body, resp.Header)
			}
		}
		if runs.Load() != 1 {
			t.Errorf("%s: %d runs", key, runs.Load())
		}
		resp, _, err := b.call(t, "POST", "/svc/keyed", strings.NewReader("other"), edge.HeaderIdempotencyKey, key)
		if err != nil || resp.StatusCode != http.StatusUnprocessableEntity || resp.Header.Get(edge.HeaderOutcome) != "not-run" {
			t.Errorf("%s for another request: got %v, %v", key, resp, err)
		}
	}
	store.SetOutage(true)
	resp, _, err := b.call(t, "POST", "/svc/keyed", strings.NewReader("book"), edge.HeaderIdempotencyKey, "k3")
	if err != nil || resp.Header.Get(edge.HeaderStep) != "claim" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("platform down: got %v, %v", resp, err)
	}
}

// A caller that loses its connection gets the recorded response when it repeats the
// request with the same key.
func TestKeyedRunContinuesWithoutCaller(t *testing.T) {
	var runs atomic.Int32
	release := make(chan struct{})
	answer := strings.Repeat("x", relayBufferBytes+1) // too long to be read completely before it is relayed
	address := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-release
		_, _ = io.WriteString(w, answer)
	})
	doc := testDocument(address)
	keys, _, ticket := newKeys(t, doc)
	b := newTestProxy(t, doc, keys, telemetry.Discard())
	b.client.Timeout = 50 * time.Millisecond
	if _, _, err := b.call(t, "POST", "/svc/keyed", nil, edge.HeaderIdempotencyKey, ticket+"k"); err == nil {
		t.Fatal("the caller did not time out")
	}
	close(release)
	b.client.Timeout = 0
	resp, body, err := b.call(t, "POST", "/svc/keyed", nil, edge.HeaderIdempotencyKey, ticket+"k")
	if err != nil || resp.StatusCode != http.StatusOK || body != answer {
		t.Errorf("got %v, %d bytes, %v", resp, len(body), err)
	}
	if runs.Load() != 1 || resp.Header.Get(edge.HeaderReplayed) != "1" {
		t.Errorf("%d runs, header %v", runs.Load(), resp.Header)
	}
}

// A run that failed after a byte may have reached the target is not repeated with the
// same key. A run that certainly did not happen is repeated.
func TestKeyAfterAFailedRun(t *testing.T) {
	target := newScripted(t)
	doc := singleAttemptDocument(target.address)
	keys, _, ticket := newKeys(t, doc)
	b := newTestProxy(t, doc, keys, telemetry.Discard())
	const shed = "HTTP/1.1 503 Service Unavailable\r\nMasticturn-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, key, first, second string
		script                   script
	}{
		{"shed", "k1", "not-run", "answered", fullAnswer(shed)},
		{"cut", "k2", "unknown", "unknown", script{readBytes: -1, writeBytes: 0}},
	}
	for _, tt := range tests {
		target.set(tt.script)
		var got []string
		for range 2 {
			resp, _, err := b.call(t, "POST", "/svc/keyed", nil, edge.HeaderIdempotencyKey, ticket+tt.key)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, resp.Header.Get(edge.HeaderOutcome))
			target.set(fullAnswer(okAnswer))
		}
		if got[0] != tt.first || got[1] != tt.second {
			t.Errorf("%s: got %v, want %s and %s", tt.name, got, tt.first, tt.second)
		}
	}
}

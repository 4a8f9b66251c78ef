package forward

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/telemetry"
)

func TestRequestIsForwarded(t *testing.T) {
	address := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		if r.Header.Get(edge.HeaderTargetDeadlineMS) == "" {
			t.Error("no deadline was passed on")
		}
		w.Header().Set(edge.HeaderTargetRequestID, r.Header.Get(edge.HeaderTargetRequestID))
		w.Header().Set("X-Path", r.URL.RequestURI())
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(raw)
	})
	b := newTestProxy(t, testDocument(address), nil, telemetry.Discard())
	resp, body, err := b.call(t, "POST", "/svc/a%2Fb?x=1", strings.NewReader("hello"), edge.HeaderRequestID, "id-1")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusCreated || body != "hello" {
		t.Errorf("got %d %q", resp.StatusCode, body)
	}
	want := map[string]string{
		edge.HeaderRequestID: "id-1", edge.HeaderOutcome: "answered",
		edge.HeaderServedRegion: "r1", "X-Path": "/svc/a%2Fb?x=1",
	}
	for name, value := range want {
		if got := resp.Header.Get(name); got != value {
			t.Errorf("%s: got %q, want %q", name, got, value)
		}
	}
	if n := b.heldPermits(); n != 0 {
		t.Errorf("%d permits are still held", n)
	}
}

func TestRefusalsSayNotRun(t *testing.T) {
	b := newTestProxy(t, testDocument("127.0.0.1:1"), nil, telemetry.Discard())
	tests := []struct {
		name, method, path, body, step string
		status                         int
	}{
		{"no route", "GET", "/other/", "", "route", http.StatusNotFound},
		{"key required", "POST", "/svc/keyed", "x", "route", http.StatusBadRequest},
		{"target refuses", "POST", "/svc/a", "x", "connect", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, body, err := b.call(t, tt.method, tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			var e edge.ErrorBody
			if err := json.Unmarshal([]byte(body), &e); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status || e.Outcome != "not-run" || e.Step != tt.step || e.RequestID == "" {
				t.Errorf("got %d %+v", resp.StatusCode, e)
			}
			if resp.Header.Get(edge.HeaderOutcome) != e.Outcome || resp.Header.Get(edge.HeaderStep) != e.Step {
				t.Errorf("headers %v differ from the body %+v", resp.Header, e)
			}
		})
	}
}

// The idle timeout between parts of the body must not limit the wait for the
// response.
func TestSlowAnswerAfterBodyIsWaitedFor(t *testing.T) {
	address := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(150 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	doc := testDocument(address)
	doc.Limits.IdleTimeoutMS = 50
	b := newTestProxy(t, doc, nil, telemetry.Discard())
	for _, size := range []int{10, 200 << 10} { // buffered and streamed
		for range 2 { // the caller's connection stays usable
			resp, body, err := b.call(t, "POST", "/svc/a", strings.NewReader(strings.Repeat("x", size)))
			if err != nil || body != "done" {
				t.Errorf("%d bytes: got %v %q %v", size, resp, body, err)
			}
		}
	}
}

// Responses of all kinds arrive as they were sent.
func TestResponsesAreRelayedUnchanged(t *testing.T) {
	large := strings.Repeat("y", 3*relayBufferBytes+1)
	address := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/svc/empty":
			w.WriteHeader(http.StatusNoContent)
		case "/svc/unchanged":
			w.Header().Set("Etag", `"1"`)
			w.WriteHeader(http.StatusNotModified)
		case "/svc/chunked":
			for range 3 {
				_, _ = io.WriteString(w, "piece ")
				_ = http.NewResponseController(w).Flush()
			}
		case "/svc/length":
			w.Header().Set("Content-Length", strconv.Itoa(len(large)))
			_, _ = io.WriteString(w, large)
		case "/svc/trailer":
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, large)
			w.Header().Set("X-Sum", "42")
		case "/svc/error":
			http.Error(w, "no such ship", http.StatusNotFound)
		}
	})
	b := newTestProxy(t, testDocument(address), nil, telemetry.Discard())
	tests := []struct {
		method, path string
		status       int
		body, length string
		trailer      string
	}{
		{"GET", "empty", http.StatusNoContent, "", "", ""},
		{"GET", "unchanged", http.StatusNotModified, "", "", ""},
		{"GET", "chunked", http.StatusOK, "piece piece piece ", "", ""},
		{"GET", "length", http.StatusOK, large, strconv.Itoa(len(large)), ""},
		{"HEAD", "length", http.StatusOK, "", strconv.Itoa(len(large)), ""},
		{"HEAD", "chunked", http.StatusOK, "", "", ""},
		{"GET", "trailer", http.StatusOK, large, "", "42"},
		{"GET", "error", http.StatusNotFound, "no such ship\n", "13", ""},
	}
	for _, tt := range tests {
		for range 2 { // on a new and on a reused connection
			resp, body, err := b.call(t, tt.method, "/svc/"+tt.path, nil)
			if err != nil {
				t.Fatal(tt.path, err)
			}
			length := resp.Header.Get("Content-Length")
			if tt.path == "chunked" && length == strconv.Itoa(len(tt.body)) {
				length = "" // all chunks arrived at once, so the server knew the length
			}
			if resp.StatusCode != tt.status || body != tt.body || length != tt.length {
				t.Errorf("%s %s: got %d, %d bytes, %v", tt.method, tt.path, resp.StatusCode, len(body), resp.Header)
			}
			if got := resp.Trailer.Get("X-Sum"); got != tt.trailer || resp.Header.Get(edge.HeaderOutcome) != "answered" {
				t.Errorf("%s %s: trailer %q, header %v", tt.method, tt.path, got, resp.Header)
			}
		}
	}
}

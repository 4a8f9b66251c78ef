package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/outcome"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// changingConfig is a config.Source whose snapshot the test replaces.
type changingConfig struct {
	fixedConfig
	snap      atomic.Pointer[config.Snapshot]
	subscribe func(*config.Snapshot)
}

func (c *changingConfig) Current() *config.Snapshot { return c.snap.Load() }
func (c *changingConfig) Subscribe(f func(*config.Snapshot)) func() {
	c.subscribe = f
	return func() {}
}

func (c *changingConfig) set(t *testing.T, doc *config.Document) {
	t.Helper()
	snap, err := config.NewSnapshot(1, doc)
	if err != nil {
		t.Fatal(err)
	}
	c.snap.Store(snap)
	if c.subscribe != nil {
		c.subscribe(snap)
	}
}

// newService starts a Service with the given configuration.
func newService(t *testing.T, c *changingConfig) *Service {
	t.Helper()
	h := NewHandler(Deps{
		Config: c, Admission: &roundRobinAdmitter{}, Locator: c, Measure: c, Dial: (&net.Dialer{}).DialContext,
		Logger: telemetry.Discard(), Metrics: metrics.NewSet(), VM: settings.VM{Name: "vm1"}, Clock: kernel.SystemClock{},
	})
	s := NewService(ServiceDeps{Handler: h, Listen: "127.0.0.1:0", Config: c, Logger: telemetry.Discard()})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return s
}

// sendRaw sends bytes on a new connection and returns the status of the response; 0
// if the connection was closed without one.
func sendRaw(t *testing.T, address, request string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, request)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func TestCallersLimitsFollowTheDocument(t *testing.T) {
	address := newTarget(t, func(http.ResponseWriter, *http.Request) {})
	c := &changingConfig{}
	doc := testDocument(address)
	c.set(t, doc)
	s := newService(t, c)
	large := "GET /svc/a HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	if got := sendRaw(t, s.Address(), large); got != http.StatusOK {
		t.Errorf("before: got %d", got)
	}
	changed := testDocument(address)
	changed.Limits.MaxHeaderBytes = 1 << 10
	changed.Limits.HeaderTimeoutMS = 50
	c.set(t, changed)
	if got := sendRaw(t, s.Address(), large); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("large header: got %d", got)
	}
	if got := sendRaw(t, s.Address(), "GET /svc/a HTTP/1.1\r\nHo"); got != http.StatusBadRequest && got != 0 {
		t.Errorf("slow header: got %d", got)
	}
}

func TestConnectionsOfOneAddressAreBounded(t *testing.T) {
	address := newTarget(t, func(http.ResponseWriter, *http.Request) {})
	c := &changingConfig{}
	doc := testDocument(address)
	doc.Limits.MaxConnectionsPerAddr = 2
	c.set(t, doc)
	s := newService(t, c)
	const request = "GET /svc/a HTTP/1.1\r\nHost: x\r\n\r\n"
	var open []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, request)
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Fatal(err)
		}
		open = append(open, conn)
	}
	if got := sendRaw(t, s.Address(), request); got != 0 {
		t.Errorf("a third connection was served: %d", got)
	}
	open[0].Close()
	for sendRaw(t, s.Address(), request) != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
}

// Requests that two parsers may split differently (request smuggling) are rejected, or
// forwarded as one request.
func TestRequestSmugglingIsRejected(t *testing.T) {
	var runs atomic.Int32
	address := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path != "/svc/a" {
			t.Errorf("the target got a request for %s", r.URL.Path)
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	c := &changingConfig{}
	c.set(t, testDocument(address))
	s := newService(t, c)
	const smuggled = "GET /svc/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	tests := []struct{ name, head string }{
		{"two lengths", "Content-Length: 0\r\nContent-Length: 41\r\n"},
		{"a list of lengths", "Content-Length: 0, 41\r\n"},
		{"signed length", "Content-Length: +0\r\n"},
		{"unknown transfer coding", "Transfer-Encoding: xchunked\r\n"},
		{"two transfer codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"},
		{"space before the colon", "Content-Length : 0\r\n"},
		{"folded header", "X: a\r\n b: c\r\nContent-Length: 0\r\n\x00: y\r\n"},
		{"bad chunk", "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
		{"no host", "Host: y\r\n"},
	}
	for _, tt := range tests {
		request := "POST /svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + tt.head + "\r\n" + smuggled
		if got := sendRaw(t, s.Address(), request); got == http.StatusOK {
			t.Errorf("%s: the request was served", tt.name)
		}
	}
	// With both headers, net/http ignores Content-Length in favor of chunked encoding,
	// and the target gets one request.
	sendRaw(t, s.Address(), "POST /svc/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+smuggled)
	if got := sendRaw(t, s.Address(), "GET /svc/a HTTP/1.0\r\n\r\n"); got != http.StatusHTTPVersionNotSupported {
		t.Errorf("HTTP/1.0: got %d", got)
	}
}

func TestHeadersAreStrippedBothWays(t *testing.T) {
	var seen http.Header
	address := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		h := w.Header()
		h.Set(edge.HeaderOutcome, "not-run")
		h.Set(edge.HeaderReplayed, "1")
		h.Set("Connection", "X-Private")
		h.Set("X-Private", "1")
		h.Set("X-Public", "1")
	})
	b := newTestProxy(t, testDocument(address), nil, telemetry.Discard())
	resp, _, err := b.call(t, "GET", "/svc/a", nil,
		"Masticturn-Not-Run", "1", edge.HeaderTargetDeadlineMS, "999999", "Te", "trailers", "Proxy-Authorization", "secret",
		"Upgrade", "websocket", "Connection", "X-Hop", "X-Hop", "1", "X-End", "1")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"Masticturn-Not-Run", "Te", "Proxy-Authorization", "Upgrade", "X-Hop", "User-Agent-2"} {
		if seen.Get(name) != "" {
			t.Errorf("the target got %s: %s", name, seen.Get(name))
		}
	}
	if seen.Get("X-End") != "1" || seen.Get(edge.HeaderTargetDeadlineMS) == "999999" {
		t.Errorf("the target got %v", seen)
	}
	h := resp.Header
	if h.Get(edge.HeaderOutcome) != "answered" || h.Get(edge.HeaderReplayed) != "" || h.Get("X-Private") != "" || h.Get("X-Public") != "1" {
		t.Errorf("the caller got %v", h)
	}
}

// A drain and a change of the document don't abort requests in flight.
func TestDrainAndChangeWaitForWhatIsInFlight(t *testing.T) {
	release := make(chan struct{})
	began := make(chan struct{}, 1)
	address := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-release
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	c := &changingConfig{}
	c.set(t, testDocument(address))
	s := newService(t, c)
	answer := make(chan string, 1)
	go func() {
		resp, err := http.Post("http://"+s.Address()+"/svc/a", "", io.LimitReader(endlessReader{}, uploadBytes))
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body) + " " + resp.Header.Get("Connection")
	}()
	<-began
	emptied := testDocument()
	emptied.Limits.MaxHeaderBytes = 2 << 10
	c.set(t, emptied) // the target is removed and the limits change
	s.CloseConnections()
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := s.Drain(shortCtx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the drain ended with %v while an upload was in flight", err)
	}
	close(release)
	if err := s.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	if got, want := <-answer, fmt.Sprint(uploadBytes); !strings.HasPrefix(got, want) {
		t.Errorf("the upload was answered with %q, want %s", got, want)
	}
}

// refusingAdmitter refuses all requests at once.
type refusingAdmitter struct{ calls atomic.Int32 }

func (a *refusingAdmitter) Acquire(context.Context, *admission.Request) (admission.Permit, error) {
	a.calls.Add(1)
	return nil, &outcome.Error{Outcome: outcome.NotRun, Step: outcome.StepAdmit, Reason: "full", RetryAfter: 1500 * time.Millisecond}
}

// A refusal by admission is returned at once, with its Retry-After, and not retried.
// Without a document, admission is not called.
func TestGivenUpIsToldAtOnce(t *testing.T) {
	c := &changingConfig{}
	a := &refusingAdmitter{}
	h := NewHandler(Deps{
		Config: c, Admission: a, Locator: c, Measure: c, Logger: telemetry.Discard(),
		Metrics: metrics.NewSet(), VM: settings.VM{Name: "vm1"}, Clock: kernel.SystemClock{},
	})
	tests := []struct {
		step, retryAfter string
		calls            int32
	}{{"parse", "1", 0}, {"admit", "2", 1}}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", "/svc/a", nil))
		got := w.Result().Header
		if w.Code != http.StatusServiceUnavailable || got.Get(edge.HeaderOutcome) != "not-run" || got.Get(edge.HeaderStep) != tt.step {
			t.Errorf("%s: got %d %v", tt.step, w.Code, got)
		}
		if got.Get("Retry-After") != tt.retryAfter || a.calls.Load() != tt.calls {
			t.Errorf("%s: Retry-After %q after %d calls", tt.step, got.Get("Retry-After"), a.calls.Load())
		}
		c.set(t, testDocument("127.0.0.1:1"))
	}
}

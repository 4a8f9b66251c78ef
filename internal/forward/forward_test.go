package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/idempotency"
	"masticturn/internal/kernel"
	"masticturn/internal/lookup"
	"masticturn/internal/measure"
	"masticturn/internal/outcome"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

// fixedConfig is a config.Source with one snapshot. It also serves as locator and
// observer.
type fixedConfig struct{ snap *config.Snapshot }

func (c fixedConfig) Current() *config.Snapshot               { return c.snap }
func (c fixedConfig) Subscribe(func(*config.Snapshot)) func() { return func() {} }
func (c fixedConfig) Locate(netip.Addr) lookup.Place          { return lookup.Place{Region: "r1"} }
func (c fixedConfig) Observe(measure.Observation)             {}

// roundRobinAdmitter admits all requests to the targets in turn.
type roundRobinAdmitter struct {
	mu             sync.Mutex
	next           int
	held           int
	released       []admission.Result
	requests       int // first attempts
	attempts       int
	invalidPermits int  // number of further permits that are invalid
	sticky         bool // always pick the first target that is not excluded
}

func (a *roundRobinAdmitter) Acquire(_ context.Context, r *admission.Request) (admission.Permit, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts++
	if !r.Retry {
		a.requests++
	}
	if a.sticky {
		a.next = 0
	}
	for range r.Service.AllTargets {
		t := r.Service.AllTargets[a.next%len(r.Service.AllTargets)]
		a.next++
		if !contains(r.Exclude, t.Name) {
			a.held++
			a.invalidPermits--
			return &testPermit{a: a, t: t, invalid: a.invalidPermits >= 0}, nil
		}
	}
	return nil, &outcome.Error{Outcome: outcome.NotRun, Step: outcome.StepAdmit, Reason: "all targets were tried"}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

type testPermit struct {
	a       *roundRobinAdmitter
	t       *config.TargetIndex
	invalid bool
}

var _ admission.Checked = (*testPermit)(nil)

func (p *testPermit) Valid() bool { return !p.invalid }

func (p *testPermit) Target() *config.TargetIndex { return p.t }
func (p *testPermit) Shifted() bool               { return false }
func (p *testPermit) Release(r admission.Result) {
	p.a.mu.Lock()
	defer p.a.mu.Unlock()
	p.a.held--
	p.a.released = append(p.a.released, r)
}

// testDocument returns a document with one service on the given targets. Requests
// below "/svc/keyed" require an idempotency key. GET and PUT requests are repeatable,
// POST requests are not.
func testDocument(targets ...string) *config.Document {
	doc := &config.Document{
		Fleet:   config.Fleet{MaxVMs: 1},
		Regions: []config.Region{{Name: "r1", Zones: []string{"z1"}}},
		Classes: []config.Class{{Name: "fast", TimeoutMS: 2000}},
		Limits: config.Limits{
			MaxBodyBytes: 64 << 20, IdleTimeoutMS: 1000, ReplayBodyBytes: 64 << 10,
			RecordedAnswerBytes: 64 << 10, RecordedAnswersBytes: 1 << 20, RecordedAnswersMS: 60000,
		},
		Retry: config.Retry{MaxAttempts: 2, BudgetFraction: 0.1, BudgetBurst: config.DefaultBudgetBurst, BackoffMS: 1},
	}
	svc := config.Service{Name: "svc", PathPrefix: "/svc/", Routes: []config.Route{
		{PathPrefix: "keyed", Class: "fast", RequireKey: true},
		{Class: "fast", Tenant: "t"},
	}}
	for i, address := range targets {
		svc.Targets = append(svc.Targets, config.Target{
			Name: "target" + string(rune('a'+i)), Address: address, Zone: "z1", Slots: 4, Connections: 100,
		})
	}
	doc.Services = []config.Service{svc}
	return doc
}

// testProxy is a Handler served by an HTTP server, with a client.
type testProxy struct {
	*httptest.Server
	handler   *Handler
	admission *roundRobinAdmitter
	client    *http.Client
}

func newTestProxy(t testing.TB, doc *config.Document, keys idempotency.Registry, logger *telemetry.Logger) *testProxy {
	t.Helper()
	return newTestProxyWithClock(t, doc, keys, logger, kernel.SystemClock{})
}

// testVM is the VM of the handlers under test.
var testVM = settings.VM{Name: "vm1", Zone: "z1", Region: "r1"}

// newTestHandler returns a handler for a document, with an admitter. The given dependencies are kept, and the others
// set for tests.
func newTestHandler(t testing.TB, doc *config.Document, d Deps) (*Handler, *roundRobinAdmitter) {
	t.Helper()
	snap, err := config.NewSnapshot(1, doc)
	if err != nil {
		t.Fatal(err)
	}
	c := fixedConfig{snap}
	a := &roundRobinAdmitter{}
	d.Config, d.Admission, d.Locator, d.Measure, d.Metrics = c, a, c, c, metrics.NewSet()
	return NewHandler(d), a
}

func newTestProxyWithClock(t testing.TB, doc *config.Document, keys idempotency.Registry, logger *telemetry.Logger, clock kernel.Clock) *testProxy {
	t.Helper()
	h, a := newTestHandler(t, doc, Deps{Keys: keys, Dial: (&net.Dialer{}).DialContext, Logger: logger, VM: testVM, Clock: clock})
	b := &testProxy{Server: httptest.NewServer(h), handler: h, admission: a}
	b.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		b.Close()
		h.Close()
	})
	return b
}

// heldPermits waits until no request is in flight and returns the number of permits
// that were not released.
func (b *testProxy) heldPermits() int {
	for b.handler.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	b.admission.mu.Lock()
	defer b.admission.mu.Unlock()
	return b.admission.held
}

// newTarget starts a target and returns its address.
func newTarget(t testing.TB, f http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// call sends one request and returns the response and its body; the error may be
// of reading the body. header holds names and values alternately.
func (b *testProxy) call(t testing.TB, method, path string, body io.Reader, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, b.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		if header[i] == "" {
			continue
		}
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp, string(raw), err
}

var attemptResultType = reflect.TypeFor[attemptResult]()

// syncBuffer is a buffer for log lines that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newTestLogger(w io.Writer) *telemetry.Logger {
	return telemetry.NewLogger(w, telemetry.FormatJSON, logrus.DebugLevel, "vm1")
}

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// relayingDialer connects through another VM where that is allowed.
type relayingDialer struct {
	delivers bool          // the other VM connects to the target
	respond  time.Duration // time until it tells that it does not
	refuses  bool          // the target refuses direct connections
	overdue  time.Duration // time until the other VM is overdue; 0: it never is
	late     time.Duration // time by which the other VM delivers late

	mu              sync.Mutex
	relayed, direct int
}

// DialTarget implements targetconn.Dialer.
func (d *relayingDialer) DialTarget(ctx context.Context, t *config.TargetIndex, r targetconn.Reach) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !r.Relay {
		d.direct++
		if d.refuses {
			return nil, syscall.ECONNREFUSED
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", t.Address)
	}
	d.relayed++
	c := &relayedConn{written: make(chan struct{}, 1), delivers: d.delivers, respond: d.respond}
	if !d.delivers {
		c.Conn, _ = net.Pipe()
		return c, nil
	}
	if d.overdue > 0 {
		c.overdue = make(chan struct{})
		time.AfterFunc(d.overdue, func() { close(c.overdue) })
	}
	c.late = d.late
	var err error
	c.Conn, err = (&net.Dialer{}).DialContext(ctx, "tcp", t.Address)
	return c, err
}

// relayedConn is a connection that another VM carries.
type relayedConn struct {
	net.Conn
	written  chan struct{}
	delivers bool
	respond  time.Duration
	overdue  chan struct{} // nil: the other VM never is
	late     time.Duration
}

func (c *relayedConn) Write(p []byte) (int, error) {
	select {
	case c.written <- struct{}{}:
	default:
	}
	if !c.delivers {
		return len(p), nil
	}
	if c.late == 0 {
		return c.Conn.Write(p)
	}
	copied := slices.Clone(p)
	time.AfterFunc(c.late, func() { _, _ = c.Conn.Write(copied) })
	return len(p), nil
}

func (c *relayedConn) Read(p []byte) (int, error) {
	if c.delivers {
		return c.Conn.Read(p)
	}
	<-c.written
	time.Sleep(c.respond)
	return 0, errors.New("not connected")
}

func (c *relayedConn) Undelivered() bool                    { return !c.delivers }
func (c *relayedConn) Overdue() <-chan struct{}             { return c.overdue }
func (c *relayedConn) Relayed() bool                        { return true }
func (c *relayedConn) Usable() bool                         { return false }
func (c *relayedConn) Carrier() (vm, region, tunnel string) { return "vm2", "r2", "tunnel" }

// Guards against requests that fail, or run twice, when another VM can't connect to their target.
func TestRequestThatAnotherVMDidNotDeliverIsSentDirectly(t *testing.T) {
	for name, tt := range map[string]struct {
		body            string
		chunked         bool
		delivers        bool
		relayed, direct int
	}{
		"delivered":                     {"body", false, true, 1, 0},
		"not delivered":                 {"body", false, false, 1, 1},
		"not delivered, without a body": {"", false, false, 1, 1},
		"a body that is not kept":       {"body", true, false, 0, 1},
		"a large body":                  {strings.Repeat("x", maxRelayedBodyBytes+1), false, false, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var bodies []string
			target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
				raw, _ := io.ReadAll(r.Body)
				mu.Lock()
				defer mu.Unlock()
				bodies = append(bodies, string(raw))
			})
			d := &relayingDialer{delivers: tt.delivers}
			h, _ := newTestHandler(t, testDocument(target), Deps{Targets: d, Logger: telemetry.Discard(), VM: testVM, Clock: kernel.SystemClock{}})
			server := httptest.NewServer(h)
			defer h.Close()
			defer server.Close()
			var body io.Reader = strings.NewReader(tt.body)
			if tt.chunked {
				body = io.MultiReader(body)
			}
			resp, err := http.Post(server.URL+"/svc/a", "text/plain", body)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK || len(bodies) != 1 || bodies[0] != tt.body {
				t.Errorf("status %d, the target got %q", resp.StatusCode, bodies)
			}
			if d.relayed != tt.relayed || d.direct != tt.direct {
				t.Errorf("%d relayed and %d direct connections, want %d and %d", d.relayed, d.direct, tt.relayed, tt.direct)
			}
		})
	}
}

// Guards against a crash when neither way reaches the target.
func TestRequestThatReachesItsTargetNeitherWay(t *testing.T) {
	h, a := newTestHandler(t, testDocument("127.0.0.1:1"), Deps{
		Targets: &relayingDialer{refuses: true}, Logger: telemetry.Discard(), VM: testVM, Clock: kernel.SystemClock{},
	})
	server := httptest.NewServer(h)
	defer h.Close()
	defer server.Close()
	resp, err := http.Post(server.URL+"/svc/a", "text/plain", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Masticturn-Outcome") != "not-run" {
		t.Errorf("status %d, %v, want 503 and not run", resp.StatusCode, resp.Header)
	}
	if n := (&testProxy{handler: h, admission: a}).heldPermits(); n > 0 {
		t.Errorf("%d slots are still held", n)
	}
}

// Guards against a second hedge of a request that is sent once more, which would keep its slot.
func TestHedgedRequestThatAnotherVMDidNotDeliver(t *testing.T) {
	answer := func(w http.ResponseWriter, r *http.Request) { time.Sleep(30 * time.Millisecond) }
	doc := testDocument(newTarget(t, answer), newTarget(t, answer))
	doc.Retry.HedgeAfterMS, doc.Retry.BudgetFraction = 5, 1
	h, a := newTestHandler(t, doc, Deps{
		Targets: &relayingDialer{respond: 20 * time.Millisecond}, Logger: telemetry.Discard(), VM: testVM, Clock: kernel.SystemClock{},
	})
	server := httptest.NewServer(h)
	defer h.Close()
	defer server.Close()
	for range 10 {
		resp, err := http.Get(server.URL + "/svc/a")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	p := &testProxy{handler: h, admission: a}
	for deadline := time.Now().Add(time.Second); p.heldPermits() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d slots are still held", p.heldPermits())
		}
	}
}

// Guards against requests that fail, or wait, because the VM that carries them is late or lost.
func TestRequestIsSentOnceMoreBesideAnOverdueCarrier(t *testing.T) {
	const overdue, lost = 50 * time.Millisecond, time.Hour
	for name, tt := range map[string]struct {
		method  string
		late    time.Duration // of the first attempt
		others  int           // further targets
		status  int
		runs    int // of the request
		atLeast time.Duration
		atMost  time.Duration
	}{
		"late, no other target has room":  {"GET", 4 * overdue, 0, http.StatusOK, 1, 4 * overdue, time.Second},
		"late, another target answers":    {"GET", 20 * overdue, 1, http.StatusOK, 1, overdue, 20 * overdue},
		"lost, another target answers":    {"GET", lost, 1, http.StatusOK, 1, overdue, time.Second},
		"late, must not be repeated":      {"POST", 4 * overdue, 1, http.StatusOK, 1, 4 * overdue, time.Second},
		"in time":                         {"GET", overdue / 5, 1, http.StatusOK, 1, 0, time.Second},
		"lost, no other target, deadline": {"GET", lost, 0, http.StatusGatewayTimeout, 0, overdue, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			serve := func(w http.ResponseWriter, _ *http.Request) { runs.Add(1) }
			var targets []string
			for range 1 + tt.others {
				targets = append(targets, newTarget(t, serve))
			}
			doc := testDocument(targets...)
			doc.Classes[0].TimeoutMS, doc.Retry.Patient, doc.Retry.BudgetFraction = 1500, true, 1
			d := &firstOverdue{relayingDialer{delivers: true, overdue: overdue, late: tt.late}}
			h, a := newTestHandler(t, doc, Deps{Targets: d, Logger: telemetry.Discard(), VM: testVM, Clock: kernel.SystemClock{}})
			server := httptest.NewServer(h)
			defer h.Close()
			defer server.Close()
			req, err := http.NewRequest(tt.method, server.URL+"/svc/a", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			started := time.Now()
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			took := time.Since(started)
			if resp.StatusCode != tt.status || took < tt.atLeast || took > tt.atMost || runs.Load() != int64(tt.runs) {
				t.Errorf("status %d after %v, %d runs; want %d after %v to %v, %d runs",
					resp.StatusCode, took, runs.Load(), tt.status, tt.atLeast, tt.atMost, tt.runs)
			}
			p := &testProxy{handler: h, admission: a}
			for deadline := time.Now().Add(time.Second); p.heldPermits() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d slots are still held", p.heldPermits())
				}
			}
		})
	}
}

// firstOverdue is a relayingDialer whose connections after the first one are direct.
type firstOverdue struct{ relayingDialer }

// DialTarget implements targetconn.Dialer.
func (d *firstOverdue) DialTarget(ctx context.Context, t *config.TargetIndex, r targetconn.Reach) (net.Conn, error) {
	d.mu.Lock()
	r.Relay = r.Relay && d.relayed == 0
	d.mu.Unlock()
	return d.relayingDialer.DialTarget(ctx, t, r)
}

func TestLimitNamedThroughAnotherVMIsSharedWithIt(t *testing.T) {
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Their-Id", r.Header.Get("Their-Id"))
		w.Header().Set("Their-Limit", "3")
	})
	d := foreignDialect()
	d.TargetRateLimit = "Their-Limit"
	d.ParseRateLimit = func([]string) (float64, bool) { return 3, true }
	var shared []string
	h, a := newTestHandler(t, testDocument(target), Deps{
		Targets: &relayingDialer{delivers: true}, Dialect: d, Logger: telemetry.Discard(), VM: testVM, Clock: kernel.SystemClock{},
		ShareLimit: func(carrier, target string, perSecond float64) {
			shared = append(shared, fmt.Sprint(carrier, " ", target, " ", perSecond))
		},
	})
	h.deps.Admission = &limitRecorder{Admitter: a}
	server := httptest.NewServer(h)
	defer h.Close()
	defer server.Close()
	req, err := http.NewRequest(http.MethodPost, server.URL+"/svc/a", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Their-Id", "id-1")
	req.Header.Set("Their-Deadline-Ms", "1500")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if want := []string{"vm2 targeta 3"}; !slices.Equal(shared, want) {
		t.Errorf("shared %q, want %q", shared, want)
	}
}

// Package target is the stand-in for a target: an HTTP server with
// concurrency slots, a service time, health and load endpoints, faults, and a
// log of what it ran.
package target

import (
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/edge"
	"masticturn/internal/standin"
)

// Options configures a Target. Only Name and Slots are required.
type Options struct {
	Name       string
	Address    string           // host:port to listen on; empty: a free port of 127.0.0.1
	Slots      int              // requests it runs at once
	QueueLimit int              // requests that may wait inside; beyond them it sheds
	Service    time.Duration    // mean time to run a request
	Sigma      float64          // shape of the log-normal distribution of that time
	ColdFactor float64          // how much longer a request takes on a cold target; below 1 counts as 1
	ColdFor    time.Duration    // how long after its start a target is cold; the factor falls linearly
	Warm       bool             // not cold at the first start
	Seed       uint64           // of service times and faults
	Log        *Log             // may be nil
	Gauges     []*standin.Gauge // offered concurrency is added to each
}

// Target is a running stand-in for a target.
type Target struct {
	opts     Options
	slots    chan struct{}
	queued   atomic.Int64
	inFlight atomic.Int64

	mu        sync.Mutex
	random    *rand.Rand
	server    *standin.Server
	address   string
	warmSince time.Time
	draining  bool
	report    Report
	lagged    laggedLoad
	faults    []Fault
	faultRate float64
	cutPlan   CutPlan
	highConns int // before the last restart
}

// Start starts a target.
func Start(opts Options) (*Target, error) {
	if opts.Address == "" {
		opts.Address = "127.0.0.1:0"
	}
	opts.ColdFactor = max(1, opts.ColdFactor)
	t := &Target{
		opts:    opts,
		slots:   make(chan struct{}, opts.Slots),
		random:  rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		address: opts.Address,
	}
	if err := t.Restart(); err != nil {
		return nil, err
	}
	if opts.Warm {
		t.warm()
	}
	return t, nil
}

// Restart listens again after Kill, on the same address, with cold caches.
func (t *Target) Restart() error {
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		return trace.Wrap(err, "target %s", t.opts.Name)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.address = listener.Addr().String()
	t.warmSince = time.Now().Add(t.opts.ColdFor)
	t.draining = false
	t.server = standin.ServeListener(cutListener{listener, t.nextCut}, t)
	return nil
}

// warm ends the cold time at once.
func (t *Target) warm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmSince = time.Now()
}

// Kill cuts all connections and stops listening, without a warning.
func (t *Target) Kill() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highConns = max(t.highConns, t.server.HighConnections())
	return t.server.Close()
}

// HighConnections returns the most connections that were open at once.
func (t *Target) HighConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.highConns, t.server.HighConnections())
}

// Address returns host:port.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Name returns the name of the target.
func (t *Target) Name() string { return t.opts.Name }

// SetDraining makes the target leave, or come back: it says so on its health
// endpoint and on answers, and sheds new work.
func (t *Target) SetDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = on
}

// SetFaults lets a fraction of the requests meet one of the faults.
func (t *Target) SetFaults(rate float64, faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultRate, t.faults = rate, faults
}

// SetCutPlan sets where new connections are cut; nil means nowhere.
func (t *Target) SetCutPlan(plan CutPlan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutPlan = plan
}

func (t *Target) nextCut() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cutPlan == nil {
		return 0
	}
	return t.cutPlan()
}

// draw chooses the fault and the service time of one request.
func (t *Target) draw() (Fault, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fault := NoFault
	if len(t.faults) > 0 && t.random.Float64() < t.faultRate {
		fault = t.faults[t.random.IntN(len(t.faults))]
	}
	return fault, t.serviceTime()
}

// serviceTime draws a log-normal time with the mean of the options, longer on
// a cold target; t.mu is held.
func (t *Target) serviceTime() time.Duration {
	mean := float64(t.opts.Service)
	if mean == 0 {
		return 0
	}
	if cold := time.Until(t.warmSince); cold > 0 {
		mean *= 1 + (t.opts.ColdFactor-1)*float64(cold)/float64(t.opts.ColdFor)
	}
	mu := math.Log(mean) - t.opts.Sigma*t.opts.Sigma/2
	return time.Duration(math.Exp(mu + t.opts.Sigma*t.random.NormFloat64()))
}

func (t *Target) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

func (t *Target) offered(delta int) {
	for _, g := range t.opts.Gauges {
		g.Add(delta)
	}
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case edge.PathTargetHealth:
		t.serveHealth(w, r)
	case edge.PathTargetLoad:
		t.serveLoad(w, r)
	default:
		t.serveRequest(w, r)
	}
}

package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/quarantine"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// targetState is the result of a probe of a target.
type targetState string

// Results of a probe after a connection broke.
const (
	targetEnded     targetState = "ended"     // connection refused
	targetListening targetState = "listening" // connection accepted
	targetUnknown   targetState = "unknown"   // no answer
)

// brokenRun is a run whose connection broke before the complete response was received.
type brokenRun struct {
	subject   quarantine.RequestDigests
	digest    string // of the request; empty if its body had not arrived
	id        string // of the request
	target    *config.TargetIndex
	startedAt time.Time
	endedAt   time.Time
	done      chan struct{} // closed when the probe's result is known
}

// crashProber connects to targets that broke a connection, to distinguish crashes from resets.
type crashProber struct {
	deps Deps

	mu      sync.Mutex
	waiting map[string][]*brokenRun // runs waiting for a probe in progress, by target name
}

func newCrashProber(d Deps) *crashProber {
	return &crashProber{deps: d, waiting: make(map[string][]*brokenRun)}
}

// start probes the target of a run, or waits for a probe of it in progress. The channel is closed when
// the result is known.
func (p *crashProber) start(r *brokenRun) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting, running := p.waiting[r.target.Name]
	p.waiting[r.target.Name] = append(waiting, r)
	if !running {
		go p.probe(r.target)
	}
	return r.done
}

func (p *crashProber) probe(t *config.TargetIndex) {
	state := p.probeState(t)
	p.mu.Lock()
	runs := p.waiting[t.Name]
	delete(p.waiting, t.Name)
	p.mu.Unlock()
	for _, r := range runs {
		p.report(r, state)
	}
}

func (p *crashProber) probeState(t *config.TargetIndex) targetState {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := p.dial(ctx, t)
	switch {
	case err == nil:
		_ = conn.Close()
		return targetListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return targetEnded
	}
	return targetUnknown
}

func (p *crashProber) dial(ctx context.Context, t *config.TargetIndex) (net.Conn, error) {
	if p.deps.Targets != nil {
		return p.deps.Targets.DialTarget(ctx, t, targetconn.Reach{})
	}
	return p.deps.Dial(ctx, "tcp", t.Address)
}

func (p *crashProber) report(r *brokenRun, state targetState) {
	p.deps.Metrics.GetOrCreateCounter(fmt.Sprintf("masticturn_broken_runs_total{target=%q}", string(state))).Inc()
	p.deps.Logger.Log(eventRunBroken,
		telemetry.Peer(r.target.Name),
		telemetry.Value("request_id", r.id),
		telemetry.Value("digest", r.digest),
		telemetry.Value("ran_ms", r.endedAt.Sub(r.startedAt).Milliseconds()),
		telemetry.Value("target", string(state)))
	// A draining target is expected to exit, so this is not a crash.
	if state == targetEnded && !r.target.Leaving && p.deps.Screen != nil {
		p.deps.Screen.Crashed(r.subject, r.target.Name, r.startedAt, r.endedAt)
	}
	close(r.done)
}

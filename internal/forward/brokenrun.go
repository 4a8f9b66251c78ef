package forward

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/quarantine"
	"masticturn/internal/telemetry"
)

// targetState is the result of a probe.
type targetState string

// The results of a probe after a connection broke.
const (
	targetEnded     targetState = "ended"     // connection refused
	targetListening targetState = "listening" // connection accepted
	targetUnknown   targetState = "unknown"   // no answer
)

// brokenRun is a run whose connection broke before the whole answer.
type brokenRun struct {
	subject quarantine.Subject
	digest  string // of the request; empty if its body had not arrived
	id      string // of the request
	target  *config.TargetIndex
	began   time.Time
	ended   time.Time
	done    chan struct{} // closed after the probe
}

// endProbe probes targets whose connections broke, to distinguish crashes from resets.
type endProbe struct {
	deps Deps

	mu      sync.Mutex
	running map[string][]*brokenRun // by target: those waiting for its probe
}

func newEndProbe(d Deps) *endProbe {
	return &endProbe{deps: d, running: make(map[string][]*brokenRun)}
}

// start probes a run's target, or joins a probe in progress. The channel is closed when
// the result is known.
func (p *endProbe) start(r *brokenRun) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting, running := p.running[r.target.Name]
	p.running[r.target.Name] = append(waiting, r)
	if !running {
		go p.probe(r.target)
	}
	return r.done
}

func (p *endProbe) probe(t *config.TargetIndex) {
	state := p.stateOf(t)
	p.mu.Lock()
	runs := p.running[t.Name]
	delete(p.running, t.Name)
	p.mu.Unlock()
	for _, r := range runs {
		p.report(r, state)
	}
}

func (p *endProbe) stateOf(t *config.TargetIndex) targetState {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := p.deps.Dial(ctx, "tcp", t.Address)
	switch {
	case err == nil:
		_ = conn.Close()
		return targetListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return targetEnded
	}
	return targetUnknown
}

func (p *endProbe) report(r *brokenRun, state targetState) {
	p.deps.Metrics.GetOrCreateCounter(fmt.Sprintf("masticturn_broken_runs_total{target=%q}", string(state))).Inc()
	p.deps.Logger.Log(eventRunBroken,
		telemetry.Peer(r.target.Name),
		telemetry.Value("request_id", r.id),
		telemetry.Value("digest", r.digest),
		telemetry.Value("ran_ms", r.ended.Sub(r.began).Milliseconds()),
		telemetry.Value("target", string(state)))
	// A draining target is expected to end.
	if state == targetEnded && !r.target.Leaving && p.deps.Screen != nil {
		p.deps.Screen.Crashed(r.subject, r.target.Name, r.began, r.ended)
	}
	close(r.done)
}

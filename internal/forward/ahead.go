package forward

import (
	"context"
	"maps"
	"sync"

	"masticturn/internal/config"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// OpenAhead opens connections to expected targets of services with mostly repeatable requests, unless
// many idle connections are stale. It must be called every targetconn.AheadInterval and does not block.
func (h *Handler) OpenAhead(ctx context.Context) {
	snap := h.deps.Config.Current()
	if h.deps.Expected == nil || snap == nil || h.closing.Load() || h.conns.MostlyStale() {
		return
	}
	expected := h.deps.Expected()
	for _, t := range expected[:min(len(expected), targetconn.AheadMost)] {
		rule := connectionRuleOf(snap, t)
		if !h.repeatable.most(t.Service) || !rule.keep || h.conns.HasOpen(t) {
			continue
		}
		if !h.ahead.Spend() {
			return
		}
		go h.openAhead(ctx, t, rule.limit)
	}
}

// recordRemote records a request to a target of another region.
func (h *Handler) recordRemote(x *exchange) {
	h.ahead.Earn()
	h.repeatable.note(x.match.Service.Name, x.repeatable)
}

func (h *Handler) openAhead(ctx context.Context, t *config.TargetIndex, limit int) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if _, err := h.conns.OpenAhead(ctx, t, limit); err != nil {
		h.deps.Logger.Log(eventAheadFailed, telemetry.Peer(t.Name), telemetry.Err(err))
	}
}

// Bounds of repeatableShares.
const (
	// repeatableWeight is the weight of one request in a service's share.
	repeatableWeight = 0.05
	// minRepeatable is the share from which connections are opened ahead.
	minRepeatable = 0.5
)

// repeatableShares is the share of repeatable requests to other regions, by service.
type repeatableShares struct {
	mu        sync.Mutex
	byService map[string]float64
}

func newRepeatableShares() *repeatableShares {
	return &repeatableShares{byService: make(map[string]float64)}
}

// note records a request.
func (s *repeatableShares) note(service string, repeatable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	is := 0.0
	if repeatable {
		is = 1
	}
	share, known := s.byService[service]
	if !known {
		share = is
	}
	s.byService[service] = share + repeatableWeight*(is-share)
}

// most reports whether most of a service's requests are repeatable.
func (s *repeatableShares) most(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service] >= minRepeatable
}

// keep forgets services that left the document.
func (s *repeatableShares) keep(snap *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byService, func(service string, _ float64) bool { return snap.Service(service) == nil })
}

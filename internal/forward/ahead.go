package forward

import (
	"context"
	"maps"
	"sync"

	"masticturn/internal/config"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// OpenAhead opens connections to targets that are expected to get requests soon, if most requests of
// their service are repeatable. It opens none while many idle connections are stale. It must be called
// every targetconn.AheadInterval and does not block.
func (h *Handler) OpenAhead(ctx context.Context) {
	snap := h.deps.Config.Current()
	if h.deps.Expected == nil || snap == nil || h.closing.Load() || h.conns.MostlyStale() {
		return
	}
	expected := h.deps.Expected()
	for _, t := range expected[:min(len(expected), targetconn.MaxAheadTargets)] {
		policy := connectionPolicyOf(snap, t)
		if !h.repeatableShares.isMostlyRepeatable(t.Service) || !policy.keep || h.conns.HasOpen(t) {
			continue
		}
		if !h.aheadBudget.Withdraw() {
			return
		}
		go h.openAhead(ctx, t, policy.limit)
	}
}

// recordRemote records a request to a target in another region, which earns a part of a connection to
// be opened ahead.
func (h *Handler) recordRemote(x *exchange) {
	h.aheadBudget.Deposit()
	h.repeatableShares.record(x.match.Service.Name, x.repeatable)
}

func (h *Handler) openAhead(ctx context.Context, t *config.TargetIndex, limit int) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if _, err := h.conns.OpenAhead(ctx, t, limit); err != nil {
		h.deps.Logger.Log(eventOpenAheadFailed, telemetry.Peer(t.Name), telemetry.Err(err))
	}
}

// Parameters of repeatableShares.
const (
	// repeatableSampleWeight is the weight of one request in the moving average of its service.
	repeatableSampleWeight = 0.05
	// minRepeatableShare is the share of repeatable requests from which connections are opened ahead.
	minRepeatableShare = 0.5
)

// repeatableShares holds, by service, the share of repeatable requests among those to other regions, as
// an exponential moving average.
type repeatableShares struct {
	mu        sync.Mutex
	byService map[string]float64
}

func newRepeatableShares() *repeatableShares {
	return &repeatableShares{byService: make(map[string]float64)}
}

// record records a request of a service.
func (s *repeatableShares) record(service string, repeatable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := 0.0
	if repeatable {
		sample = 1
	}
	share, known := s.byService[service]
	if !known {
		share = sample
	}
	s.byService[service] = share + repeatableSampleWeight*(sample-share)
}

// isMostlyRepeatable reports whether most of a service's requests are repeatable.
func (s *repeatableShares) isMostlyRepeatable(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service] >= minRepeatableShare
}

// retain drops services that are no longer in the document.
func (s *repeatableShares) retain(snap *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byService, func(service string, _ float64) bool { return snap.Service(service) == nil })
}

package forward

import (
	"context"
	"maps"
	"sync"

	"masticturn/internal/config"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// OpenAhead opens connections to the targets of services most of whose requests
// may be repeated, which are expected to get some; other requests go on
// connections that were in use or opened a moment ago only. None is opened while
// many idle connections are stale. It is to be called every
// targetconn.AheadInterval and does not wait.
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

// recordRemote notes a request that is sent to a target of another region.
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

// Bounds of what counts as a service of requests that may be repeated.
const (
	// repeatableWeight is the weight of one request in a service's share: the last
	// twenty or so count.
	repeatableWeight = 0.05
	// repeatableLeast is the share from which on connections are opened ahead.
	// Other requests use one in four of them.
	repeatableLeast = 0.5
)

// repeatableShares is, by service, the share of the latest requests to other
// regions that might be repeated.
type repeatableShares struct {
	mu        sync.Mutex
	byService map[string]float64
}

func newRepeatableShares() *repeatableShares {
	return &repeatableShares{byService: make(map[string]float64)}
}

// note takes in a request.
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

// most reports whether most of a service's requests might be repeated.
func (s *repeatableShares) most(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service] >= repeatableLeast
}

// keep forgets services that are not in the document any more.
func (s *repeatableShares) keep(snap *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byService, func(service string, _ float64) bool { return snap.Service(service) == nil })
}

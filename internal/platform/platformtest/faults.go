package platformtest

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"masticturn/internal/platform"
)

// Call is one call to the store.
type Call struct {
	Op   platform.Op
	Kind platform.Kind
	Name string // empty for lists and watches
}

// Fault is what goes wrong with one call.
type Fault int

// The faults of one call. Reads know only FaultNone and FaultUnavailable; any
// other fault makes a read unavailable.
const (
	FaultNone        Fault = iota
	FaultUnavailable       // ErrUnavailable, no effect
	FaultLostRequest       // ErrUnknownOutcome, no effect
	FaultLostAnswer        // ErrUnknownOutcome, takes effect
	FaultLateEffect        // ErrUnknownOutcome, takes effect at ReleaseLate
)

// Hook chooses the fault of a call. It may sleep to add latency; it is called
// without locks held.
type Hook func(ctx context.Context, c Call) Fault

// CountKey is what calls are counted by.
type CountKey struct {
	Op   platform.Op
	Kind platform.Kind
}

// SetHook sets the hook of all later calls; nil removes it.
func (s *Store) SetHook(h Hook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = h
}

// SetOutage makes all calls fail with ErrUnavailable, waiting watches too.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.wakeLocked()
}

// Freeze makes reads and watches see the present state, however old it gets,
// until Thaw. Writes are checked against the true state.
func (s *Store) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = s.live.clone()
}

// Thaw ends Freeze.
func (s *Store) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	s.wakeLocked()
}

// Put stores an object as the platform itself does, under no fault and
// uncounted.
func (s *Store) Put(kind platform.Kind, name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live.put(kind, name, entry{value: slices.Clone(value)})
	s.wakeLocked()
}

// Peek returns an object as it is, under no fault and uncounted.
func (s *Store) Peek(kind platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.live.get(kind, name)
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object(kind, name, e), nil
}

// Compact drops the history: watches from before now fail with ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.live.version
	s.wakeLocked()
}

// Remove removes an object as the platform itself does.
func (s *Store) Remove(kind platform.Kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.live.get(kind, name); ok {
		s.live.put(kind, name, entry{deleted: true})
		s.wakeLocked()
	}
}

// ReleaseLate lets the writes of FaultLateEffect take effect, in their order,
// each only if its condition still holds. It returns how many there were.
func (s *Store) ReleaseLate() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.late
	s.late = nil
	for _, apply := range late {
		apply()
	}
	return len(late)
}

// Counts returns the calls so far by operation and kind, failed ones included.
func (s *Store) Counts() map[CountKey]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Calls returns the number of calls of one operation over all kinds.
func (s *Store) Calls(op platform.Op) int {
	n := 0
	for key, count := range s.Counts() {
		if key.Op == op {
			n += count
		}
	}
	return n
}

// begin counts a call and returns the fault to apply, or the error of a call
// that already failed.
func (s *Store) begin(ctx context.Context, c Call) (Fault, error) {
	s.mu.Lock()
	s.counts[CountKey{c.Op, c.Kind}]++
	hook := s.hook
	s.mu.Unlock()

	fault := FaultNone
	if hook != nil {
		fault = hook(ctx, c)
	}
	if err := ctx.Err(); err != nil {
		return fault, unavailable(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || fault == FaultUnavailable || (fault != FaultNone && !c.Op.Writes()) {
		return fault, platform.ErrUnavailable
	}
	return fault, nil
}

func unavailable(cause error) error { return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause) }

package platformtest

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"

	"masticturn/internal/platform"
)

// Call identifies a call to the store.
type Call struct {
	Op   platform.Op
	Kind platform.Kind
	Name string // empty for lists and watches
}

// Fault is a fault injected into one call.
type Fault int

// Faults of a call. For reads, any fault other than FaultNone acts as FaultUnavailable.
const (
	FaultNone          Fault = iota
	FaultUnavailable         // returns ErrUnavailable; no effect
	FaultLostRequest         // returns ErrUnknownOutcome; no effect
	FaultLostResponse        // returns ErrUnknownOutcome; takes effect
	FaultDelayedEffect       // returns ErrUnknownOutcome; takes effect at ReleaseDelayed
)

// Hook selects the fault of a call. It is called without locks held, so it may sleep to
// add latency.
type Hook func(ctx context.Context, c Call) Fault

// CountKey identifies a counter of calls.
type CountKey struct {
	Op   platform.Op
	Kind platform.Kind
}

// SetHook sets the hook for all later calls; nil removes it.
func (s *Store) SetHook(h Hook) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hook = h
}

// SetOutage makes all calls, including waiting watches, fail with ErrUnavailable.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.notifyLocked()
}

// Freeze makes reads and watches return the current state until Unfreeze, regardless of
// later writes. Conditions of writes are still checked against the latest state.
func (s *Store) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = s.live.clone()
}

// Unfreeze ends Freeze.
func (s *Store) Unfreeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	s.notifyLocked()
}

// Put stores an object as the platform itself would, without faults and without being
// counted as a call.
func (s *Store) Put(kind platform.Kind, name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live.put(kind, name, entry{value: slices.Clone(value)})
	s.notifyLocked()
}

// Peek returns the latest state of an object, without faults and without being counted
// as a call.
func (s *Store) Peek(kind platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.live.get(kind, name)
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.object(kind, name, e), nil
}

// Compact drops the history, so that watches from earlier versions fail with ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.live.version
	s.notifyLocked()
}

// Remove removes an object as the platform itself would.
func (s *Store) Remove(kind platform.Kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.live.get(kind, name); ok {
		s.live.put(kind, name, entry{deleted: true})
		s.notifyLocked()
	}
}

// ReleaseDelayed applies the writes delayed by FaultDelayedEffect, in order, each only if
// its condition still holds. It returns how many writes were delayed.
func (s *Store) ReleaseDelayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	delayed := s.delayed
	s.delayed = nil
	for _, apply := range delayed {
		apply()
	}
	return len(delayed)
}

// Counts returns the number of calls by operation and kind, including failed calls.
func (s *Store) Counts() map[CountKey]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Calls returns the number of calls of an operation over all kinds.
func (s *Store) Calls(op platform.Op) int {
	n := 0
	for key, count := range s.Counts() {
		if key.Op == op {
			n += count
		}
	}
	return n
}

// startCall counts a call and returns its fault, or an error if the call fails before it
// is executed.
func (s *Store) startCall(ctx context.Context, c Call) (Fault, error) {
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
	if s.outage || fault == FaultUnavailable || (fault != FaultNone && !c.Op.IsWrite()) {
		return fault, platform.ErrUnavailable
	}
	return fault, nil
}

func unavailable(cause error) error { return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause) }

// Copy is a copy of the store's content.
type Copy struct{ content *state }

// Copy returns a copy of the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.live.clone()}
}

// Restore replaces the content by a copy, as of which revisions are given out again, and begins a new
// era. Watches from revisions that the copy does not have fail with ErrCompacted. It returns the
// content before.
func (s *Store) Restore(c Copy) (before Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = Copy{s.live.clone()}
	s.live = *c.content.clone()
	s.restored = s.live.version
	s.era++
	s.compacted = min(s.compacted, s.live.version)
	s.delayed = nil
	s.notifyLocked()
	return before
}

// WriteAgain writes the objects of some kinds again that were lost with Restore, as their owners do, and
// removes those again that had been removed. What was written since is left alone. latest is the
// content before Restore.
func (s *Store) WriteAgain(latest Copy, kinds ...platform.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, kind := range kinds {
		for name, lost := range latest.content.kinds[kind] {
			now, ok := s.live.kinds[kind][name]
			if now.version > s.restored || ok == !lost.deleted && now.deleted == lost.deleted && bytes.Equal(now.value, lost.value) {
				continue
			}
			if ok || !lost.deleted {
				s.live.put(kind, name, entry{value: lost.value, deleted: lost.deleted})
			}
		}
	}
	s.notifyLocked()
}

// Era returns the store's era, which begins with 1.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// LearnEra implements platform.Store. It does nothing, as Era always returns the present era.
func (s *Store) LearnEra(uint64) {}

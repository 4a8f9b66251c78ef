// Package platformtest provides an in-memory platform.Store with fault injection, for
// tests and for the stand-in server.
package platformtest

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"masticturn/internal/platform"
)

// defaultWatchTimeout is how long a watch waits for changes by default.
const defaultWatchTimeout = time.Second

// Store is an in-memory platform.Store. Watches report only the latest state of each
// changed object. Deleted objects are kept as tombstones.
type Store struct {
	// WatchTimeout is how long a watch waits for changes. Set it before use.
	WatchTimeout time.Duration

	mu   sync.Mutex
	live state
	era  uint64
	// restored is the revision of the copy from which the store came back last.
	restored platform.Version
	frozen   *state        // if set, returned by reads instead of live
	changed  chan struct{} // closed and replaced to make waiting watches check the state again
	outage   bool
	// compacted is the version before which no history is available.
	compacted platform.Version
	hook      Hook
	delayed   []func() // writes to be applied by ReleaseDelayed
	counts    map[CountKey]int
}

var _ platform.Store = (*Store)(nil)

// state is the content of the store at one revision. Its versions have no era.
type state struct {
	version platform.Version
	kinds   map[platform.Kind]map[string]entry
}

type entry struct {
	version platform.Version
	value   []byte
	deleted bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		WatchTimeout: defaultWatchTimeout,
		era:          1,
		live:         state{kinds: make(map[platform.Kind]map[string]entry)},
		changed:      make(chan struct{}),
		counts:       make(map[CountKey]int),
	}
}

func (s *state) clone() *state {
	c := &state{version: s.version, kinds: make(map[platform.Kind]map[string]entry, len(s.kinds))}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

func (s *state) get(kind platform.Kind, name string) (entry, bool) {
	e, ok := s.kinds[kind][name]
	return e, ok && !e.deleted
}

func (s *state) put(kind platform.Kind, name string, e entry) platform.Version {
	s.version++
	e.version = s.version
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]entry)
	}
	s.kinds[kind][name] = e
	return s.version
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if _, err := s.startCall(ctx, Call{platform.OpGet, kind, name}); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.readStateLocked().get(kind, name)
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.object(kind, name, e), nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, kind platform.Kind) ([]platform.Object, platform.Version, error) {
	if _, err := s.startCall(ctx, Call{platform.OpList, kind, ""}); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.readStateLocked()
	objects := []platform.Object{}
	for name, e := range seen.kinds[kind] {
		if !e.deleted {
			objects = append(objects, s.object(kind, name, e))
		}
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects, s.versionLocked(seen.version), nil
}

// Create implements platform.Store.
func (s *Store) Create(ctx context.Context, kind platform.Kind, name string, value []byte) (platform.Version, error) {
	return s.write(ctx, Call{platform.OpCreate, kind, name}, func() (platform.Version, error) {
		if _, ok := s.live.get(kind, name); ok {
			return 0, platform.ErrConflict
		}
		return s.versionLocked(s.live.put(kind, name, entry{value: slices.Clone(value)})), nil
	}, value)
}

// Update implements platform.Store.
func (s *Store) Update(ctx context.Context, kind platform.Kind, name string, value []byte, ifVersion platform.Version) (platform.Version, error) {
	return s.write(ctx, Call{platform.OpUpdate, kind, name}, func() (platform.Version, error) {
		if !s.hasVersionLocked(kind, name, ifVersion) {
			return 0, platform.ErrConflict
		}
		return s.versionLocked(s.live.put(kind, name, entry{value: slices.Clone(value)})), nil
	}, value)
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, kind platform.Kind, name string, ifVersion platform.Version) error {
	_, err := s.write(ctx, Call{platform.OpDelete, kind, name}, func() (platform.Version, error) {
		if !s.hasVersionLocked(kind, name, ifVersion) {
			return 0, platform.ErrConflict
		}
		return s.versionLocked(s.live.put(kind, name, entry{deleted: true})), nil
	}, nil)
	return err
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, kind platform.Kind, since platform.Version) ([]platform.Event, platform.Version, error) {
	if _, err := s.startCall(ctx, Call{platform.OpWatch, kind, ""}); err != nil {
		return nil, since, err
	}
	timer := time.NewTimer(s.WatchTimeout)
	defer timer.Stop()
	for {
		events, version, changed, err := s.poll(kind, since)
		if err != nil || len(events) > 0 {
			return events, version, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return []platform.Event{}, version, nil
		case <-ctx.Done():
			return nil, since, unavailable(ctx.Err())
		}
	}
}

// poll returns the events after since, and a channel that is closed when the watch has to
// check the state again. The returned version is at least since.
func (s *Store) poll(kind platform.Kind, since platform.Version) ([]platform.Event, platform.Version, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return nil, since, nil, platform.ErrUnavailable
	}
	revision := platform.Version(since.Revision())
	if since != 0 && since.Era() != s.era || revision < s.compacted || revision > s.live.version {
		return nil, since, nil, platform.ErrCompacted
	}
	seen := s.readStateLocked()
	var events []platform.Event
	for name, e := range seen.kinds[kind] {
		if e.version > revision {
			events = append(events, platform.Event{Object: s.object(kind, name, e), Deleted: e.deleted})
		}
	}
	slices.SortFunc(events, func(a, b platform.Event) int { return cmp.Compare(a.Object.Version, b.Object.Version) })
	return events, max(since, s.versionLocked(seen.version)), s.changed, nil
}

// write executes a write with the fault selected by the hook.
func (s *Store) write(ctx context.Context, c Call, apply func() (platform.Version, error), value []byte) (platform.Version, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	fault, err := s.startCall(ctx, c)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault {
	case FaultLostRequest:
		return 0, platform.ErrUnknownOutcome
	case FaultDelayedEffect:
		s.delayed = append(s.delayed, func() { s.applyLocked(apply) })
		return 0, platform.ErrUnknownOutcome
	}
	version, err := s.applyLocked(apply)
	if fault == FaultLostResponse {
		return 0, platform.ErrUnknownOutcome
	}
	return version, err
}

func (s *Store) applyLocked(apply func() (platform.Version, error)) (platform.Version, error) {
	version, err := apply()
	if err == nil {
		s.notifyLocked()
	}
	return version, err
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// readStateLocked returns the state that reads and watches see.
func (s *Store) readStateLocked() *state {
	if s.frozen != nil {
		return s.frozen
	}
	return &s.live
}

func (s *Store) object(kind platform.Kind, name string, e entry) platform.Object {
	return platform.Object{Kind: kind, Name: name, Version: s.versionLocked(e.version), Value: slices.Clone(e.value)}
}

// versionLocked returns the version of a revision in the present era.
func (s *Store) versionLocked(revision platform.Version) platform.Version {
	return platform.NewVersion(s.era, uint64(revision))
}

// hasVersionLocked reports whether an object exists and has a version.
func (s *Store) hasVersionLocked(kind platform.Kind, name string, v platform.Version) bool {
	e, ok := s.live.get(kind, name)
	return ok && s.versionLocked(e.version) == v
}

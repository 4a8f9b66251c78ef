package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"masticturn/internal/digest"
	"masticturn/internal/membership"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// What is in quarantine stands in the store as well, for VMs that hear from no other
// one, and for fleets that start again whole. An operator lifts it by deleting the
// object there.
const (
	// keepers is how many VMs write a request to the store, keeperPause apart, until
	// one of them has.
	keepers     = 3
	keeperPause = 2 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// loadPause is the pause between lists of the store, while some VMs can't be heard
	// from and may have put requests there.
	loadPause = 2 * time.Second
	// checkPause is the least time between looks whether a request that comes again
	// and again was lifted, checkShare for how many VMs it holds: more share the looks.
	checkPause = 10 * time.Second
	checkShare = 4
	// releaseMost bounds the requests that are to be taken out of the store.
	releaseMost = 256
)

// Stored is the value of an object of platform.KindQuarantine, whose name is the
// digest.
type Stored struct {
	Head      string    `json:"head,omitempty"` // of requests whose body was streamed
	Crashes   int       `json:"crashes"`
	Since     time.Time `json:"since"`
	WrittenBy string    `json:"written_by"`
}

// keeper is what a VM knows of the store. It is not safe for concurrent use.
type keeper struct {
	loaded   bool      // all that the store has is known here
	loadNext time.Time // when it may be listed again
	retry    map[digest.Digest]time.Time
	checks   map[digest.Digest]time.Time // when it was looked last whether it is there
	wanted   map[digest.Digest]bool      // requests that came again since
	releases []digest.Digest             // to be taken out
}

func newKeeper() keeper {
	return keeper{
		retry:  make(map[digest.Digest]time.Time),
		checks: make(map[digest.Digest]time.Time),
		wanted: make(map[digest.Digest]bool),
	}
}

// release notes that a request is to be taken out of the store.
func (k *keeper) release(d digest.Digest) {
	if len(k.releases) < releaseMost && !slices.Contains(k.releases, d) {
		k.releases = append(k.releases, d)
	}
}

// asked notes that a request in quarantine has come again.
func (k *keeper) asked(d digest.Digest, now time.Time) {
	if _, ok := k.checks[d]; !ok {
		k.checks[d] = now
	}
	k.wanted[d] = true
}

// sweep forgets requests that are not on record any more.
func (k *keeper) sweep(l *Ledger) {
	for _, times := range []map[digest.Digest]time.Time{k.retry, k.checks} {
		for d := range times {
			if !l.Has(d) {
				delete(times, d)
				delete(k.wanted, d)
			}
		}
	}
}

// load lists the store where nobody tells this VM what is there: when the whole
// fleet starts again, and while some VMs can't be heard from.
func (s *Service) load(ctx context.Context) {
	if !s.mayLoad() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, _, err := s.deps.Store.List(ctx, platform.KindQuarantine)
	if err != nil {
		s.deps.Logger.Log(eventStoreFailed, telemetry.Step("list"), telemetry.Err(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.loaded = true
	for i := range list {
		s.take(&list[i])
	}
}

// mayLoad reports whether this VM is to list the store now: the first one of those
// that it can hear from does.
func (s *Service) mayLoad() bool {
	if s.deps.Store == nil || !s.deps.Joined() {
		return false
	}
	apart := s.deps.Members.View().Count(membership.Suspect) > 0
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	if s.keeper.loaded && !apart || now.Before(s.keeper.loadNext) || s.order("quarantine")[0] != s.deps.Self {
		return false
	}
	s.keeper.loadNext = now.Add(loadPause)
	return true
}

// take takes in an object of the store; s.mu is held.
func (s *Service) take(o *platform.Object) {
	d, err := digest.Parse(o.Name)
	var value Stored
	if err == nil {
		err = json.Unmarshal(o.Value, &value)
	}
	if err != nil {
		s.deps.Logger.Log(eventObjectBad, telemetry.Value("name", o.Name), telemetry.Err(err))
		return
	}
	head, _ := digest.Parse(value.Head) // none where the body was not streamed
	s.change(d, "", "kept in the store", func(now time.Time) bool { return s.ledger.Hold(d, head, now) })
}

// keep brings the store up to date.
func (s *Service) keep(ctx context.Context) {
	if s.deps.Store == nil {
		return
	}
	for _, d := range s.toWrite() {
		s.write(ctx, d)
	}
	for _, d := range s.toRelease() {
		s.remove(ctx, d)
	}
	for _, d := range s.toCheck() {
		s.check(ctx, d)
	}
}

// toWrite returns the requests that this VM is to put into the store now.
func (s *Service) toWrite() []digest.Digest {
	s.mu.Lock()
	unstored := s.ledger.Unstored()
	s.mu.Unlock()
	var out []digest.Digest
	for d, since := range unstored {
		rank := slices.Index(s.order(d.String()), s.deps.Self)
		now := s.deps.Clock.Now()
		if rank >= keepers || now.Sub(since) < time.Duration(rank)*keeperPause {
			continue
		}
		s.mu.Lock()
		if due := !now.Before(s.keeper.retry[d]); due {
			s.keeper.retry[d] = now.Add(keepers * keeperPause)
			out = append(out, d)
		}
		s.mu.Unlock()
	}
	return out
}

func (s *Service) write(ctx context.Context, d digest.Digest) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.deps.Store.Create(ctx, platform.KindQuarantine, d.String(), s.valueOf(d))
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		s.deps.Logger.Log(eventStoreFailed, telemetry.Step("create"), telemetry.Value("digest", d.String()), telemetry.Err(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(d, "", "stored", func(time.Time) bool { return s.ledger.SetStored(d) })
}

func (s *Service) valueOf(d digest.Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	j := s.ledger.Judge(d, now)
	value := Stored{Crashes: j.Crashes, Since: now.UTC(), WrittenBy: s.deps.Self}
	if head := s.ledger.Head(d); head != (digest.Digest{}) {
		value.Head = head.String()
	}
	raw, _ := json.Marshal(value) // plain fields
	return raw
}

// toRelease returns the requests that are to be taken out of the store.
func (s *Service) toRelease() []digest.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.keeper.releases
	s.keeper.releases = nil
	return out
}

func (s *Service) remove(ctx context.Context, d digest.Digest) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := s.deps.Store.Get(ctx, platform.KindQuarantine, d.String())
	if err == nil {
		err = s.deps.Store.Delete(ctx, platform.KindQuarantine, d.String(), o.Version)
	}
	if err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) {
		return
	}
	s.deps.Logger.Log(eventStoreFailed, telemetry.Step("delete"), telemetry.Value("digest", d.String()), telemetry.Err(err))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.release(d)
}

// toCheck returns the requests of which this VM is to look whether they are in the
// store still: those that come again and again.
func (s *Service) toCheck() []digest.Digest {
	alive := s.deps.Members.View().Count(membership.Alive)
	every := checkPause * time.Duration(max(alive, checkShare)) / checkShare
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	var out []digest.Digest
	for d := range s.keeper.wanted {
		if now.Sub(s.keeper.checks[d]) < every {
			continue
		}
		delete(s.keeper.wanted, d)
		s.keeper.checks[d] = now
		if s.ledger.Judge(d, now).Stored {
			out = append(out, d)
		}
	}
	return out
}

// check lifts a request that is not in the store any more.
func (s *Service) check(ctx context.Context, d digest.Digest) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.deps.Store.Get(ctx, platform.KindQuarantine, d.String())
	if !errors.Is(err, platform.ErrNotFound) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(d, "", "lifted", func(now time.Time) bool { return s.ledger.Acquit(d, now) })
}

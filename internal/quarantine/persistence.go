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

// Held requests are persisted in the store, for fleets that restart as a whole and for
// VMs without a path to others. Operators lift one by deleting its object.
const (
	// writers is how many VMs try to persist a record, writerDelay apart.
	writers     = 3
	writerDelay = 2 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// loadInterval is the time between lists of the store while members are suspect.
	loadInterval = 2 * time.Second
	// checkInterval is the time between looks for a deleted object in a fleet of
	// checkShare VMs; in larger ones each VM looks less often.
	checkInterval = 10 * time.Second
	checkShare    = 4
	// maxDeletes bounds the queue of objects to delete.
	maxDeletes = 256
)

// Stored is the value of an object of platform.KindQuarantine, whose name is the
// digest.
type Stored struct {
	Head      string    `json:"head,omitempty"` // of requests with a body
	Crashes   int       `json:"crashes"`
	Since     time.Time `json:"since"`
	WrittenBy string    `json:"written_by"`
}

// persistence tracks the store's content. It is not safe for concurrent use.
type persistence struct {
	loaded   bool      // the store's content is known
	loadNext time.Time // earliest time of the next list
	retry    map[digest.Digest]time.Time
	checks   map[digest.Digest]time.Time // last look for the object
	touched  map[digest.Digest]bool      // arrived since the last look
	deletes  []digest.Digest             // objects to delete
}

func newPersistence() persistence {
	return persistence{
		retry:   make(map[digest.Digest]time.Time),
		checks:  make(map[digest.Digest]time.Time),
		touched: make(map[digest.Digest]bool),
	}
}

// scheduleDelete queues the deletion of a request's object.
func (k *persistence) scheduleDelete(d digest.Digest) {
	if len(k.deletes) < maxDeletes && !slices.Contains(k.deletes, d) {
		k.deletes = append(k.deletes, d)
	}
}

// touch records the arrival of a held request.
func (k *persistence) touch(d digest.Digest, now time.Time) {
	if _, ok := k.checks[d]; !ok {
		k.checks[d] = now
	}
	k.touched[d] = true
}

// sweep drops requests that are not on record any more.
func (k *persistence) sweep(l *Ledger) {
	for _, times := range []map[digest.Digest]time.Time{k.retry, k.checks} {
		for d := range times {
			if !l.Has(d) {
				delete(times, d)
				delete(k.touched, d)
			}
		}
	}
}

// load lists the store after a restart of the whole fleet, and while members are
// suspect, since a partition may hide new objects.
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
	s.persisted.loaded = true
	for i := range list {
		s.importObject(&list[i])
	}
}

// mayLoad reports whether a list is due and this VM ranks first among the reachable.
func (s *Service) mayLoad() bool {
	if s.deps.Store == nil || !s.deps.Joined() {
		return false
	}
	apart := s.deps.Members.View().Count(membership.Suspect) > 0
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	if s.persisted.loaded && !apart || now.Before(s.persisted.loadNext) || s.order("quarantine")[0] != s.deps.Self {
		return false
	}
	s.persisted.loadNext = now.Add(loadInterval)
	return true
}

// importObject merges an object of the store; s.mu is held.
func (s *Service) importObject(o *platform.Object) {
	d, err := digest.Parse(o.Name)
	var value Stored
	if err == nil {
		err = json.Unmarshal(o.Value, &value)
	}
	if err != nil {
		s.deps.Logger.Log(eventObjectBad, telemetry.Value("name", o.Name), telemetry.Err(err))
		return
	}
	head, _ := digest.Parse(value.Head) // absent for requests without a body
	s.change(d, "", "kept in the store", func(now time.Time) bool { return s.ledger.Hold(d, head, now) })
}

// persist brings the store up to date.
func (s *Service) persist(ctx context.Context) {
	if s.deps.Store == nil {
		return
	}
	for _, d := range s.dueWrites() {
		s.write(ctx, d)
	}
	for _, d := range s.dueDeletes() {
		s.remove(ctx, d)
	}
	for _, d := range s.dueChecks() {
		s.check(ctx, d)
	}
}

// dueWrites returns the requests that this VM is to persist now.
func (s *Service) dueWrites() []digest.Digest {
	s.mu.Lock()
	unstored := s.ledger.Unstored()
	s.mu.Unlock()
	var out []digest.Digest
	for d, since := range unstored {
		rank := slices.Index(s.order(d.String()), s.deps.Self)
		now := s.deps.Clock.Now()
		if rank >= writers || now.Sub(since) < time.Duration(rank)*writerDelay {
			continue
		}
		s.mu.Lock()
		if due := !now.Before(s.persisted.retry[d]); due {
			s.persisted.retry[d] = now.Add(writers * writerDelay)
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

// dueDeletes dequeues the objects to delete.
func (s *Service) dueDeletes() []digest.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.persisted.deletes
	s.persisted.deletes = nil
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
	s.persisted.scheduleDelete(d)
}

// dueChecks returns the held requests whose objects this VM is to look for now.
func (s *Service) dueChecks() []digest.Digest {
	alive := s.deps.Members.View().Count(membership.Alive)
	every := checkInterval * time.Duration(max(alive, checkShare)) / checkShare
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	var out []digest.Digest
	for d := range s.persisted.touched {
		if now.Sub(s.persisted.checks[d]) < every {
			continue
		}
		delete(s.persisted.touched, d)
		s.persisted.checks[d] = now
		if s.ledger.Judge(d, now).Stored {
			out = append(out, d)
		}
	}
	return out
}

// check lifts a request whose object was deleted.
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

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

// Requests in quarantine are persisted in the store, so that they survive a restart of
// the whole fleet and reach VMs that are partitioned from all others. Operators lift a
// quarantine by deleting its object.
const (
	// maxWriters is the number of VMs that try to persist a record, one after the other,
	// writerDelay apart.
	maxWriters  = 3
	writerDelay = 2 * time.Second
	// storeTimeout is the timeout of a call to the store.
	storeTimeout = 2 * time.Second
	// loadInterval is the interval between lists of the store while it is not loaded or
	// members are suspect.
	loadInterval = 2 * time.Second
	// checkInterval is the interval at which a VM checks whether an object was deleted, in
	// a fleet of up to checkersPerInterval VMs. In larger fleets the interval grows with
	// the number of VMs, which keeps the load on the store constant.
	checkInterval       = 10 * time.Second
	checkersPerInterval = 4
	// copyGrace is how long after the store came back from a copy a missing object is not taken for deleted
	// by an operator. The object is written again meanwhile.
	copyGrace = 2 * checkInterval
	// maxDeletes is the maximum length of the queue of objects to delete.
	maxDeletes = 256
)

// StoredRecord is the value of an object of platform.KindQuarantine. The name of the object is
// the digest of the request.
type StoredRecord struct {
	Head      string    `json:"head,omitempty"` // digest of the head, for requests with a body
	Crashes   int       `json:"crashes"`
	Since     time.Time `json:"since"`
	WrittenBy string    `json:"written_by"`
}

// persistence tracks what is in the store. It is not safe for concurrent use.
type persistence struct {
	loaded         bool      // the content of the store is known
	nextLoad       time.Time // earliest time of the next load
	nextWrite      map[digest.Digest]time.Time
	lastCheck      map[digest.Digest]time.Time // last check for the object
	arrived        map[digest.Digest]bool      // arrived since the last check
	pendingDeletes []digest.Digest             // objects to delete
	era            uint64                      // latest era of the store; 0: not known
	copiedAt       time.Time                   // when it was found that the store came back from a copy
}

func newPersistence() persistence {
	return persistence{
		nextWrite: make(map[digest.Digest]time.Time),
		lastCheck: make(map[digest.Digest]time.Time),
		arrived:   make(map[digest.Digest]bool),
	}
}

// scheduleDelete queues the deletion of a request's object.
func (p *persistence) scheduleDelete(d digest.Digest) {
	if len(p.pendingDeletes) < maxDeletes && !slices.Contains(p.pendingDeletes, d) {
		p.pendingDeletes = append(p.pendingDeletes, d)
	}
}

// touch records the arrival of a quarantined request.
func (p *persistence) touch(d digest.Digest, now time.Time) {
	if _, ok := p.lastCheck[d]; !ok {
		p.lastCheck[d] = now
	}
	p.arrived[d] = true
}

// sweep drops requests without a record.
func (p *persistence) sweep(l *Ledger) {
	for _, times := range []map[digest.Digest]time.Time{p.nextWrite, p.lastCheck} {
		for d := range times {
			if !l.Has(d) {
				delete(times, d)
				delete(p.arrived, d)
			}
		}
	}
}

// load merges the objects in the store after a restart of the whole fleet, and while
// members are suspect, since replication cannot cross a partition.
func (s *Service) load(ctx context.Context) {
	if !s.listDue() {
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
	s.persistence.loaded = true
	for i := range list {
		s.importObject(&list[i])
	}
}

// listDue reports whether a load is due and this VM ranks first among the reachable VMs. If
// so, it schedules the next load.
func (s *Service) listDue() bool {
	if s.deps.Store == nil || !s.deps.Joined() {
		return false
	}
	partitioned := s.deps.Members.View().Count(membership.Suspect) > 0
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	if s.persistence.loaded && !partitioned || now.Before(s.persistence.nextLoad) || s.rankVMs("quarantine")[0] != s.deps.Self {
		return false
	}
	s.persistence.nextLoad = now.Add(loadInterval)
	return true
}

// importObject merges an object from the store; s.mu is held.
func (s *Service) importObject(o *platform.Object) {
	d, err := digest.Parse(o.Name)
	var value StoredRecord
	if err == nil {
		err = json.Unmarshal(o.Value, &value)
	}
	if err != nil {
		s.deps.Logger.Log(eventObjectBad, telemetry.Value("name", o.Name), telemetry.Err(err))
		return
	}
	head, _ := digest.Parse(value.Head) // absent for requests without a body
	s.applyChange(d, "", "kept in the store", func(now time.Time) bool { return s.ledger.Restore(d, head, now) })
}

// persist writes, deletes and checks the objects that are due.
func (s *Service) persist(ctx context.Context) {
	if s.deps.Store == nil {
		return
	}
	s.handleEra()
	for _, d := range s.dueWrites() {
		s.createObject(ctx, d)
	}
	for _, d := range s.dueDeletes() {
		s.deleteObject(ctx, d)
	}
	for _, d := range s.dueChecks() {
		s.checkObject(ctx, d)
	}
}

// handleEra schedules the objects that this VM is to persist for writing once the store has come back from a copy,
// which may lack them. It reports whether that was found less than copyGrace ago.
func (s *Service) handleEra() (recent bool) {
	era := s.deps.Store.Era()
	s.mu.Lock()
	defer s.mu.Unlock()
	p, now := &s.persistence, s.deps.Clock.Now()
	if era > p.era && p.era != 0 {
		p.copiedAt = now
		for _, d := range s.ledger.StoredRequests() {
			if rank := slices.Index(s.rankVMs(d.String()), s.deps.Self); rank >= 0 && rank < maxWriters {
				s.ledger.SetLost(d)
				p.nextWrite[d] = now.Add(time.Duration(rank) * writerDelay)
			}
		}
	}
	p.era = max(p.era, era)
	return !p.copiedAt.IsZero() && now.Sub(p.copiedAt) < copyGrace
}

// dueWrites returns the requests that this VM must persist now.
func (s *Service) dueWrites() []digest.Digest {
	s.mu.Lock()
	unstored := s.ledger.Unstored()
	s.mu.Unlock()
	var out []digest.Digest
	for d, since := range unstored {
		rank := slices.Index(s.rankVMs(d.String()), s.deps.Self)
		now := s.deps.Clock.Now()
		if rank >= maxWriters || now.Sub(since) < time.Duration(rank)*writerDelay {
			continue
		}
		s.mu.Lock()
		if due := !now.Before(s.persistence.nextWrite[d]); due {
			s.persistence.nextWrite[d] = now.Add(maxWriters * writerDelay)
			out = append(out, d)
		}
		s.mu.Unlock()
	}
	return out
}

func (s *Service) createObject(ctx context.Context, d digest.Digest) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.deps.Store.Create(ctx, platform.KindQuarantine, d.String(), s.encodeRecord(d))
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		s.deps.Logger.Log(eventStoreFailed, telemetry.Step("create"), telemetry.Value("digest", d.String()), telemetry.Err(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyChange(d, "", "stored", func(time.Time) bool { return s.ledger.SetStored(d) })
}

func (s *Service) encodeRecord(d digest.Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	a := s.ledger.Assess(d, now)
	value := StoredRecord{Crashes: a.Crashes, Since: now.UTC(), WrittenBy: s.deps.Self}
	if head := s.ledger.Head(d); head != (digest.Digest{}) {
		value.Head = head.String()
	}
	raw, _ := json.Marshal(value) // cannot fail: no field can fail to marshal
	return raw
}

// dueDeletes empties the queue of objects to delete.
func (s *Service) dueDeletes() []digest.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.persistence.pendingDeletes
	s.persistence.pendingDeletes = nil
	return out
}

func (s *Service) deleteObject(ctx context.Context, d digest.Digest) {
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
	s.persistence.scheduleDelete(d)
}

// dueChecks returns the quarantined requests whose objects this VM must check now.
func (s *Service) dueChecks() []digest.Digest {
	alive := s.deps.Members.View().Count(membership.Alive)
	interval := checkInterval * time.Duration(max(alive, checkersPerInterval)) / checkersPerInterval
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	var out []digest.Digest
	for d := range s.persistence.arrived {
		if now.Sub(s.persistence.lastCheck[d]) < interval {
			continue
		}
		delete(s.persistence.arrived, d)
		s.persistence.lastCheck[d] = now
		if s.ledger.Assess(d, now).Stored {
			out = append(out, d)
		}
	}
	return out
}

// checkObject lifts the quarantine of a request if its object was deleted.
func (s *Service) checkObject(ctx context.Context, d digest.Digest) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := s.deps.Store.Get(ctx, platform.KindQuarantine, d.String())
	if copied := s.handleEra(); !errors.Is(err, platform.ErrNotFound) || copied {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyChange(d, "", "lifted", func(now time.Time) bool { return s.ledger.Clear(d, now) })
}

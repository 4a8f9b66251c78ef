package discovery

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"masticturn/internal/peer"
	"masticturn/internal/platform"
)

// answerPoll answers a peer's poll: at once if there are changes, else after the next contact with
// the store or a timeout.
func (s *Service) answerPoll(ctx context.Context, _ string, payload []byte) (any, error) {
	var r pollRequest
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	received := s.deps.Boot.SinceBoot()
	if s.mirrors[r.Kind] == nil {
		return nil, trace.NotFound("kind %s is not mirrored", r.Kind)
	}
	if contact, timeout := s.pollWait(&r); timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-contact: // there may still be no changes
		case <-timer.C:
		case <-s.stopped:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buildAnswer(s.mirrors[r.Kind], &r, received)
}

// pollWait returns the channel that is closed on the next contact with the store, and how long a
// poll waits for it at most. A timeout of 0 means to answer at once.
func (s *Service) pollWait(r *pollRequest) (contact <-chan struct{}, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asOf := s.mirrors[r.Kind].AsOf(); r.Now || asOf > r.Since {
		return nil, 0
	}
	if s.lastContact[r.Kind].IsZero() { // this VM is starting
		if !s.deps.FirstStart {
			return nil, 0
		}
		return s.contactSignal[r.Kind], s.staleAfter(r.Kind)
	}
	age := s.deps.Clock.Now().Sub(s.lastContact[r.Kind])
	return s.contactSignal[r.Kind], max(s.staleAfter(r.Kind)-age+time.Millisecond, stalePollHold)
}

// buildAnswer returns the answer to a poll that was received at the given time on the boot clock.
// s.mu is held.
func (s *Service) buildAnswer(m *Mirror, r *pollRequest, received time.Duration) (*pollAnswer, error) {
	a := &pollAnswer{AsOf: m.AsOf(), Age: s.deps.Clock.Now().Sub(s.lastContact[r.Kind]), Path: s.paths[r.Kind]}
	a.Confirmed, a.ConfirmedAt = s.confirmed[r.Kind].sinceReceipt(received)
	if !r.Eras && a.AsOf.Era() > 0 {
		return &pollAnswer{}, nil // an earlier build would mistake the version for a revision
	}
	changed, removed, ok := m.ChangesSince(r.Since)
	if ok {
		var err error
		a.Removed, a.Withheld = removed, m.Withheld(r.Since)
		if r.Deltas {
			a.Deltas, changed = s.deltasSince(r.Kind, r.Since, changed)
		}
		a.Changed, a.Packed, err = s.packChanges(r.Kind, changed)
		s.answerBytes(r.Kind, "changes").Add(a.contentBytes())
		return a, err
	}
	a.Complete, a.Withheld = true, m.Withheld(0)
	list, err := s.packedObjects(r.Kind, m)
	if err != nil {
		return nil, err
	}
	a.Packed = list.bytes
	s.answerBytes(r.Kind, "list").Add(len(list.bytes))
	if list.asOf != a.AsOf {
		// The peer fetches the changes since then with its next poll, and is not up to date before.
		a.AsOf, a.Confirmed = list.asOf, false
	}
	return a, nil
}

// answerBytes returns the counter of the content sent in answers of a form.
func (s *Service) answerBytes(kind platform.Kind, form string) *metrics.Counter {
	return s.deps.Metrics.GetOrCreateCounter(fmt.Sprintf("masticturn_mirror_answer_bytes_total{kind=%q,form=%q}", string(kind), form))
}

// Changed objects are compressed if there are many or if their content is large.
const (
	minPackedChanges = 16
	minPackedBytes   = 4 << 10
)

// packedChanges are compressed changes of one kind.
type packedChanges struct {
	digest uint64 // of the objects' names and versions
	bytes  []byte
}

// packChanges compresses the changed objects if that is worth it. The result is cached, as all peers that poll this
// VM mostly request the same changes. s.mu is held.
func (s *Service) packChanges(kind platform.Kind, changed []platform.Object) (plain []platform.Object, packed []byte, err error) {
	size := 0
	for i := range changed {
		size += len(changed[i].Value) + len(changed[i].Status)
	}
	if len(changed) < minPackedChanges && size < minPackedBytes {
		return changed, nil, nil
	}
	digest := digestOfVersions(changed)
	if p := s.packedChanges[kind]; p.bytes != nil && p.digest == digest {
		return nil, p.bytes, nil
	}
	packed, err = packObjects(changed)
	s.packedChanges[kind] = packedChanges{digest, packed}
	return nil, packed, err
}

// digestOfVersions identifies a list of objects, each by its name and version.
func digestOfVersions(objects []platform.Object) uint64 {
	d := xxhash.New()
	var version [8]byte
	for i := range objects {
		_, _ = d.WriteString(objects[i].Name)
		binary.BigEndian.PutUint64(version[:], uint64(objects[i].Version))
		_, _ = d.Write(version[:])
	}
	return d.Sum64()
}

// packedList is a compressed complete list as of a version.
type packedList struct {
	asOf     platform.Version
	packedAt time.Time
	bytes    []byte
}

// repackInterval is the minimum interval between packings of a list of more than largeList objects that
// changes. Shorter lists are always packed as they are now.
const (
	repackInterval = time.Second
	largeList      = 500
)

// packedObjects returns a compressed list of a kind. The list is cached because many VMs fetch it when
// a fleet starts. It may be older than the mirror if the mirror knows all changes since. s.mu is held.
func (s *Service) packedObjects(kind platform.Kind, m *Mirror) (packedList, error) {
	now := s.deps.Clock.Now()
	p := s.packed[kind]
	if p.bytes != nil && (p.asOf == m.AsOf() || m.Len() > largeList && now.Sub(p.packedAt) < repackInterval && m.KnowsChangesSince(p.asOf)) {
		return p, nil
	}
	raw, err := packObjects(m.Objects())
	if err != nil {
		return packedList{}, err
	}
	p = packedList{m.AsOf(), now, raw}
	s.packed[kind] = p
	return p, nil
}

package discovery

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/peer"
	"masticturn/internal/platform"
)

// answerPoll answers a peer's poll: at once if there are changes, else on the next contact with
// the store.
func (s *Service) answerPoll(ctx context.Context, _ string, payload []byte) (any, error) {
	var r pollRequest
	if err := peer.Decode(payload, &r); err != nil {
		return nil, err
	}
	received := s.deps.Boot.SinceBoot()
	if s.mirrors[r.Kind] == nil {
		return nil, trace.NotFound("kind %s is not mirrored", r.Kind)
	}
	if news, patience := s.pollWait(&r); patience > 0 {
		timer := time.NewTimer(patience)
		defer timer.Stop()
		select {
		case <-news: // possibly without changes
		case <-timer.C:
		case <-s.stopped:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answer(s.mirrors[r.Kind], &r, received)
}

// pollWait returns what a poll without changes waits for, and how long at most; 0: answer now.
func (s *Service) pollWait(r *pollRequest) (news <-chan struct{}, patience time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if asOf := s.mirrors[r.Kind].AsOf(); r.Now || asOf > r.Since {
		return nil, 0
	}
	if s.lastContact[r.Kind].IsZero() { // this VM is starting
		if !s.deps.FirstStart {
			return nil, 0
		}
		return s.news[r.Kind], s.staleAfter(r.Kind)
	}
	age := s.deps.Clock.Now().Sub(s.lastContact[r.Kind])
	return s.news[r.Kind], max(s.staleAfter(r.Kind)-age+time.Millisecond, staleHold)
}

// answer returns the changes for a poll that was received at a time on the boot clock; s.mu is held.
func (s *Service) answer(m *Mirror, r *pollRequest, received time.Duration) (*pollAnswer, error) {
	a := &pollAnswer{AsOf: m.AsOf(), Age: s.deps.Clock.Now().Sub(s.lastContact[r.Kind])}
	a.Confirmed, a.ConfirmedAt = s.confirmed[r.Kind].sinceReceipt(received)
	changed, removed, ok := m.Since(r.Since)
	if ok {
		a.Changed, a.Removed = changed, removed
		return a, nil
	}
	a.Listed = true
	var err error
	a.Packed, err = s.pack(r.Kind, m)
	return a, err
}

// packedList is a compressed complete list.
type packedList struct {
	asOf  platform.Version
	bytes []byte
}

// pack returns a kind's compressed list, cached as many VMs fetch it when a fleet starts; s.mu
// is held.
func (s *Service) pack(kind platform.Kind, m *Mirror) ([]byte, error) {
	if p := s.packed[kind]; p.bytes != nil && p.asOf == m.AsOf() {
		return p.bytes, nil
	}
	raw, err := packObjects(m.Objects())
	if err != nil {
		return nil, err
	}
	s.packed[kind] = packedList{m.AsOf(), raw}
	return raw, nil
}

package confsync

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// read reads the head for the core.
func (s *Service) read() {
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	var d *held
	head, version, err := s.repo.Head(ctx)
	if err == nil {
		d, err = s.open(ctx, &head.Current)
	}
	s.report(func(now time.Time) { s.core.onHead(now, d, version, err) })
}

// watch waits for a change of the head for the core.
func (s *Service) watch(since platform.Version) {
	ctx, cancel := context.WithTimeout(s.ctx, watchTimeout)
	defer cancel()
	var d *held
	events, version, err := s.deps.Store.Watch(ctx, platform.KindConfig, since)
	if err == nil {
		d, err = s.newest(ctx, events)
	}
	s.report(func(now time.Time) { s.core.onWatch(now, d, version, err) })
}

// report gives a result to the core unless the service has stopped.
func (s *Service) report(event func(now time.Time)) {
	if s.ctx.Err() == nil {
		s.step(event)
	}
}

// newest returns the document of the last change of the head, nil when there
// is none.
func (s *Service) newest(ctx context.Context, events []platform.Event) (*held, error) {
	for i := len(events) - 1; i >= 0; i-- {
		e := events[i]
		if e.Object.Name != repository.HeadName || e.Deleted {
			continue
		}
		head, err := repository.DecodeHead(e.Object.Value)
		if err != nil {
			return nil, s.unreadable(0, err)
		}
		return s.open(ctx, &head.Current)
	}
	return nil, nil
}

// open loads the document of a record. One that is not newer than what is in
// force is returned without its content, which is not needed then.
func (s *Service) open(ctx context.Context, rec *repository.Record) (*held, error) {
	if s.has(rec.Generation, rec.Hash) {
		return &held{snap: &config.Snapshot{Generation: rec.Generation, Hash: rec.Hash}}, nil
	}
	raw, err := s.repo.Body(ctx, rec)
	if err != nil {
		return nil, err
	}
	d, err := newHeld(rec.Generation, raw)
	if err != nil {
		return nil, s.unreadable(rec.Generation, err)
	}
	return d, nil
}

// has reports whether a document is in force here or superseded.
func (s *Service) has(gen config.Generation, hash uint64) bool {
	cur := s.current.Load()
	if gen == cur.generation() {
		return hash == cur.hash()
	}
	return gen < cur.generation()
}

func (s *Service) unreadable(gen config.Generation, err error) error {
	s.deps.Log.Log(eventUnreadable, telemetry.GenerationOf(uint64(gen)), telemetry.Err(err))
	return err
}

// receive loads a document from a peer; nil when it is a notice or not newer
// than what is in force.
func (s *Service) receive(w *wireDocument) (*held, error) {
	gen := config.Generation(w.Generation)
	if len(w.Body) == 0 || s.has(gen, w.Hash) {
		return nil, nil
	}
	raw, err := repository.Open(w.Body, w.Hash)
	if err != nil {
		return nil, s.unreadable(gen, err)
	}
	snap, err := config.Load(gen, raw)
	if err != nil {
		return nil, s.unreadable(gen, err)
	}
	return &held{snap: snap, body: w.Body}, nil
}

// handlePush handles peer.KindConfigPush.
func (s *Service) handlePush(_ context.Context, from string, payload []byte) (any, error) {
	var m pushMessage
	if err := peer.Decode(payload, &m); err != nil {
		return nil, err
	}
	d, err := s.receive(&m.Document)
	if err != nil {
		return nil, err
	}
	s.report(func(now time.Time) { s.core.onPush(now, from, m, d) })
	return nil, nil
}

// handleFetch handles peer.KindConfigFetch.
func (s *Service) handleFetch(_ context.Context, _ string, payload []byte) (any, error) {
	var m fetchMessage
	if err := peer.Decode(payload, &m); err != nil {
		return nil, err
	}
	cur := s.current.Load()
	if cur == nil {
		return &fetchAnswer{}, nil
	}
	return cur.part(&m), nil
}

// part returns the part asked for, or the first part when another generation
// was meant or the offset is outside.
func (h *held) part(m *fetchMessage) *fetchAnswer {
	offset := m.Offset
	if m.Generation != uint64(h.generation()) || offset < 0 || offset > len(h.body) {
		offset = 0
	}
	a := &fetchAnswer{Document: h.notice(), Offset: offset, Total: len(h.body)}
	a.Document.Body = h.body[offset:min(offset+maxPartBytes, len(h.body))]
	return a
}

// fetch asks a peer for its document for the core.
func (s *Service) fetch(from string) {
	s.counts.fetches.Inc()
	var d *held
	w, err := s.fetchParts(from)
	if err == nil && w.Generation > 0 {
		d, err = s.receive(w)
		if d == nil && err == nil {
			d = &held{snap: &config.Snapshot{Generation: config.Generation(w.Generation), Hash: w.Hash}}
		}
	}
	s.report(func(now time.Time) { s.core.onFetched(now, d, err) })
}

// fetchParts collects the parts of a peer's document. It starts over when the
// peer changes to another generation on the way.
func (s *Service) fetchParts(from string) (*wireDocument, error) {
	w := &wireDocument{}
	for {
		a, err := s.fetchPart(from, &fetchMessage{Generation: w.Generation, Offset: len(w.Body)})
		if err != nil {
			return nil, err
		}
		if a.Document.Generation != w.Generation || a.Offset != len(w.Body) {
			w = &wireDocument{Generation: a.Document.Generation, Hash: a.Document.Hash}
		}
		if a.Offset == len(w.Body) {
			w.Body = append(w.Body, a.Document.Body...)
		}
		if len(w.Body) >= a.Total {
			return w, nil
		}
		if len(a.Document.Body) == 0 || a.Total > config.MaxDocumentBytes {
			return nil, trace.BadParameter("%s sent a bad part of generation %d", from, w.Generation)
		}
	}
}

func (s *Service) fetchPart(from string, m *fetchMessage) (*fetchAnswer, error) {
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	a := &fetchAnswer{}
	if err := s.deps.Network.Call(ctx, from, peer.KindConfigFetch, m, a); err != nil {
		return nil, trace.Wrap(err, "fetch document from %s", from)
	}
	return a, nil
}

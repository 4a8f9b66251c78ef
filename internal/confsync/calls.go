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
	packed, err := s.repo.Read(ctx, rec, s.blocksHash())
	if err != nil {
		return nil, err
	}
	return s.load(rec.Generation, packed)
}

// has reports whether a document is in force here or superseded.
func (s *Service) has(gen config.Generation, hash uint64) bool {
	cur := s.current.Load()
	if gen == cur.generation() {
		return hash == cur.hash()
	}
	return gen < cur.generation()
}

// unreadable logs that a document cannot be read, and returns the error. A
// document whose client blocks were those in force a moment ago is only
// incomplete; it is asked for again.
func (s *Service) unreadable(gen config.Generation, err error) error {
	if trace.IsNotFound(err) {
		return err
	}
	s.deps.Log.Log(eventUnreadable, telemetry.GenerationOf(uint64(gen)), telemetry.Err(err))
	return err
}

// blocksHash returns the hash of the client blocks in force, 0 when there are
// none.
func (s *Service) blocksHash() uint64 {
	if cur := s.current.Load(); cur != nil {
		return cur.snap.BlocksHash
	}
	return 0
}

// receive loads a document from a peer; nil when it is not newer than what is
// in force, or when not all of it came.
func (s *Service) receive(w *wireDocument) (*held, error) {
	gen := config.Generation(w.Generation)
	if len(w.Main) == 0 || s.has(gen, w.Hash) || s.lacksBlocks(w) {
		return nil, nil
	}
	return s.load(gen, w.packed())
}

// lacksBlocks reports whether a document's client blocks have neither come
// nor are in force here.
func (s *Service) lacksBlocks(w *wireDocument) bool {
	return w.BlocksHash != 0 && len(w.Blocks) == 0 && w.BlocksHash != s.blocksHash()
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
	return cur.piece(&m), nil
}

// piece returns the piece asked for, or the notice alone when another
// generation was meant or the offset is outside.
func (h *held) piece(m *fetchMessage) *fetchAnswer {
	whole := h.section(m.Section)
	a := &fetchAnswer{Notice: h.notice(), Total: len(whole)}
	if m.wants(a.Notice.Generation) && m.Offset >= 0 && m.Offset < len(whole) {
		a.Piece = whole[m.Offset:min(m.Offset+maxPieceBytes, len(whole))]
	}
	return a
}

// wants reports whether a piece of a generation is to be sent.
func (m *fetchMessage) wants(gen uint64) bool {
	return gen > m.Have && (m.Generation == 0 || m.Generation == gen)
}

// fetch asks a peer for its document for the core.
func (s *Service) fetch(from string) {
	s.counts.fetches.Inc()
	var d *held
	w, err := s.fetchDocument(from)
	if err == nil && w.Generation > 0 {
		d, err = s.receive(w)
		if d == nil && err == nil {
			d = &held{snap: &config.Snapshot{Generation: config.Generation(w.Generation), Hash: w.Hash}}
		}
	}
	s.report(func(now time.Time) { s.core.onFetched(now, d, err) })
}

// fetchDocument collects a peer's document, without client blocks that are in
// force here. It returns a notice alone when there is nothing newer to fetch.
func (s *Service) fetchDocument(from string) (*wireDocument, error) {
	first, err := s.fetchPiece(from, &fetchMessage{Have: uint64(s.current.Load().generation())})
	if err != nil {
		return nil, err
	}
	w := first.Notice
	if w.Generation == 0 || s.has(config.Generation(w.Generation), w.Hash) {
		return &w, nil
	}
	if w.Main, err = s.fetchRest(from, sectionMain, &w, first); err != nil {
		return nil, err
	}
	if s.lacksBlocks(&w) {
		w.Blocks, err = s.fetchRest(from, sectionBlocks, &w, nil)
	}
	return &w, err
}

// fetchRest collects a section, of which the first piece may have come.
func (s *Service) fetchRest(from string, part section, w *wireDocument, first *fetchAnswer) ([]byte, error) {
	var whole []byte
	for a := first; ; {
		if a != nil {
			whole = append(whole, a.Piece...)
			if len(whole) >= a.Total {
				return whole, nil
			}
		}
		var err error
		a, err = s.fetchPiece(from, &fetchMessage{Generation: w.Generation, Section: part, Offset: len(whole)})
		if err != nil {
			return nil, err
		}
		if a.Notice.Hash != w.Hash || len(a.Piece) == 0 || a.Total > config.MaxDocumentBytes {
			return nil, trace.CompareFailed("%s no longer sends generation %d", from, w.Generation)
		}
	}
}

func (s *Service) fetchPiece(from string, m *fetchMessage) (*fetchAnswer, error) {
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	a := &fetchAnswer{}
	if err := s.deps.Network.Call(ctx, from, peer.KindConfigFetch, m, a); err != nil {
		return nil, trace.Wrap(err, "fetch document from %s", from)
	}
	return a, nil
}

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

// readHead reads the head of the document in the store and passes the result to the core.
func (s *Service) readHead() {
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	var d *loadedDocument
	head, version, err := s.repo.Head(ctx)
	if err == nil {
		d, err = s.openRecord(ctx, &head.Current)
	}
	s.deliver(func(now time.Time) { s.core.onHead(now, d, version, err) })
}

// watchHead waits for a change of the head and passes the result to the core.
func (s *Service) watchHead(since platform.Version) {
	ctx, cancel := context.WithTimeout(s.ctx, watchTimeout)
	defer cancel()
	var d *loadedDocument
	events, version, err := s.deps.Store.Watch(ctx, platform.KindConfig, since)
	if err == nil {
		d, err = s.newestDocument(ctx, events)
	}
	s.deliver(func(now time.Time) { s.core.onWatch(now, d, version, err) })
}

// deliver passes the result of a call to the core, unless the service has stopped.
func (s *Service) deliver(event func(now time.Time)) {
	if s.ctx.Err() == nil {
		s.step(event)
	}
}

// newestDocument returns the document of the last change of the head, or nil if no event changes
// it.
func (s *Service) newestDocument(ctx context.Context, events []platform.Event) (*loadedDocument, error) {
	for i := len(events) - 1; i >= 0; i-- {
		e := events[i]
		if e.Object.Name != repository.HeadName || e.Deleted {
			continue
		}
		head, err := repository.DecodeHead(e.Object.Value)
		if err != nil {
			return nil, s.logUnreadable(0, err)
		}
		return s.openRecord(ctx, &head.Current)
	}
	return nil, nil
}

// openRecord loads the document that a record refers to. If it is not newer than the document in
// force, only its generation and hash are returned.
func (s *Service) openRecord(ctx context.Context, rec *repository.Record) (*loadedDocument, error) {
	if s.isNotNewer(rec.Generation, rec.Hash) {
		return &loadedDocument{snap: &config.Snapshot{Generation: rec.Generation, Hash: rec.Hash}}, nil
	}
	packed, err := s.repo.Read(ctx, rec, s.blocksHash())
	if err != nil {
		return nil, err
	}
	return s.load(rec.Generation, packed)
}

// isNotNewer reports whether a document is in force on this daemon or superseded by the one that
// is.
func (s *Service) isNotNewer(gen config.Generation, hash uint64) bool {
	cur := s.current.Load()
	if gen == cur.generation() {
		return hash == cur.hash()
	}
	return gen < cur.generation()
}

// logUnreadable logs that a document cannot be read, and returns the error. Not found is not
// logged: the document refers to client blocks that were in force when the read began and have
// since been replaced. It is incomplete rather than damaged, and is requested again.
func (s *Service) logUnreadable(gen config.Generation, err error) error {
	if trace.IsNotFound(err) {
		return err
	}
	s.deps.Log.Log(eventUnreadable, telemetry.GenerationOf(uint64(gen)), telemetry.Err(err))
	return err
}

// blocksHash returns the hash of the client blocks in force, or 0 if there are none.
func (s *Service) blocksHash() uint64 {
	if cur := s.current.Load(); cur != nil {
		return cur.snap.BlocksHash
	}
	return 0
}

// loadFromPeer decodes and loads a document that a peer sent. It returns nil if the document is not
// newer than the one in force, or if parts of it are missing.
func (s *Service) loadFromPeer(w *wireDocument) (*loadedDocument, error) {
	gen := config.Generation(w.Generation)
	if len(w.Main) == 0 || s.isNotNewer(gen, w.Hash) || s.lacksBlocks(w) {
		return nil, nil
	}
	return s.load(gen, w.packed())
}

// lacksBlocks reports whether a document's client blocks are neither included nor in force on this
// daemon.
func (s *Service) lacksBlocks(w *wireDocument) bool {
	return w.BlocksHash != 0 && len(w.Blocks) == 0 && w.BlocksHash != s.blocksHash()
}

// handlePush handles peer.KindConfigPush.
func (s *Service) handlePush(_ context.Context, from string, payload []byte) (any, error) {
	var m pushMessage
	if err := peer.Decode(payload, &m); err != nil {
		return nil, err
	}
	d, err := s.loadFromPeer(&m.Document)
	if err != nil {
		return nil, err
	}
	s.deliver(func(now time.Time) { s.core.onPush(now, from, m, d) })
	return nil, nil
}

// handleFetch handles peer.KindConfigFetch.
func (s *Service) handleFetch(_ context.Context, _ string, payload []byte) (any, error) {
	var m fetchRequest
	if err := peer.Decode(payload, &m); err != nil {
		return nil, err
	}
	cur := s.current.Load()
	if cur == nil {
		return &fetchResponse{}, nil
	}
	return cur.piece(&m), nil
}

// piece returns the requested piece, or the metadata alone if the generation in force is not the
// requested one or the offset is out of range.
func (d *loadedDocument) piece(m *fetchRequest) *fetchResponse {
	content := d.section(m.Section)
	resp := &fetchResponse{Metadata: d.metadata(), Total: len(content)}
	if m.wantsGeneration(resp.Metadata.Generation) && m.Offset >= 0 && m.Offset < len(content) {
		resp.Piece = content[m.Offset:min(m.Offset+maxPieceBytes, len(content))]
	}
	return resp
}

// wantsGeneration reports whether the request can be answered from a document of this generation.
func (m *fetchRequest) wantsGeneration(gen uint64) bool {
	return gen > m.Have && (m.Generation == 0 || m.Generation == gen)
}

// fetch fetches the document of a peer and passes the result to the core.
func (s *Service) fetch(from string) {
	s.counts.fetches.Inc()
	var d *loadedDocument
	w, err := s.fetchDocument(from)
	if err == nil && w.Generation > 0 {
		d, err = s.loadFromPeer(w)
		if d == nil && err == nil {
			d = &loadedDocument{snap: &config.Snapshot{Generation: config.Generation(w.Generation), Hash: w.Hash}}
		}
	}
	s.deliver(func(now time.Time) { s.core.onFetched(now, d, err) })
}

// fetchDocument downloads a peer's document, except for client blocks that are already in force on
// this daemon. It returns the metadata alone if the peer has nothing newer.
func (s *Service) fetchDocument(from string) (*wireDocument, error) {
	first, err := s.fetchPiece(from, &fetchRequest{Have: uint64(s.current.Load().generation())})
	if err != nil {
		return nil, err
	}
	w := first.Metadata
	if w.Generation == 0 || s.isNotNewer(config.Generation(w.Generation), w.Hash) {
		return &w, nil
	}
	if w.Main, err = s.fetchSection(from, sectionMain, &w, first); err != nil {
		return nil, err
	}
	if s.lacksBlocks(&w) {
		w.Blocks, err = s.fetchSection(from, sectionBlocks, &w, nil)
	}
	return &w, err
}

// fetchSection downloads a section piece by piece. The response with the first piece may be passed
// in.
func (s *Service) fetchSection(from string, part section, w *wireDocument, first *fetchResponse) ([]byte, error) {
	var content []byte
	for resp := first; ; {
		if resp != nil {
			content = append(content, resp.Piece...)
			if len(content) >= resp.Total {
				return content, nil
			}
		}
		var err error
		resp, err = s.fetchPiece(from, &fetchRequest{Generation: w.Generation, Section: part, Offset: len(content)})
		if err != nil {
			return nil, err
		}
		if resp.Metadata.Hash != w.Hash || len(resp.Piece) == 0 || resp.Total > config.MaxDocumentBytes {
			return nil, trace.CompareFailed("%s no longer serves generation %d", from, w.Generation)
		}
	}
}

func (s *Service) fetchPiece(from string, m *fetchRequest) (*fetchResponse, error) {
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	resp := &fetchResponse{}
	if err := s.deps.Network.Call(ctx, from, peer.KindConfigFetch, m, resp); err != nil {
		return nil, trace.Wrap(err, "fetch document from %s", from)
	}
	return resp, nil
}

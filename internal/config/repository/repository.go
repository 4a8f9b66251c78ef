package repository

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
	"masticturn/internal/platform"
)

// minRetryWait and maxRetryWait limit the delay between the store calls of an
// Apply call after a failure. ApplyTimeout limits the duration of Apply if its
// context has no earlier deadline.
const (
	minRetryWait = 20 * time.Millisecond
	maxRetryWait = 500 * time.Millisecond
	ApplyTimeout = 10 * time.Second
)

// Repository reads and stores documents in the platform's object API.
type Repository struct {
	store      platform.Store
	clock      kernel.Clock
	chunkBytes int // maximum size of the value of a chunk
}

// New returns a repository that uses the given store.
func New(store platform.Store, clock kernel.Clock) *Repository {
	return &Repository{store: store, clock: clock, chunkBytes: maxChunkBytes}
}

// Proposal is a document to be applied.
type Proposal struct {
	Document *config.Document
	Base     config.Generation // generation the operator started from; 0 for the first document
	InForce  *config.Snapshot  // snapshot in force at this daemon; nil if there is none
	Author   string
	Comment  string
}

func (p *Proposal) inForce() config.Generation {
	if p.InForce == nil {
		return 0
	}
	return p.InForce.Generation
}

func (p *Proposal) validate() error {
	if len(p.Author) > maxAuthorBytes || len(p.Comment) > maxCommentBytes {
		return &config.InvalidError{Faults: []config.Fault{{
			Path:    "author or comment",
			Value:   fmt.Sprintf("%d and %d bytes", len(p.Author), len(p.Comment)),
			Allowed: fmt.Sprintf("at most %d and %d bytes", maxAuthorBytes, maxCommentBytes),
		}}}
	}
	return config.Validate(p.Document)
}

// pack encodes and compresses the document. It also returns the encoded size.
func (p *Proposal) pack() (*Packed, int, error) {
	encoded, err := config.Split(p.Document)
	if err != nil {
		return nil, 0, err
	}
	packed, err := Pack(encoded)
	if err != nil {
		return nil, 0, err
	}
	if len(packed.Main) > MaxMainBytes {
		return nil, 0, &config.InvalidError{Faults: []config.Fault{{
			Value:   fmt.Sprintf("%d bytes compressed, without client blocks", len(packed.Main)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxMainBytes),
		}}}
	}
	return packed, encoded.Bytes(), nil
}

// Accepted is the result of a successful Apply.
type Accepted struct {
	Record Record
	Packed *Packed
	// Unchanged is set if the document was already in force and nothing was
	// written.
	Unchanged bool
}

// Head reads the head object. It returns ErrNoDocument if there is none, or an
// error of the platform. The read may be stale.
func (r *Repository) Head(ctx context.Context) (*Head, platform.Version, error) {
	o, err := r.store.Get(ctx, platform.KindConfig, HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, ErrNoDocument
	}
	if err != nil {
		return nil, 0, trace.Wrap(err, "read head of the configuration")
	}
	head, err := DecodeHead(o.Value)
	return head, o.Version, err
}

// Generation returns the document of a generation, or a trace.NotFound error if
// it is no longer kept.
func (r *Repository) Generation(ctx context.Context, gen config.Generation) (*Packed, error) {
	head, _, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	rec := head.byGeneration(gen)
	if rec == nil {
		return nil, trace.NotFound("generation %d is not in the history", gen)
	}
	return r.Read(ctx, rec, 0)
}

// Read returns the document of a record. Chunked client blocks are omitted if
// their hash equals knownBlocksHash.
func (r *Repository) Read(ctx context.Context, rec *Record, knownBlocksHash uint64) (*Packed, error) {
	if !rec.Kept() {
		return nil, trace.NotFound("the document of generation %d is no longer kept", rec.Generation)
	}
	p := &Packed{Hash: rec.Hash, BlocksHash: rec.BlocksHash, Main: rec.Main, Blocks: rec.Blocks}
	if knownBlocksHash != rec.BlocksHash {
		chunks, err := r.readChunks(ctx, rec)
		if err != nil {
			return nil, err
		}
		p.Blocks = append(p.Blocks, chunks...)
	}
	return p, nil
}

func (r *Repository) readChunks(ctx context.Context, rec *Record) ([]byte, error) {
	var all []byte
	for _, c := range rec.Chunks {
		o, err := r.store.Get(ctx, platform.KindConfigChunk, c.Name)
		if err != nil {
			return nil, trace.Wrap(err, "read chunk %s of generation %d", c.Name, rec.Generation)
		}
		all = append(all, o.Value...)
	}
	return all, nil
}

// Apply validates a document and stores it with an update that is conditional on
// the generation that the operator started from. It returns a
// *config.InvalidError, *ConflictError, *UnknownOutcomeError or *NotStoredError.
func (r *Repository) Apply(ctx context.Context, p Proposal) (*Accepted, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	packed, size, err := p.pack()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	w := &writer{
		Repository: r,
		proposal:   p,
		packed:     packed,
		size:       size,
		attempt:    attempt{writeID: rand.Text(), hash: packed.Hash, base: p.Base, inForce: p.inForce()},
	}
	w.run(ctx)
	return w.outcome()
}

// writer performs the I/O of one Apply call.
type writer struct {
	*Repository
	attempt
	proposal Proposal
	packed   *Packed
	size     int     // size of the encoded document in bytes
	chunks   []Chunk // chunks written for this document
	obsolete []Chunk // chunks to delete once this document is accepted
}

// run executes steps until a final one is reached. It backs off after steps that
// made no progress.
func (w *writer) run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minRetryWait
	wait.MaxInterval = maxRetryWait
	for !w.step.isFinal() {
		before := w.step
		w.runStep(ctx)
		if !w.needsBackoff(before) {
			continue
		}
		select {
		case <-ctx.Done():
			w.onDeadline()
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// runStep performs the I/O of the current step.
func (w *writer) runStep(ctx context.Context) {
	switch w.step {
	case StepRead:
		w.onRead(w.readHead(ctx))
	case StepChunks:
		w.onChunks(w.writeChunks(ctx))
	case StepWrite:
		w.onWrite(w.writeHead(ctx))
	case StepReread:
		w.onReread(w.readHead(ctx))
	}
}

func (w *writer) readHead(ctx context.Context) (*Head, platform.Version, error) {
	head, version, err := w.Head(ctx)
	if errors.Is(err, ErrNoDocument) {
		return nil, 0, nil
	}
	return head, version, err
}

// writeChunks stores large client blocks separately from the head, unless the
// previous document has the same ones. Chunk names are unique to this write, so
// an existing chunk was created by an earlier try of the same write.
func (w *writer) writeChunks(ctx context.Context) error {
	blocks := w.packed.Blocks
	if len(blocks) <= maxInlineBlocks || w.canReuseChunks() {
		return nil
	}
	for i := len(w.chunks); i*w.chunkBytes < len(blocks); i++ {
		part := blocks[i*w.chunkBytes : min((i+1)*w.chunkBytes, len(blocks))]
		name := fmt.Sprintf("%s-%d", w.writeID, i)
		version, err := w.store.Create(ctx, platform.KindConfigChunk, name, part)
		if errors.Is(err, platform.ErrConflict) {
			version, err = w.versionOf(ctx, name)
		}
		if err != nil {
			return trace.Wrap(err, "write chunk %s", name)
		}
		w.chunks = append(w.chunks, Chunk{Name: name, Version: version})
	}
	return nil
}

// canReuseChunks reports whether the head that the write is based on stores the
// same client blocks in chunks. These chunks are not deleted while that head or
// the new one refers to them, because the write is conditional on that head.
func (w *writer) canReuseChunks() bool {
	return w.head != nil && len(w.head.Current.Chunks) > 0 && w.head.Current.BlocksHash == w.packed.BlocksHash
}

func (w *writer) versionOf(ctx context.Context, chunk string) (platform.Version, error) {
	o, err := w.store.Get(ctx, platform.KindConfigChunk, chunk)
	return o.Version, err
}

// writeHead sends the conditional write.
func (w *writer) writeHead(ctx context.Context) (*Record, error) {
	rec := w.record()
	next, value, err := w.head.successor(rec)
	if err != nil {
		return nil, err
	}
	w.obsolete = unreferencedChunks(w.head, next)
	if w.version == 0 {
		_, err = w.store.Create(ctx, platform.KindConfig, HeadName, value)
	} else {
		_, err = w.store.Update(ctx, platform.KindConfig, HeadName, value, w.version)
	}
	return &rec, err
}

func (w *writer) record() Record {
	rec := Record{
		Generation: w.nextGeneration(),
		WriteID:    w.writeID,
		Hash:       w.packed.Hash,
		BlocksHash: w.packed.BlocksHash,
		Author:     w.proposal.Author,
		Comment:    w.proposal.Comment,
		AcceptedAt: w.clock.Now().UTC(),
		Bytes:      w.size,
		Main:       w.packed.Main,
	}
	switch {
	case len(w.packed.Blocks) <= maxInlineBlocks:
		rec.Blocks = w.packed.Blocks
	case w.canReuseChunks():
		rec.Chunks = w.head.Current.Chunks
	default:
		rec.Chunks = w.chunks
	}
	return rec
}

// outcome converts the final step to the result of Apply and deletes chunks that
// are no longer needed.
func (w *writer) outcome() (*Accepted, error) {
	switch w.step {
	case StepAccepted:
		accepted := &Accepted{Record: *w.result, Packed: w.packed, Unchanged: w.result.WriteID != w.writeID}
		if !accepted.Unchanged {
			w.deleteChunks(w.obsolete)
		}
		w.deleteChunks(unreferencedChunks(&Head{Current: Record{Chunks: w.chunks}}, &Head{Current: *w.result}))
		return accepted, nil
	case StepConflict:
		w.deleteChunks(w.chunks)
		return nil, w.conflictError()
	case StepUnknown:
		return nil, &UnknownOutcomeError{WriteID: w.writeID, Step: w.endedAt, Err: w.lastErr}
	default:
		w.deleteChunks(w.chunks)
		return nil, &NotStoredError{Step: w.endedAt, Err: w.lastErr}
	}
}

// cleanUpTimeout limits the store calls made after the outcome is known.
const cleanUpTimeout = time.Second

// deleteChunks deletes chunks and ignores errors. A chunk that cannot be deleted
// remains in the store, where it only takes up space.
func (w *writer) deleteChunks(chunks []Chunk) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanUpTimeout)
	defer cancel()
	for _, c := range chunks {
		_ = w.store.Delete(ctx, platform.KindConfigChunk, c.Name, c.Version)
	}
}

// conflictError returns a ConflictError with the changes on both sides.
func (w *writer) conflictError() error {
	if generationOf(w.head) < w.inForce {
		return w.conflictErrorInForce()
	}
	e := &ConflictError{Base: w.base, Current: w.head.Current}
	ctx, cancel := context.WithTimeout(context.Background(), cleanUpTimeout)
	defer cancel()
	current := w.loadDocument(ctx, &w.head.Current)
	base := w.loadDocument(ctx, w.head.byGeneration(w.base))
	if base != nil && current != nil {
		e.Theirs = config.Diff(base, current)
	}
	if base == nil {
		base = current
	}
	if base != nil {
		e.Yours = config.Diff(base, w.proposal.Document)
	}
	return e
}

// conflictErrorInForce returns a ConflictError for the document in force at this
// daemon, which is newer than the one read from the store.
func (w *writer) conflictErrorInForce() error {
	snap := w.proposal.InForce
	e := &ConflictError{Base: w.base, Current: Record{Generation: snap.Generation, Hash: snap.Hash}}
	if proposed, err := config.Effective(w.proposal.Document); err == nil {
		e.Yours = config.Diff(snap.Document, proposed)
	}
	return e
}

// loadDocument returns the document of a record, or nil if it is unavailable.
func (w *writer) loadDocument(ctx context.Context, rec *Record) *config.Document {
	if rec == nil {
		return nil
	}
	packed, err := w.Read(ctx, rec, 0)
	if err != nil {
		return nil
	}
	doc, err := packed.Document()
	if err != nil {
		return nil
	}
	return doc
}

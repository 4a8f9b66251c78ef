package config

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Encoded is a document in the form in which it is stored and replicated. The
// client blocks are encoded separately because they are by far the largest part
// of a large document and rarely change. A receiver that already has the same
// blocks need not transfer or decode them.
type Encoded struct {
	Main       []byte // JSON of the document without its client blocks
	Blocks     []byte // JSON of the client blocks; nil if there are none or they are omitted
	BlocksHash uint64 // hash of the client blocks; 0 if there are none
}

// Split encodes a document. The encoding is deterministic.
func Split(doc *Document) (*Encoded, error) {
	main := *doc
	main.ClientBlocks = nil
	e := &Encoded{}
	var err error
	if e.Main, err = json.Marshal(&main); err != nil {
		return nil, trace.Wrap(err, "encode document")
	}
	if len(doc.ClientBlocks) == 0 {
		return e, nil
	}
	if e.Blocks, err = json.Marshal(doc.ClientBlocks); err != nil {
		return nil, trace.Wrap(err, "encode client blocks")
	}
	e.BlocksHash = HashBlocks(e.Blocks)
	return e, nil
}

// HashBlocks returns the hash of encoded client blocks.
func HashBlocks(blocks []byte) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	return xxhash.Sum64(blocks)
}

// Hash returns the hash of the document, including its client blocks.
func (e *Encoded) Hash() uint64 {
	d := xxhash.New()
	_, _ = d.Write(e.Main)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, e.BlocksHash))
	return d.Sum64()
}

// Bytes returns the total size of both parts.
func (e *Encoded) Bytes() int { return len(e.Main) + len(e.Blocks) }

// OmitsBlocks reports whether the document has client blocks that e does not contain.
func (e *Encoded) OmitsBlocks() bool { return e.BlocksHash != 0 && len(e.Blocks) == 0 }

// Document decodes the document. Unknown fields are ignored, so that an older
// build can load a document that a newer build accepted. Omitted
// client blocks are taken from prev, which may be nil if none are omitted.
func (e *Encoded) Document(prev *Snapshot) (*Document, error) {
	if e.Bytes() > MaxDocumentBytes || depthOf(e.Main) > MaxDepth || depthOf(e.Blocks) > MaxDepth {
		return nil, trace.LimitExceeded("stored document exceeds the size or nesting limit")
	}
	doc, err := decode(e.Main)
	if err != nil {
		return nil, err
	}
	switch {
	case e.BlocksHash == 0:
	case prev != nil && prev.BlocksHash == e.BlocksHash:
		doc.ClientBlocks = prev.Document.ClientBlocks
	case len(e.Blocks) == 0:
		return nil, trace.NotFound("client blocks with hash %016x are omitted and not available locally", e.BlocksHash)
	default:
		err = json.Unmarshal(e.Blocks, &doc.ClientBlocks)
	}
	return doc, trace.Wrap(err, "decode client blocks")
}

// Load builds the snapshot of a stored document and fills in defaults. The hash
// is computed from the stored bytes, so that it is the same on all daemons
// regardless of their builds. Client blocks that equal those of prev are shared
// with it; prev may be nil.
func Load(gen Generation, e *Encoded, prev *Snapshot) (*Snapshot, error) {
	doc, err := e.Document(prev)
	if err != nil {
		return nil, trace.Wrap(err, "load generation %d", gen)
	}
	SetDefaults(doc)
	return newSnapshot(gen, e, doc, nil), nil
}

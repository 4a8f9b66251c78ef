package config

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Encoded is a document as it is stored and passed on: the client blocks
// apart from everything else, since they are by far the largest part of a
// large document and change seldom. Who holds the same blocks already needs
// neither transfer nor decode them.
type Encoded struct {
	Main       []byte // JSON of the document without its client blocks
	Blocks     []byte // JSON of the client blocks; nil when there are none or when they are left out
	BlocksHash uint64 // of Blocks; 0 when there are none
}

// Split encodes a document. The same document always gives the same bytes.
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
	e.BlocksHash = HashOfBlocks(e.Blocks)
	return e, nil
}

// HashOfBlocks returns the hash of encoded client blocks.
func HashOfBlocks(blocks []byte) uint64 {
	if len(blocks) == 0 {
		return 0
	}
	return xxhash.Sum64(blocks)
}

// Hash identifies the document, client blocks included.
func (e *Encoded) Hash() uint64 {
	d := xxhash.New()
	_, _ = d.Write(e.Main)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, e.BlocksHash))
	return d.Sum64()
}

// Bytes returns the size of both parts.
func (e *Encoded) Bytes() int { return len(e.Main) + len(e.Blocks) }

// LeavesOutBlocks reports whether there are client blocks that are not here.
func (e *Encoded) LeavesOutBlocks() bool { return e.BlocksHash != 0 && len(e.Blocks) == 0 }

// Document decodes the document. Fields that this build does not know are
// ignored, so that a document accepted by a newer build can be put in force
// by an older one. Blocks that are left out are those of have, which may be
// nil otherwise.
func (e *Encoded) Document(have *Snapshot) (*Document, error) {
	if e.Bytes() > MaxDocumentBytes || depthOf(e.Main) > MaxDepth || depthOf(e.Blocks) > MaxDepth {
		return nil, trace.LimitExceeded("stored document is larger or deeper than allowed")
	}
	doc, err := decode(e.Main)
	if err != nil {
		return nil, err
	}
	switch {
	case e.BlocksHash == 0:
	case have != nil && have.BlocksHash == e.BlocksHash:
		doc.ClientBlocks = have.Document.ClientBlocks
	case len(e.Blocks) == 0:
		return nil, trace.NotFound("client blocks with hash %016x are left out", e.BlocksHash)
	default:
		err = json.Unmarshal(e.Blocks, &doc.ClientBlocks)
	}
	return doc, trace.Wrap(err, "decode client blocks")
}

// Load derives the snapshot of a stored document: defaults are filled in, and
// the hash is that of the stored bytes, so that it is the same on all daemons
// whatever their builds. Client blocks equal to those of have are shared with
// it; have may be nil.
func Load(gen Generation, e *Encoded, have *Snapshot) (*Snapshot, error) {
	doc, err := e.Document(have)
	if err != nil {
		return nil, trace.Wrap(err, "load generation %d", gen)
	}
	SetDefaults(doc)
	return newSnapshot(gen, e, doc), nil
}

package repository

import (
	"github.com/gravitational/trace"

	"masticturn/internal/config"
)

// Packed is a compressed document with its hashes, in the form in which it is
// stored and sent.
type Packed struct {
	Hash       uint64
	BlocksHash uint64
	Main       []byte
	Blocks     []byte // nil if there are none or they are omitted
}

// Pack compresses both parts of a document.
func Pack(e *config.Encoded) (*Packed, error) {
	p := &Packed{Hash: e.Hash(), BlocksHash: e.BlocksHash}
	var err error
	if p.Main, err = Compress(e.Main); err != nil {
		return nil, err
	}
	if len(e.Blocks) > 0 {
		p.Blocks, err = Compress(e.Blocks)
	}
	return p, err
}

// Unpack decompresses the document and verifies its hashes. Omitted client blocks
// remain omitted.
func (p *Packed) Unpack() (*config.Encoded, error) {
	e := &config.Encoded{BlocksHash: p.BlocksHash}
	var err error
	if e.Main, err = Decompress(p.Main); err != nil {
		return nil, err
	}
	if got := e.Hash(); got != p.Hash {
		return nil, trace.CompareFailed("document hash mismatch: computed %016x, recorded %016x", got, p.Hash)
	}
	if len(p.Blocks) == 0 {
		return e, nil
	}
	if e.Blocks, err = Decompress(p.Blocks); err != nil {
		return nil, err
	}
	if got := config.HashBlocks(e.Blocks); got != p.BlocksHash {
		return nil, trace.CompareFailed("client blocks hash mismatch: computed %016x, recorded %016x", got, p.BlocksHash)
	}
	return e, nil
}

// Document decompresses, verifies and decodes the document. It fails if client
// blocks are omitted.
func (p *Packed) Document() (*config.Document, error) {
	e, err := p.Unpack()
	if err != nil {
		return nil, err
	}
	return e.Document(nil)
}

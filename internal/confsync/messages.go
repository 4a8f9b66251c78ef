package confsync

import (
	"masticturn/internal/config"
	"masticturn/internal/config/repository"
)

// wireDocument is a document on its way between daemons. Without Main it is a
// notice that the sender has it; client blocks are left out when they are
// many.
type wireDocument struct {
	Generation uint64
	Hash       uint64
	BlocksHash uint64 // of its client blocks; 0 when there are none
	Main       []byte // compressed, without client blocks
	Blocks     []byte // compressed client blocks
}

// packed returns the document to be opened.
func (w *wireDocument) packed() *repository.Packed {
	return &repository.Packed{Hash: w.Hash, BlocksHash: w.BlocksHash, Main: w.Main, Blocks: w.Blocks}
}

// section is a part of a document that is fetched on its own.
type section uint8

const (
	sectionMain section = iota
	sectionBlocks
)

// pushMessage is the one-way message of peer.KindConfigPush.
type pushMessage struct {
	Root     string // daemon at which the spread in the region began; empty: not to be relayed
	Document wireDocument
}

// fetchMessage asks for a piece of a section of a document: the call of
// peer.KindConfigFetch.
type fetchMessage struct {
	Generation uint64 // of the document wanted; 0: the one in force
	Section    section
	Offset     int    // where the piece begins
	Have       uint64 // generation in force at the asking daemon; no piece is sent of one that is not higher
}

// fetchAnswer answers fetchMessage. Its notice has generation 0 when the peer
// has no document. A peer that has another generation in force by now answers
// with the notice of that one and no piece.
type fetchAnswer struct {
	Notice wireDocument
	Piece  []byte
	Total  int // bytes of the whole section
}

// held is a document that this daemon has, ready to be passed on.
type held struct {
	snap   *config.Snapshot
	packed *repository.Packed
}

func (h *held) generation() config.Generation {
	if h == nil {
		return 0
	}
	return h.snap.Generation
}

func (h *held) hash() uint64 {
	if h == nil {
		return 0
	}
	return h.snap.Hash
}

// notice returns the document without its content.
func (h *held) notice() wireDocument {
	return wireDocument{Generation: uint64(h.snap.Generation), Hash: h.snap.Hash, BlocksHash: h.snap.BlocksHash}
}

// wire returns the document with those parts that are small.
func (h *held) wire() wireDocument {
	w := h.notice()
	if len(h.packed.Main) <= maxPushBytes {
		w.Main = h.packed.Main
	}
	if len(h.packed.Blocks) <= maxPushBytes {
		w.Blocks = h.packed.Blocks
	}
	return w
}

// section returns a whole section.
func (h *held) section(s section) []byte {
	if s == sectionBlocks {
		return h.packed.Blocks
	}
	return h.packed.Main
}

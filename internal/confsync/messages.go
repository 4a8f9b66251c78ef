package confsync

import (
	"masticturn/internal/config"
	"masticturn/internal/config/repository"
)

// wireDocument is a document as sent between daemons. Without Main it is only an announcement that
// the sender has the document. Large sections are left out and fetched separately.
type wireDocument struct {
	Generation uint64
	Hash       uint64
	BlocksHash uint64 // of its client blocks; 0 if there are none
	Main       []byte // compressed, without client blocks
	Blocks     []byte // compressed client blocks
}

// packed returns the document in its packed form.
func (w *wireDocument) packed() *repository.Packed {
	return &repository.Packed{Hash: w.Hash, BlocksHash: w.BlocksHash, Main: w.Main, Blocks: w.Blocks}
}

// section is a separately fetched part of a document.
type section uint8

const (
	sectionMain section = iota
	sectionBlocks
)

// pushMessage is the one-way message of peer.KindConfigPush.
type pushMessage struct {
	Root     string // root of the tree in the region; empty if the document is not to be relayed on receipt
	Document wireDocument
}

// fetchRequest requests a piece of a section of a document. It is the request of
// peer.KindConfigFetch.
type fetchRequest struct {
	Generation uint64 // of the requested document; 0 for the one in force
	Section    section
	Offset     int    // of the piece in the section, in bytes
	Have       uint64 // generation in force on the requesting daemon; pieces are sent only of a higher one
}

// fetchResponse is the response to fetchRequest. Metadata has generation 0 if the peer has no
// document. If the peer has another generation in force than requested, it returns the metadata of
// that one and no piece.
type fetchResponse struct {
	Metadata wireDocument
	Piece    []byte
	Total    int // bytes of the whole section
}

// loadedDocument is a document in both forms: decoded for use and packed for relaying.
type loadedDocument struct {
	snap   *config.Snapshot
	packed *repository.Packed
}

func (d *loadedDocument) generation() config.Generation {
	if d == nil {
		return 0
	}
	return d.snap.Generation
}

func (d *loadedDocument) hash() uint64 {
	if d == nil {
		return 0
	}
	return d.snap.Hash
}

// metadata returns the document without its content.
func (d *loadedDocument) metadata() wireDocument {
	return wireDocument{Generation: uint64(d.snap.Generation), Hash: d.snap.Hash, BlocksHash: d.snap.BlocksHash}
}

// wire returns the document with the sections that are small enough to be pushed.
func (d *loadedDocument) wire() wireDocument {
	w := d.metadata()
	if len(d.packed.Main) <= maxPushBytes {
		w.Main = d.packed.Main
	}
	if len(d.packed.Blocks) <= maxPushBytes {
		w.Blocks = d.packed.Blocks
	}
	return w
}

// section returns the packed bytes of a section.
func (d *loadedDocument) section(s section) []byte {
	if s == sectionBlocks {
		return d.packed.Blocks
	}
	return d.packed.Main
}

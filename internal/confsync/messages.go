package confsync

import "masticturn/internal/config"

// wireDocument is a document on its way between daemons. Without a body it is
// a notice that the sender has it.
type wireDocument struct {
	Generation uint64
	Hash       uint64 // of the encoded document
	Body       []byte // compressed
}

// pushMessage is the one-way message of peer.KindConfigPush.
type pushMessage struct {
	Root     string // daemon at which the spread in the region began; empty: not to be relayed
	Document wireDocument
}

// fetchMessage asks for a part of a document: the call of
// peer.KindConfigFetch.
type fetchMessage struct {
	Generation uint64 // of the document wanted; 0: the one in force
	Offset     int    // where the part begins
}

// fetchAnswer answers fetchMessage. Generation is 0 when the peer has no
// document. A peer that has another generation in force by now answers with
// the start of that one.
type fetchAnswer struct {
	Document wireDocument // Body holds the part
	Offset   int
	Total    int // bytes of the whole body
}

// held is a document that this daemon has, ready to be passed on.
type held struct {
	snap *config.Snapshot
	body []byte // compressed
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

// notice returns the document without its body.
func (h *held) notice() wireDocument {
	return wireDocument{Generation: uint64(h.snap.Generation), Hash: h.snap.Hash}
}

// wire returns the document, with its body when that is small.
func (h *held) wire() wireDocument {
	w := h.notice()
	if len(h.body) <= maxPushBytes {
		w.Body = h.body
	}
	return w
}

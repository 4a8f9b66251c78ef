// Package repository keeps the accepted documents in the platform's object
// API: one head object, changed by conditional update only, with the document
// in force and the generations before it.
package repository

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"io"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/platform"
)

// Bounds on what is kept.
const (
	// HistoryLength is the number of generations kept besides the one in force.
	HistoryLength = 16
	// MaxMainBytes is the largest compressed document, without its client
	// blocks, that is accepted. It is kept in the head object itself.
	MaxMainBytes = 256 << 10
	// maxInlineBlocks is the largest compressed list of client blocks kept in
	// the head object; a larger one goes into chunks.
	maxInlineBlocks = 16 << 10
	// maxHeadBytes leaves room below the platform's bound on values.
	maxHeadBytes = platform.MaxValueBytes * 9 / 10
	// maxAuthorBytes and maxCommentBytes bound what operators write about a
	// document.
	maxAuthorBytes  = 128
	maxCommentBytes = 1024
	// maxChunkBytes is the largest value of a chunk object.
	maxChunkBytes = platform.MaxValueBytes * 9 / 10
)

// HeadName is the name of the head object within platform.KindConfig.
const HeadName = "head"

// Record is one accepted generation.
type Record struct {
	Generation config.Generation `json:"generation"`
	WriteID    string            `json:"write_id"`           // unique for each call of Apply
	Hash       uint64            `json:"hash,string"`        // of the document
	BlocksHash uint64            `json:"blocks_hash,string"` // of its client blocks; 0: none
	Author     string            `json:"author"`             // who applied it
	Comment    string            `json:"comment"`            // why
	AcceptedAt time.Time         `json:"accepted_at"`        // by the clock of the daemon that wrote it
	Bytes      int               `json:"bytes"`              // size of the encoded document
	Main       []byte            `json:"main,omitempty"`     // compressed document without client blocks
	Blocks     []byte            `json:"blocks,omitempty"`   // compressed client blocks, when few
	Chunks     []Chunk           `json:"chunks,omitempty"`   // objects that hold them otherwise, in order
}

// Chunk names an object of platform.KindConfigChunk.
type Chunk struct {
	Name    string           `json:"name"`
	Version platform.Version `json:"version"`
}

// Kept reports whether the document of this generation can still be read.
func (r *Record) Kept() bool { return len(r.Main) > 0 }

// Head is the value of the head object.
type Head struct {
	Current Record   `json:"current"`
	History []Record `json:"history,omitempty"` // newest first
}

// DecodeHead reads the value of the head object.
func DecodeHead(value []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(value, h); err != nil {
		return nil, trace.Wrap(err, "decode head of the configuration")
	}
	return h, nil
}

// byWriteID returns the record of a write, nil when it is not among those kept.
func (h *Head) byWriteID(id string) *Record {
	return h.find(func(r *Record) bool { return r.WriteID == id })
}

// byGeneration returns the record of a generation, nil when it is not kept.
func (h *Head) byGeneration(gen config.Generation) *Record {
	return h.find(func(r *Record) bool { return r.Generation == gen })
}

func (h *Head) find(match func(*Record) bool) *Record {
	if match(&h.Current) {
		return &h.Current
	}
	for i := range h.History {
		if match(&h.History[i]) {
			return &h.History[i]
		}
	}
	return nil
}

// succeed returns the head that follows h with a new current record, and its
// encoding, which is small enough for the platform.
func (h *Head) succeed(current Record) (*Head, []byte, error) {
	next := &Head{Current: current}
	if h != nil {
		next.History = append([]Record{h.Current}, h.History...)
		next.History = next.History[:min(len(next.History), HistoryLength)]
	}
	next.trim()
	value, err := json.Marshal(next)
	return next, value, trace.Wrap(err, "encode head of the configuration")
}

// trim leaves out the documents of the oldest generations until the encoded
// head is surely small enough.
func (h *Head) trim() {
	size := h.Current.encodedSize()
	for i := range h.History {
		size += h.History[i].encodedSize()
		if size > maxHeadBytes {
			size -= h.History[i].encodedSize() - recordOverhead
			h.History[i].leaveOut()
		}
	}
}

// recordOverhead bounds the encoded size of a record without its document and
// chunks: the longest author and comment, each byte escaped.
const (
	recordOverhead = 6*(maxAuthorBytes+maxCommentBytes) + 512
	chunkOverhead  = 128
)

// encodedSize returns a bound on the size of a record within the head.
func (r *Record) encodedSize() int {
	return recordOverhead + chunkOverhead*len(r.Chunks) +
		base64.StdEncoding.EncodedLen(len(r.Main)) + base64.StdEncoding.EncodedLen(len(r.Blocks))
}

// leaveOut forgets the document of the record.
func (r *Record) leaveOut() { r.Main, r.Blocks, r.Chunks = nil, nil, nil }

// dropped returns the chunks that before names and after does not.
func dropped(before, after *Head) []Chunk {
	if before == nil {
		return nil
	}
	kept := make(map[string]bool)
	for _, c := range after.chunks() {
		kept[c.Name] = true
	}
	var gone []Chunk
	for _, c := range before.chunks() {
		if !kept[c.Name] {
			gone = append(gone, c)
		}
	}
	return gone
}

func (h *Head) chunks() []Chunk {
	all := append([]Chunk(nil), h.Current.Chunks...)
	for i := range h.History {
		all = append(all, h.History[i].Chunks...)
	}
	return all
}

// Compress returns the compressed form of a part of a document.
func Compress(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(raw); err != nil {
		return nil, trace.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err, "compress document")
	}
	return b.Bytes(), nil
}

// Decompress returns a part of a document from its compressed form. It refuses
// one larger than config.MaxDocumentBytes.
func Decompress(body []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err, "decompress document")
	}
	raw, err := io.ReadAll(io.LimitReader(r, config.MaxDocumentBytes+1))
	if err != nil {
		return nil, trace.Wrap(err, "decompress document")
	}
	if len(raw) > config.MaxDocumentBytes {
		return nil, trace.LimitExceeded("decompressed document is larger than %d bytes", config.MaxDocumentBytes)
	}
	return raw, nil
}

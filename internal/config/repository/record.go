// Package repository stores accepted documents in the platform's object API. A
// single head object, modified only by conditional updates, holds the document in
// force and the previous generations.
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

// Limits on stored data.
const (
	// HistoryLength is the number of previous generations kept.
	HistoryLength = 16
	// MaxMainBytes is the maximum size of a compressed document without its
	// client blocks. This part is stored in the head object.
	MaxMainBytes = 256 << 10
	// maxInlineBlocks is the maximum size, in bytes, of compressed client blocks
	// in the head object. Larger ones are stored in chunks.
	maxInlineBlocks = 16 << 10
	// maxHeadBytes leaves a margin below the platform's limit on values.
	maxHeadBytes = platform.MaxValueBytes * 9 / 10
	// maxAuthorBytes and maxCommentBytes limit the author and comment of a
	// record.
	maxAuthorBytes  = 128
	maxCommentBytes = 1024
	// maxChunkBytes is the maximum size of the value of a chunk object.
	maxChunkBytes = platform.MaxValueBytes * 9 / 10
)

// HeadName is the name of the head object within platform.KindConfig.
const HeadName = "head"

// Record describes one accepted generation of the document.
type Record struct {
	Generation config.Generation `json:"generation"`
	WriteID    string            `json:"write_id"`           // unique for each Apply call
	Hash       uint64            `json:"hash,string"`        // hash of the document
	BlocksHash uint64            `json:"blocks_hash,string"` // hash of the client blocks; 0: none
	Author     string            `json:"author"`             // operator who applied the document
	Comment    string            `json:"comment"`            // reason given by the operator
	AcceptedAt time.Time         `json:"accepted_at"`        // time according to the daemon that wrote the record
	Bytes      int               `json:"bytes"`              // size of the encoded document
	Main       []byte            `json:"main,omitempty"`     // compressed document without client blocks
	Blocks     []byte            `json:"blocks,omitempty"`   // compressed client blocks, if small
	Chunks     []Chunk           `json:"chunks,omitempty"`   // objects that hold the client blocks otherwise, in order
}

// Chunk refers to an object of platform.KindConfigChunk.
type Chunk struct {
	Name    string           `json:"name"`
	Version platform.Version `json:"version"`
}

// Kept reports whether the document of this generation is still available.
func (r *Record) Kept() bool { return len(r.Main) > 0 }

// Head is the value of the head object.
type Head struct {
	Current Record   `json:"current"`
	History []Record `json:"history,omitempty"` // newest first
}

// DecodeHead decodes the value of the head object.
func DecodeHead(value []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(value, h); err != nil {
		return nil, trace.Wrap(err, "decode head of the configuration")
	}
	return h, nil
}

// byWriteID returns the record of a write, or nil if it is not kept.
func (h *Head) byWriteID(id string) *Record {
	return h.find(func(r *Record) bool { return r.WriteID == id })
}

// byGeneration returns the record of a generation, or nil if it is not kept.
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

// successor returns a new head with the given current record and the previous
// records as history, and its encoding, trimmed to the size limit.
func (h *Head) successor(current Record) (*Head, []byte, error) {
	next := &Head{Current: current}
	if h != nil {
		next.History = append([]Record{h.Current}, h.History...)
		next.History = next.History[:min(len(next.History), HistoryLength)]
	}
	next.trim()
	value, err := json.Marshal(next)
	return next, value, trace.Wrap(err, "encode head of the configuration")
}

// trim drops the documents of the oldest generations so that the encoded head is
// guaranteed not to exceed maxHeadBytes.
func (h *Head) trim() {
	size := h.Current.encodedSize()
	for i := range h.History {
		size += h.History[i].encodedSize()
		if size > maxHeadBytes {
			size -= h.History[i].encodedSize() - recordOverhead
			h.History[i].dropDocument()
		}
	}
}

// recordOverhead is an upper bound on the encoded size of a record without its
// document and chunks: the longest author and comment, with each byte escaped.
// chunkOverhead is an upper bound on the encoded size of a chunk reference.
const (
	recordOverhead = 6*(maxAuthorBytes+maxCommentBytes) + 512
	chunkOverhead  = 128
)

// encodedSize returns an upper bound on the encoded size of the record.
func (r *Record) encodedSize() int {
	return recordOverhead + chunkOverhead*len(r.Chunks) +
		base64.StdEncoding.EncodedLen(len(r.Main)) + base64.StdEncoding.EncodedLen(len(r.Blocks))
}

// dropDocument removes the document from the record.
func (r *Record) dropDocument() { r.Main, r.Blocks, r.Chunks = nil, nil, nil }

// unreferencedChunks returns the chunks that before refers to and after does not.
func unreferencedChunks(before, after *Head) []Chunk {
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

// Compress compresses a part of an encoded document with gzip.
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

// Decompress reverses Compress. It returns an error if the result exceeds
// config.MaxDocumentBytes.
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

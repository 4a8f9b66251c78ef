// Package delta encodes a text as its differences from an earlier version of it. The size of a delta follows that of
// the change.
package delta

import (
	"bytes"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"masticturn/internal/pack"
)

// ErrOtherBase is returned by Apply if the delta was made from another base.
var ErrOtherBase = errors.New("the delta was made from another base")

// delta is the encoded form: the result consists of its pieces in order.
type delta struct {
	BaseDigest   uint64
	ResultDigest uint64
	Pieces       []piece
	Inserted     []byte // the bytes of all pieces that are not in the base
}

// piece is a part of the result: the next bytes of Inserted, followed by bytes of the base.
type piece struct {
	Insert int // number of bytes of Inserted
	Offset int // in the base
	Copy   int // number of bytes from Offset
}

// blockBytes is the length of the blocks of the base that are searched for.
const blockBytes = 32

// Encode returns the delta from base to target.
func Encode(base, target []byte) ([]byte, error) {
	d := delta{BaseDigest: xxhash.Sum64(base), ResultDigest: xxhash.Sum64(target)}
	blocks := indexBlocks(base)
	inserted := 0  // start of the bytes of the target that are not in a piece yet
	afterCopy := 0 // offset in the base after the last copy
	for at := 0; at+blockBytes <= len(target); {
		offset, found := findBlock(base, target[at:at+blockBytes], blocks, afterCopy+at-inserted)
		if !found {
			at++
			continue
		}
		back := commonSuffix(base[:offset], target[inserted:at])
		length := blockBytes + commonPrefix(base[offset+blockBytes:], target[at+blockBytes:])
		p := piece{Insert: at - back - inserted, Offset: offset - back, Copy: back + length}
		d.Inserted = append(d.Inserted, target[inserted:inserted+p.Insert]...)
		d.Pieces = append(d.Pieces, p)
		at += length
		inserted, afterCopy = at, offset+length
	}
	if inserted < len(target) {
		d.Inserted = append(d.Inserted, target[inserted:]...)
		d.Pieces = append(d.Pieces, piece{Insert: len(target) - inserted})
	}
	return pack.Pack(&d)
}

// indexBlocks returns the offset of each block of the base by its hash. Of equal blocks the first one is indexed.
func indexBlocks(base []byte) map[uint64]int {
	blocks := make(map[uint64]int, len(base)/blockBytes)
	for offset := 0; offset+blockBytes <= len(base); offset += blockBytes {
		hash := xxhash.Sum64(base[offset : offset+blockBytes])
		if _, known := blocks[hash]; !known {
			blocks[hash] = offset
		}
	}
	return blocks
}

// findBlock returns the offset of a block in the base. It prefers the expected offset, as repetitive texts have equal
// blocks.
func findBlock(base, block []byte, blocks map[uint64]int, expected int) (offset int, found bool) {
	if expected+blockBytes <= len(base) && bytes.Equal(base[expected:expected+blockBytes], block) {
		return expected, true
	}
	offset, found = blocks[xxhash.Sum64(block)]
	return offset, found && bytes.Equal(base[offset:offset+blockBytes], block)
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// Apply returns the target of an encoded delta. The delta is untrusted: Apply fails if the target would exceed
// maxBytes, or the unpacked delta twice as much, as its pieces take space, too. The error is ErrOtherBase if the base is not that of the delta.
func Apply(base, encoded []byte, maxBytes int) ([]byte, error) {
	var d delta
	if err := pack.Unpack(encoded, 2*int64(maxBytes), &d); err != nil {
		return nil, trace.Wrap(err, "decode delta")
	}
	if xxhash.Sum64(base) != d.BaseDigest {
		return nil, ErrOtherBase
	}
	size, err := d.checkedSize(len(base), maxBytes)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, size)
	rest := d.Inserted
	for _, p := range d.Pieces {
		out = append(out, rest[:p.Insert]...)
		rest = rest[p.Insert:]
		out = append(out, base[p.Offset:p.Offset+p.Copy]...)
	}
	if xxhash.Sum64(out) != d.ResultDigest {
		return nil, trace.BadParameter("the result of the delta has another digest")
	}
	return out, nil
}

// checkedSize returns the size of the target. It fails if a piece is not within the base and the inserted bytes, or
// if the target is too large.
func (d *delta) checkedSize(baseBytes, maxBytes int) (int, error) {
	size, inserted := 0, 0
	for _, p := range d.Pieces {
		if p.Insert < 0 || p.Insert > len(d.Inserted)-inserted || p.Copy < 0 || p.Offset < 0 || p.Offset > baseBytes-p.Copy {
			return 0, trace.BadParameter("a piece of the delta is outside of its sources")
		}
		inserted += p.Insert
		if size += p.Insert + p.Copy; size > maxBytes {
			return 0, trace.LimitExceeded("the result of the delta exceeds %d bytes", maxBytes)
		}
	}
	return size, nil
}

package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// A frame is a big-endian length of what follows, a header, and a payload in
// msgpack:
//
//	length uint32 | type uint8 | kind uint8 | id uint32 | ack uint32 | payload
//
// The id correlates a call with its answer. The ack is how many frames the
// sender has received on this connection, which tells silent connections
// apart without frames of their own while traffic flows both ways.
const (
	lengthBytes = 4
	headerBytes = 10
	frameBytes  = lengthBytes + headerBytes
)

// frameType is the type of a frame.
type frameType uint8

// The types of frames.
const (
	frameHello  frameType = iota + 1 // first frame both ways, payload hello
	frameSend                        // one-way message
	frameCall                        // message that wants an answer
	frameAnswer                      // answer to the call of that id
	frameError                       // the call failed; payload is its text
	frameCancel                      // the call's answer is not wanted any more
	framePing                        // asks for a pong
	framePong                        // carries nothing but its ack
	frameBye                         // the sender puts no new messages on this connection
	frameTypes                       // number of types, plus one
)

// frame is one received frame. Its payload comes from the buffer pool.
type frame struct {
	kind    Kind
	typ     frameType
	id      uint32
	ack     uint32
	payload *buffer
}

// appendFrame appends an encoded frame to b.
func appendFrame(b []byte, typ frameType, kind Kind, id, ack uint32, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(headerBytes+len(payload)))
	b = append(b, byte(typ), byte(kind))
	b = binary.BigEndian.AppendUint32(b, id)
	b = binary.BigEndian.AppendUint32(b, ack)
	return append(b, payload...)
}

// readFrame reads and checks one frame of at most maxBytes. An error that
// wraps ErrMalformed means that the peer broke the format.
func readFrame(r *bufio.Reader, maxBytes int) (frame, error) {
	head, err := r.Peek(frameBytes)
	if err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(head)
	if length < headerBytes || length > uint32(maxBytes) {
		return frame{}, trace.Wrap(ErrMalformed, "length %d, allowed are %d to %d", length, headerBytes, maxBytes)
	}
	f := frame{
		typ:  frameType(head[4]),
		kind: Kind(head[5]),
		id:   binary.BigEndian.Uint32(head[6:]),
		ack:  binary.BigEndian.Uint32(head[10:]),
	}
	if f.typ == 0 || f.typ >= frameTypes {
		return frame{}, trace.Wrap(ErrMalformed, "type %d", f.typ)
	}
	if _, err := r.Discard(frameBytes); err != nil {
		return frame{}, err
	}
	return f, f.readPayload(r, int(length)-headerBytes)
}

func (f *frame) readPayload(r *bufio.Reader, n int) error {
	if n == 0 {
		return nil
	}
	f.payload = getBuffer(n)
	if _, err := io.ReadFull(r, f.payload.b); err != nil {
		f.payload.release()
		return err
	}
	if err := CheckPayload(f.payload.b); err != nil {
		f.payload.release()
		return err
	}
	return nil
}

// bytes returns the payload, nil when it is empty.
func (f *frame) bytes() []byte {
	if f.payload == nil {
		return nil
	}
	return f.payload.b
}

// buffer is a pooled payload.
type buffer struct {
	b []byte
}

var buffers = sync.Pool{New: func() any { return new(buffer) }}

func getBuffer(n int) *buffer {
	b := buffers.Get().(*buffer)
	if cap(b.b) < n {
		b.b = make([]byte, n)
	}
	b.b = b.b[:n]
	return b
}

// release gives the buffer back; nil is allowed.
func (b *buffer) release() {
	if b == nil || cap(b.b) > maxKeptBuffer {
		return
	}
	buffers.Put(b)
}

// maxDepth is how deep arrays and maps of a payload may be nested.
const maxDepth = 16

// walker checks payloads; it is pooled.
type walker struct {
	reader bytes.Reader
	dec    *msgpack.Decoder
}

var walkers = sync.Pool{New: func() any { return &walker{dec: msgpack.NewDecoder(nil)} }}

// CheckPayload verifies that a payload is one msgpack value, whole, without
// bytes after it, and nested at most maxDepth deep. The decoder itself
// recurses without a bound.
func CheckPayload(payload []byte) error {
	w := walkers.Get().(*walker)
	defer walkers.Put(w)
	w.reader.Reset(payload)
	w.dec.Reset(&w.reader)
	if err := w.walk(); err != nil {
		return trace.Wrap(ErrMalformed, "payload: %v", err)
	}
	if w.reader.Len() > 0 {
		return trace.Wrap(ErrMalformed, "payload: %d bytes too many", w.reader.Len())
	}
	return nil
}

var errTooDeep = errors.New("nested too deep")

// walk skips one value with an explicit stack of how many values are left at
// each level.
func (w *walker) walk() error {
	var left [maxDepth + 1]int
	depth := 0
	left[0] = 1
	for {
		for left[depth] == 0 {
			if depth == 0 {
				return nil
			}
			depth--
		}
		left[depth]--
		n, err := w.next()
		if err != nil {
			return err
		}
		if n == 0 {
			continue
		}
		if depth == maxDepth {
			return errTooDeep
		}
		depth++
		left[depth] = n
	}
}

// next skips a scalar, or enters an array or map and returns how many values
// it holds.
func (w *walker) next() (values int, err error) {
	code, err := w.dec.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		n, err := w.dec.DecodeArrayLen()
		return n, w.bound(n, err)
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err := w.dec.DecodeMapLen()
		return 2 * n, w.bound(2*n, err)
	case isBlob(code):
		n, err := w.dec.DecodeBytesLen()
		if err != nil || n <= 0 {
			return 0, err
		}
		if n > w.reader.Len() {
			return 0, io.ErrUnexpectedEOF
		}
		_, err = w.reader.Seek(int64(n), io.SeekCurrent)
		return 0, err
	}
	return 0, w.dec.Skip()
}

// bound refuses a length that the bytes left cannot hold.
func (w *walker) bound(n int, err error) error {
	if err == nil && (n < 0 || n > w.reader.Len()) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isBlob reports whether a string or bytes follow.
func isBlob(code byte) bool {
	switch code {
	case msgpcode.Str8, msgpcode.Str16, msgpcode.Str32, msgpcode.Bin8, msgpcode.Bin16, msgpcode.Bin32:
		return true
	}
	return msgpcode.IsFixedString(code)
}

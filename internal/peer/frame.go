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

// Layout of a frame. Integers are big-endian, the length does not include its own
// four bytes, and the payload is msgpack:
//
//	length uint32 | type uint8 | kind uint8 | id uint32 | ack uint32 | payload
//
// The id matches a response to its call. The ack is the number of frames other
// than pongs that the sender has received on this connection. It detects silent
// connections without additional frames while both ends send messages.
const (
	lengthBytes        = 4
	headerBytes        = 10
	frameOverheadBytes = lengthBytes + headerBytes
)

// frameType is the type of a frame.
type frameType uint8

// Frame types.
const (
	frameHello    frameType = iota + 1 // first frame in each direction; the payload is a hello
	frameSend                          // one-way message
	frameCall                          // request that expects a response
	frameResponse                      // response to the call with the same id
	frameError                         // the call failed; the payload is the error message
	frameCancel                        // the sender no longer waits for the response of the call
	framePing                          // requests a pong
	framePong                          // response to a ping; only its ack is used
	frameBye                           // the sender sends no new messages on this connection
	frameTypeEnd                       // first invalid type
)

// frame is a received frame. Its payload is a pooled buffer.
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

// readFrame reads and validates a frame. Its length field may be at most maxBytes. While it reads a payload of more
// than receiveChunkBytes, it reports the progress to receiving, which may be nil.
// The error wraps ErrMalformed if the peer violated the protocol.
func readFrame(r *bufio.Reader, maxBytes int, receiving *receipt) (frame, error) {
	head, err := r.Peek(frameOverheadBytes)
	if err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(head)
	if length < headerBytes || length > uint32(maxBytes) {
		return frame{}, trace.Wrap(ErrMalformed, "length %d is not between %d and %d", length, headerBytes, maxBytes)
	}
	f := frame{
		typ:  frameType(head[4]),
		kind: Kind(head[5]),
		id:   binary.BigEndian.Uint32(head[6:]),
		ack:  binary.BigEndian.Uint32(head[10:]),
	}
	if f.typ == 0 || f.typ >= frameTypeEnd {
		return frame{}, trace.Wrap(ErrMalformed, "unknown frame type %d", f.typ)
	}
	if _, err := r.Discard(frameOverheadBytes); err != nil {
		return frame{}, err
	}
	return f, f.readPayload(r, int(length)-headerBytes, receiving)
}

func (f *frame) readPayload(r *bufio.Reader, n int, receiving *receipt) error {
	if n == 0 {
		return nil
	}
	f.payload = getBuffer(n)
	if err := f.readChunks(r, receiving); err != nil {
		f.payload.release()
		return err
	}
	if err := CheckPayload(f.payload.b); err != nil {
		f.payload.release()
		return err
	}
	return nil
}

// receiveChunkBytes is the number of payload bytes that are read at once.
const receiveChunkBytes = 16 << 10

func (f *frame) readChunks(r *bufio.Reader, receiving *receipt) error {
	b := f.payload.b
	if len(b) <= receiveChunkBytes || receiving == nil {
		_, err := io.ReadFull(r, b)
		return err
	}
	for at := 0; at < len(b); {
		receiving.report(f, at)
		end := min(at+receiveChunkBytes, len(b))
		if _, err := io.ReadFull(r, b[at:end]); err != nil {
			return err
		}
		at = end
	}
	return nil
}

// bytes returns the payload, or nil if it is empty.
func (f *frame) bytes() []byte {
	if f.payload == nil {
		return nil
	}
	return f.payload.b
}

// buffer is a pooled payload buffer.
type buffer struct {
	b []byte
}

var bufferPool = sync.Pool{New: func() any { return new(buffer) }}

func getBuffer(n int) *buffer {
	b := bufferPool.Get().(*buffer)
	if cap(b.b) < n {
		b.b = make([]byte, n)
	}
	b.b = b.b[:n]
	return b
}

// release returns the buffer to the pool. b may be nil.
func (b *buffer) release() {
	if b == nil || cap(b.b) > maxPooledBufferBytes {
		return
	}
	bufferPool.Put(b)
}

// maxDepth is the maximum nesting depth of arrays and maps in a payload.
const maxDepth = 16

// validator is a pooled validator of payloads.
type validator struct {
	reader bytes.Reader
	dec    *msgpack.Decoder
}

var validatorPool = sync.Pool{New: func() any { return &validator{dec: msgpack.NewDecoder(nil)} }}

// CheckPayload verifies that a payload is exactly one complete msgpack value with
// at most maxDepth levels of nesting. The msgpack decoder does not limit its
// recursion.
func CheckPayload(payload []byte) error {
	w := validatorPool.Get().(*validator)
	defer validatorPool.Put(w)
	w.reader.Reset(payload)
	w.dec.Reset(&w.reader)
	if err := w.validate(); err != nil {
		return trace.Wrap(ErrMalformed, "payload: %v", err)
	}
	if w.reader.Len() > 0 {
		return trace.Wrap(ErrMalformed, "payload: %d trailing bytes", w.reader.Len())
	}
	return nil
}

var errTooDeep = errors.New("nesting too deep")

// validate skips one value without recursion. remaining is the number of values
// left to read at each nesting level.
func (w *validator) validate() error {
	var remaining [maxDepth + 1]int
	depth := 0
	remaining[0] = 1
	for {
		for remaining[depth] == 0 {
			if depth == 0 {
				return nil
			}
			depth--
		}
		remaining[depth]--
		n, err := w.readNext()
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
		remaining[depth] = n
	}
}

// readNext skips a scalar, or reads the header of an array or map and returns the
// number of values in it.
func (w *validator) readNext() (values int, err error) {
	code, err := w.dec.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		n, err := w.dec.DecodeArrayLen()
		return n, w.checkLength(n, err)
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		n, err := w.dec.DecodeMapLen()
		return 2 * n, w.checkLength(2*n, err)
	case isStringOrBytes(code):
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

// checkLength returns an error if n values cannot fit into the unread bytes.
func (w *validator) checkLength(n int, err error) error {
	if err == nil && (n < 0 || n > w.reader.Len()) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isStringOrBytes reports whether code starts a string or a byte slice.
func isStringOrBytes(code byte) bool {
	switch code {
	case msgpcode.Str8, msgpcode.Str16, msgpcode.Str32, msgpcode.Bin8, msgpcode.Bin16, msgpcode.Bin32:
		return true
	}
	return msgpcode.IsFixedString(code)
}

package peer

import (
	"bytes"
	"slices"
	"sync"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns v in msgpack. Structs travel as arrays of their fields in
// order, without names: a new field goes to the end, none is removed.
func Encode(v any) ([]byte, error) {
	e := getEncoder()
	defer e.release()
	if err := e.encode(v); err != nil {
		return nil, err
	}
	return slices.Clone(e.buf.Bytes()), nil
}

// Decode reads a payload into v.
func Decode(payload []byte, v any) error {
	return trace.Wrap(msgpack.Unmarshal(payload, v), "decode message")
}

// encoders holds encoders with their buffers, to be reused.
var encoders = sync.Pool{New: func() any { return newEncoder() }}

// encoder is a msgpack encoder with its own buffer.
type encoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

func newEncoder() *encoder {
	e := &encoder{}
	e.enc = msgpack.NewEncoder(&e.buf)
	e.enc.UseArrayEncodedStructs(true)
	e.enc.UseCompactInts(true)
	return e
}

func getEncoder() *encoder { return encoders.Get().(*encoder) }

// maxKeptBuffer is the largest buffer, in bytes, that is kept for reuse.
const maxKeptBuffer = 64 << 10

// release gives the encoder back; its buffer must not be used any more.
func (e *encoder) release() {
	if e.buf.Cap() > maxKeptBuffer {
		return
	}
	e.buf.Reset()
	encoders.Put(e)
}

// encode appends v to the buffer. A nil v is an empty payload.
func (e *encoder) encode(v any) error {
	if v == nil {
		return nil
	}
	return trace.Wrap(e.enc.Encode(v), "encode message")
}

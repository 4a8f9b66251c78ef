package peer

import (
	"bytes"
	"slices"
	"sync"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode encodes v as msgpack. Structs are encoded as arrays of their fields in
// declaration order, without field names, and decoded only from as many: a message
// that changes needs an encoding of its own to pass between builds.
func Encode(v any) ([]byte, error) {
	e := getEncoder()
	defer e.release()
	if err := e.encode(v); err != nil {
		return nil, err
	}
	return slices.Clone(e.buf.Bytes()), nil
}

// Decode decodes a msgpack payload into v.
func Decode(payload []byte, v any) error {
	return trace.Wrap(msgpack.Unmarshal(payload, v), "decode message")
}

// encoderPool reuses encoders together with their buffers.
var encoderPool = sync.Pool{New: func() any { return newEncoder() }}

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

func getEncoder() *encoder { return encoderPool.Get().(*encoder) }

// maxPooledBufferBytes is the largest buffer that is returned to a pool.
const maxPooledBufferBytes = 64 << 10

// release returns the encoder to the pool. Its buffer must not be used afterwards.
func (e *encoder) release() {
	if e.buf.Cap() > maxPooledBufferBytes {
		return
	}
	e.buf.Reset()
	encoderPool.Put(e)
}

// encode appends v to the buffer. A nil v is encoded as an empty payload.
func (e *encoder) encode(v any) error {
	if v == nil {
		return nil
	}
	return trace.Wrap(e.enc.Encode(v), "encode message")
}

// Package pack compresses messages that list many similar values.
package pack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"

	"masticturn/internal/peer"
)

// Pack encodes and compresses a value.
func Pack(v any) ([]byte, error) {
	raw, err := peer.Encode(v)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// Unpack is the inverse of Pack. Its input is untrusted: it fails if the decompressed value is larger than
// maxBytes.
func Unpack(packed []byte, maxBytes int64, v any) error {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	raw, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return trace.Wrap(err, "decompress message")
	}
	if int64(len(raw)) > maxBytes {
		return trace.LimitExceeded("decompressed message exceeds %d bytes", maxBytes)
	}
	return peer.Decode(raw, v)
}

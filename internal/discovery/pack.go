package discovery

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"

	"masticturn/internal/peer"
	"masticturn/internal/platform"
)

// maxUnpackedBytes is the limit of a decompressed list.
const maxUnpackedBytes = 16 << 20

// packObjects encodes and compresses a list of objects. The entries are similar and compress
// well, and many VMs fetch the list when a fleet starts.
func packObjects(objects []platform.Object) ([]byte, error) {
	raw, err := peer.Encode(objects)
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

// unpackObjects is the inverse of packObjects. Its input is untrusted.
func unpackObjects(packed []byte) ([]platform.Object, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, trace.Wrap(err, "decompress list of objects")
	}
	if len(raw) > maxUnpackedBytes {
		return nil, trace.LimitExceeded("decompressed list of objects exceeds %d bytes", maxUnpackedBytes)
	}
	var objects []platform.Object
	return objects, peer.Decode(raw, &objects)
}

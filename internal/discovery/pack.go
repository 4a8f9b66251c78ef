package discovery

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"

	"masticturn/internal/peer"
	"masticturn/internal/platform"
)

// maxUnpackedBytes bounds an unpacked list.
const maxUnpackedBytes = 16 << 20

// packObjects compresses a list. Its entries are alike, and many VMs fetch it when a fleet
// starts.
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

// unpackObjects is the inverse of packObjects, for any input.
func unpackObjects(packed []byte) ([]platform.Object, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, trace.Wrap(err, "unpack a list")
	}
	if len(raw) > maxUnpackedBytes {
		return nil, trace.LimitExceeded("a list of more than %d bytes", maxUnpackedBytes)
	}
	var objects []platform.Object
	return objects, peer.Decode(raw, &objects)
}

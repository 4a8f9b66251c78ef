package discovery

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"

	"masticturn/internal/peer"
	"masticturn/internal/platform"
)

// unpackedMost is the longest list that is unpacked, in bytes: several times what
// the targets of a deployment at the size to design for take.
const unpackedMost = 16 << 20

// packObjects compresses a list, whose entries are alike: one VM tells it to many
// others when a fleet starts, over a link that is narrow.
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

// unpackObjects is the inverse of packObjects. Any bytes may come.
func unpackObjects(packed []byte) ([]platform.Object, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	raw, err := io.ReadAll(io.LimitReader(r, unpackedMost+1))
	if err != nil {
		return nil, trace.Wrap(err, "unpack a list")
	}
	if len(raw) > unpackedMost {
		return nil, trace.LimitExceeded("a list of more than %d bytes", unpackedMost)
	}
	var objects []platform.Object
	return objects, peer.Decode(raw, &objects)
}

package discovery

import (
	"masticturn/internal/pack"
	"masticturn/internal/platform"
)

// maxUnpackedBytes is the limit of a decompressed list. An entry of a target takes some 300 bytes.
const maxUnpackedBytes = 16 << 20

// packObjects compresses a list of objects. The entries are similar and compress well, and many VMs
// fetch the list when a fleet starts.
func packObjects(objects []platform.Object) ([]byte, error) { return pack.Pack(objects) }

// unpackObjects is the inverse of packObjects. Its input is untrusted.
func unpackObjects(packed []byte) ([]platform.Object, error) {
	var objects []platform.Object
	return objects, pack.Unpack(packed, maxUnpackedBytes, &objects)
}

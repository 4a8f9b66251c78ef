package roster

import "masticturn/internal/pack"

// request is the request of peer.KindRoster.
type request struct {
	OwnStateOnly bool // only whether the sender is stored is requested
}

// response is the response to a request.
type response struct {
	Complete     bool   // the responder's list is complete; otherwise nothing else is set
	SenderStored bool   // the store has the sender
	Packed       []byte // a knownVMs packed by pack.Pack
}

// knownVMs lists the VMs that a VM knows.
type knownVMs struct {
	Stored []VM // the store has them
	Others []VM
}

// maxUnpackedBytes limits an unpacked list. A VM takes some 40 bytes.
const maxUnpackedBytes = 4 << 20

func (r *response) pack(known knownVMs) error {
	packed, err := pack.Pack(known)
	r.Packed = packed
	return err
}

// unpack reverses pack. The response is untrusted.
func (r *response) unpack() (known knownVMs, err error) {
	err = pack.Unpack(r.Packed, maxUnpackedBytes, &known)
	return known, err
}

package membership

import "masticturn/internal/pack"

const (
	// minPackedRecords is the number of records from which on a response is packed.
	minPackedRecords = 32
	// maxUnpackedBytes limits an unpacked table. A record takes some 120 bytes.
	maxUnpackedBytes = 4 << 20
)

// pack replaces the records of a large table by their packed form.
func (r *JoinResponse) pack() error {
	if len(r.Records) < minPackedRecords {
		return nil
	}
	packed, err := pack.Pack(r.Records)
	if err != nil {
		return err
	}
	r.Records, r.Packed = nil, packed
	return nil
}

// unpack reverses pack. The response is untrusted.
func (r *JoinResponse) unpack() error {
	if r.Packed == nil {
		return nil
	}
	return pack.Unpack(r.Packed, maxUnpackedBytes, &r.Records)
}

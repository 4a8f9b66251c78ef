package placement

import (
	"github.com/vmihailenco/msgpack/v5"
)

// The fields of a Usage by name, in the order in which older builds encode the first ones as an array.
var usageFields = []string{"r", "o", "v", "d", "a"}

var (
	_ msgpack.CustomEncoder = (*Usage)(nil)
	_ msgpack.CustomDecoder = (*Usage)(nil)
)

// field returns a pointer to the field of a name; nil if there is none.
func (u *Usage) field(name string) any {
	switch name {
	case "r":
		return &u.Running
	case "o":
		return &u.Objects
	case "v":
		return &u.Speeds
	case "d":
		return &u.Demand
	case "a":
		return &u.Limits
	}
	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder. It encodes a map of the fields that are set: builds that
// know fewer fields skip the others of a map, but reject an array of another length. It returns the errors
// of the encoder.
func (u *Usage) EncodeMsgpack(e *msgpack.Encoder) error {
	set := map[string]bool{
		"r": len(u.Running) > 0, "o": len(u.Objects) > 0, "v": len(u.Speeds) > 0,
		"d": u.Demand != nil, "a": u.Limits != nil,
	}
	n := 0
	for _, isSet := range set {
		if isSet {
			n++
		}
	}
	if err := e.EncodeMapLen(n); err != nil {
		return err
	}
	for _, name := range usageFields {
		if !set[name] {
			continue
		}
		if err := e.EncodeString(name); err != nil {
			return err
		}
		if err := e.Encode(u.field(name)); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder. It accepts a map of fields and the array of older builds,
// skips what it does not know, and returns the errors of the decoder.
func (u *Usage) DecodeMsgpack(d *msgpack.Decoder) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if !isMapCode(code) {
		n, err := d.DecodeArrayLen()
		if err != nil {
			return err
		}
		for i := range n {
			name := ""
			if i < len(usageFields) {
				name = usageFields[i]
			}
			if err := u.decodeField(d, name); err != nil {
				return err
			}
		}
		return nil
	}
	n, err := d.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return err
		}
		if err := u.decodeField(d, name); err != nil {
			return err
		}
	}
	return nil
}

func (u *Usage) decodeField(d *msgpack.Decoder, name string) error {
	if field := u.field(name); field != nil {
		return d.Decode(field)
	}
	return d.Skip()
}

// isMapCode reports whether a msgpack value that begins with the code is a map.
func isMapCode(code byte) bool {
	const fixMap, fixMapEnd, map16, map32 = 0x80, 0x8f, 0xde, 0xdf
	return code >= fixMap && code <= fixMapEnd || code == map16 || code == map32
}

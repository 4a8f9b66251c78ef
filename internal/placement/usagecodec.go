package placement

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Messages encode structs as arrays, and a decoder rejects an array with more elements than its
// struct has fields. A Usage without optional fields is therefore encoded as the array of its first two
// fields, which every build reads, and one with optional fields as a map, in which older builds skip the
// keys that they don't know.

var (
	_ msgpack.CustomEncoder = (*Usage)(nil)
	_ msgpack.CustomDecoder = (*Usage)(nil)
)

// usageField is a field of Usage on the wire.
type usageField struct {
	key    string
	set    bool // the field has a value
	encode func(*msgpack.Encoder) error
	value  any // pointer to the field, for decoding
}

// requiredFields is the number of fields that every Usage has.
const requiredFields = 2

// fields lists the fields in the order of the array encoding.
func (u *Usage) fields() []usageField {
	plain := func(v any) func(*msgpack.Encoder) error {
		return func(e *msgpack.Encoder) error { return e.Encode(v) }
	}
	return []usageField{
		{"r", true, plain(u.Running), &u.Running},
		{"o", true, plain(u.Objects), &u.Objects},
		{"v", len(u.Speeds) > 0, plain(u.Speeds), &u.Speeds},
		{"d", u.Demand != nil, plain(u.Demand), &u.Demand},
		{"a", u.Limits != nil, plain(u.Limits), &u.Limits},
		{"s", u.Split != nil, encodeFractions(u.Split), &u.Split},
		{"f", len(u.Spare) > 0, encodeFractions(u.Spare), &u.Spare},
	}
}

// encodeFractions encodes values with the precision of float32, which halves their size.
func encodeFractions(m map[string]float64) func(*msgpack.Encoder) error {
	return func(e *msgpack.Encoder) error {
		if err := e.EncodeMapLen(len(m)); err != nil {
			return err
		}
		for key, value := range m {
			if err := e.EncodeString(key); err != nil {
				return err
			}
			if err := e.EncodeFloat32(float32(value)); err != nil {
				return err
			}
		}
		return nil
	}
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (u *Usage) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := u.fields()
	set := 0
	for _, f := range fields {
		if f.set {
			set++
		}
	}
	if set == requiredFields {
		return encodeArray(e, fields[:requiredFields])
	}
	if err := e.EncodeMapLen(set); err != nil {
		return err
	}
	for _, f := range fields {
		if !f.set {
			continue
		}
		if err := e.EncodeString(f.key); err != nil {
			return err
		}
		if err := f.encode(e); err != nil {
			return err
		}
	}
	return nil
}

func encodeArray(e *msgpack.Encoder, fields []usageField) error {
	if err := e.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	for _, f := range fields {
		if err := f.encode(e); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder. It skips fields that it does not know.
func (u *Usage) DecodeMsgpack(d *msgpack.Decoder) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	fields := u.fields()
	if msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32 {
		return decodeMap(d, fields)
	}
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i >= len(fields) {
			err = d.Skip()
		} else {
			err = d.Decode(fields[i].value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func decodeMap(d *msgpack.Decoder, fields []usageField) error {
	n, err := d.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		key, err := d.DecodeString()
		if err != nil {
			return err
		}
		if err := decodeField(d, fields, key); err != nil {
			return err
		}
	}
	return nil
}

func decodeField(d *msgpack.Decoder, fields []usageField, key string) error {
	for _, f := range fields {
		if f.key == key {
			return d.Decode(f.value)
		}
	}
	return d.Skip()
}

package discovery

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Structs are encoded as arrays, which the decoder takes only with the same number of fields. Polls and their answers
// pass between builds with different numbers of fields, so they have encodings of their own.

var (
	_ msgpack.CustomEncoder = (*pollRequest)(nil)
	_ msgpack.CustomDecoder = (*pollRequest)(nil)
	_ msgpack.CustomEncoder = (*pollAnswer)(nil)
	_ msgpack.CustomDecoder = (*pollAnswer)(nil)
)

// namedField is a field of a map-encoded message.
type namedField struct {
	name  string
	value any // pointer to the field
}

func (r *pollRequest) fields() []namedField {
	return []namedField{{"Kind", &r.Kind}, {"Since", &r.Since}, {"Now", &r.Now}, {"Eras", &r.Eras}, {"Deltas", &r.Deltas}}
}

// EncodeMsgpack implements msgpack.CustomEncoder. A request is a map, of which earlier builds skip what they don't know.
func (r *pollRequest) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := r.fields()
	if err := e.EncodeMapLen(len(fields)); err != nil {
		return err
	}
	for _, f := range fields {
		if err := e.EncodeMulti(f.name, f.value); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder. Earlier builds send an array of the first fields.
func (r *pollRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32 {
		var values []any
		for _, f := range r.fields() {
			values = append(values, f.value)
		}
		return decodeArray(d, values)
	}
	n, err := d.DecodeMapLen()
	if err != nil {
		return err
	}
	for range n {
		if err := r.decodeField(d); err != nil {
			return err
		}
	}
	return nil
}

// decodeField decodes a field with its name. It skips one that it does not know.
func (r *pollRequest) decodeField(d *msgpack.Decoder) error {
	name, err := d.DecodeString()
	if err != nil {
		return err
	}
	for _, f := range r.fields() {
		if f.name == name {
			return d.Decode(f.value)
		}
	}
	return d.Skip()
}

// fields returns pointers to the fields in their order. Those after the first answerFields are left out if they are
// not set.
func (a *pollAnswer) fields() []any {
	return []any{
		&a.Complete, &a.Changed, &a.Removed, &a.AsOf, &a.Age, &a.Packed, &a.Confirmed, &a.ConfirmedAt, &a.Withheld, &a.Path,
		&a.Deltas,
	}
}

// answerFields is the number of fields of an answer to an earlier build.
const answerFields = 10

// EncodeMsgpack implements msgpack.CustomEncoder.
func (a *pollAnswer) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := a.fields()
	if len(a.Deltas) == 0 {
		fields = fields[:answerFields]
	}
	if err := e.EncodeArrayLen(len(fields)); err != nil {
		return err
	}
	return e.EncodeMulti(fields...)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *pollAnswer) DecodeMsgpack(d *msgpack.Decoder) error { return decodeArray(d, a.fields()) }

// decodeArray decodes an array into the values that the pointers refer to. The array may have fewer or more elements.
func decodeArray(d *msgpack.Decoder, pointers []any) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i < len(pointers) {
			err = d.Decode(pointers[i])
		} else {
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

package config

import (
	"reflect"
	"slices"
)

// Merge puts the changes from base to mine on top of theirs, element by
// element and field by field. Where both changed the same, mine is taken and
// the place is named in overlaps, for the operator to look at. None of the
// documents is changed; the result shares nothing with them.
func Merge(base, mine, theirs *Document) (merged *Document, overlaps []string, err error) {
	merged, err = Clone(theirs)
	if err != nil {
		return nil, nil, err
	}
	own, err := Clone(mine)
	if err != nil {
		return nil, nil, err
	}
	m := &merger{}
	m.structs("", valueOf(base), valueOf(own), valueOf(merged))
	return merged, m.overlaps, nil
}

func valueOf(doc *Document) reflect.Value { return reflect.ValueOf(doc).Elem() }

// merger merges into the value named theirs.
type merger struct {
	overlaps []string
}

func (m *merger) overlap(what string) { m.overlaps = append(m.overlaps, what) }

func (m *merger) structs(subject string, base, mine, theirs reflect.Value) {
	t := theirs.Type()
	for i := range t.NumField() {
		m.field(subject, jsonName(t.Field(i)), base.Field(i), mine.Field(i), theirs.Field(i))
	}
}

func (m *merger) field(subject, name string, base, mine, theirs reflect.Value) {
	switch {
	case theirs.Kind() == reflect.Struct:
		m.structs(nested(subject, name), base, mine, theirs)
	case theirs.Kind() == reflect.Slice && theirs.Type().Elem().Kind() == reflect.Struct:
		theirs.Set(m.lists(subject, base, mine, theirs))
	case equalValues(base, mine):
	default:
		if !equalValues(base, theirs) && !equalValues(mine, theirs) {
			m.overlap(nested(subject, name))
		}
		theirs.Set(mine)
	}
}

// lists merges lists whose elements are matched by their keys.
func (m *merger) lists(subject string, base, mine, theirs reflect.Value) reflect.Value {
	old, own, other := keyed(base), keyed(mine), keyed(theirs)
	out := reflect.MakeSlice(theirs.Type(), 0, theirs.Len())
	for _, key := range mergedOrder(old, own, other) {
		if element, ok := m.element(inside(subject, key), old.elements[key], own.elements[key], other.elements[key]); ok {
			out = reflect.Append(out, element)
		}
	}
	return out
}

// element merges one element, whose values are invalid where it is missing. It
// reports false when the element is not in the result.
func (m *merger) element(subject string, old, own, other reflect.Value) (reflect.Value, bool) {
	switch {
	case own.IsValid() && other.IsValid():
		if !old.IsValid() {
			old = reflect.Zero(own.Type())
		}
		result := reflect.New(other.Type()).Elem()
		result.Set(other)
		m.structs(subject, old, own, result)
		return result, true
	case !old.IsValid() && own.IsValid():
		return own, true
	case !old.IsValid():
		return other, true
	case own.IsValid(): // removed by them
		if equalValues(old, own) {
			return own, false
		}
		m.overlap(subject)
		return own, true
	default: // removed by me
		if other.IsValid() && !equalValues(old, other) {
			m.overlap(subject)
		}
		return other, false
	}
}

// mergedOrder returns the keys of both lists: in my order if I changed it, else
// in theirs. A key that only the other list holds follows the one that it
// follows there.
func mergedOrder(old, own, other *keyedList) []string {
	first, second := other, own
	if !slices.Equal(common(own, old), common(old, own)) {
		first, second = own, other
	}
	order := slices.Clone(first.order)
	for i, key := range second.order {
		if first.elements[key].IsValid() {
			continue
		}
		at := 0
		if i > 0 {
			at = slices.Index(order, second.order[i-1]) + 1
		}
		order = slices.Insert(order, at, key)
	}
	return order
}

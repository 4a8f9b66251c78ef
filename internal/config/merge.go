package config

import (
	"reflect"
	"slices"
)

// Merge performs a three-way merge by element and field: it applies the changes
// from base to mine to a copy of theirs. If both sides changed the same field or
// element, mine wins and its name is added to overlaps for the operator to
// review. The inputs are not modified, and the result shares no memory with them.
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
	m.mergeStructs("", documentValue(base), documentValue(own), documentValue(merged))
	return merged, m.overlaps, nil
}

func documentValue(doc *Document) reflect.Value { return reflect.ValueOf(doc).Elem() }

// merger performs the merge in place, in the value named theirs.
type merger struct {
	overlaps []string
}

func (m *merger) addOverlap(what string) { m.overlaps = append(m.overlaps, what) }

func (m *merger) mergeStructs(subject string, base, mine, theirs reflect.Value) {
	t := theirs.Type()
	for i := range t.NumField() {
		m.mergeField(subject, jsonName(t.Field(i)), base.Field(i), mine.Field(i), theirs.Field(i))
	}
}

func (m *merger) mergeField(subject, name string, base, mine, theirs reflect.Value) {
	switch {
	case theirs.Kind() == reflect.Struct:
		m.mergeStructs(fieldSubject(subject, name), base, mine, theirs)
	case theirs.Kind() == reflect.Slice && theirs.Type().Elem().Kind() == reflect.Struct:
		theirs.Set(m.mergeLists(subject, base, mine, theirs))
	case equalValues(base, mine):
	default:
		if !equalValues(base, theirs) && !equalValues(mine, theirs) {
			m.addOverlap(fieldSubject(subject, name))
		}
		theirs.Set(mine)
	}
}

// mergeLists merges lists whose elements are matched by key.
func (m *merger) mergeLists(subject string, base, mine, theirs reflect.Value) reflect.Value {
	old, own, other := newKeyedList(base), newKeyedList(mine), newKeyedList(theirs)
	out := reflect.MakeSlice(theirs.Type(), 0, theirs.Len())
	for _, key := range mergedOrder(old, own, other) {
		if element, ok := m.mergeElement(elementSubject(subject, key), old.elements[key], own.elements[key], other.elements[key]); ok {
			out = reflect.Append(out, element)
		}
	}
	return out
}

// mergeElement merges one list element. A zero reflect.Value means that the
// element is missing in that document. It returns false if the merged list does
// not contain the element.
func (m *merger) mergeElement(subject string, old, own, other reflect.Value) (reflect.Value, bool) {
	switch {
	case own.IsValid() && other.IsValid():
		if !old.IsValid() {
			old = reflect.Zero(own.Type())
		}
		result := reflect.New(other.Type()).Elem()
		result.Set(other)
		m.mergeStructs(subject, old, own, result)
		return result, true
	case !old.IsValid() && own.IsValid():
		return own, true
	case !old.IsValid():
		return other, true
	case own.IsValid(): // removed in theirs
		if equalValues(old, own) {
			return own, false
		}
		m.addOverlap(subject)
		return own, true
	default: // removed in mine
		if other.IsValid() && !equalValues(old, other) {
			m.addOverlap(subject)
		}
		return other, false
	}
}

// mergedOrder returns the keys of both lists, in the order of own if own changed
// the order, otherwise in that of other. A key that only the second list has is
// inserted after the key that precedes it there.
func mergedOrder(old, own, other *keyedList) []string {
	first, second := other, own
	if !slices.Equal(commonKeys(own, old), commonKeys(old, own)) {
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

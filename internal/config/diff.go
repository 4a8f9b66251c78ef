package config

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// ChangeKind is the kind of a change.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "modified"
	ChangeMoved    ChangeKind = "moved" // another place in a list whose order has a meaning
)

// Change is one difference between two documents.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Subject string     `json:"subject"`          // what changed, such as "target x"
	Field   string     `json:"field,omitempty"`  // JSON name of the field, for ChangeModified
	Before  string     `json:"before,omitempty"` // value as readable text
	After   string     `json:"after,omitempty"`  // value as readable text
}

// String returns the change as one line, such as
// "cap rosario→buenos-aires max_fraction: 10% → 15%".
func (c Change) String() string {
	if c.Kind != ChangeModified {
		return c.Subject + ": " + string(c.Kind)
	}
	what := c.Field
	if c.Subject != "" {
		what = c.Subject + " " + c.Field
	}
	return fmt.Sprintf("%s: %s → %s", what, c.Before, c.After)
}

// Diff returns the changes that lead from one document to another, in the
// order of the document's fields. Elements of lists are matched by what
// identifies them, not by their place.
func Diff(before, after *Document) []Change {
	d := &differ{}
	d.structs("", reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem())
	return d.changes
}

type differ struct {
	changes []Change
}

// structs compares two structs of one type field by field.
func (d *differ) structs(subject string, before, after reflect.Value) {
	t := before.Type()
	for i := range t.NumField() {
		d.field(subject, jsonName(t.Field(i)), before.Field(i), after.Field(i))
	}
}

func (d *differ) field(subject, name string, before, after reflect.Value) {
	switch {
	case before.Kind() == reflect.Struct:
		d.structs(nested(subject, name), before, after)
	case before.Kind() == reflect.Slice && before.Type().Elem().Kind() == reflect.Struct:
		d.lists(subject, before, after)
	case !equalValues(before, after):
		d.changes = append(d.changes, Change{
			Kind: ChangeModified, Subject: subject, Field: name,
			Before: readable(name, before), After: readable(name, after),
		})
	}
}

func nested(subject, name string) string {
	if subject == "" {
		return name
	}
	return subject + " " + name
}

func equalValues(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// lists compares two lists of structs by the keys of their elements.
func (d *differ) lists(subject string, before, after reflect.Value) {
	old := keyed(before)
	now := keyed(after)
	for _, k := range old.order {
		if _, ok := now.elements[k]; !ok {
			d.whole(ChangeRemoved, subject, k)
		}
	}
	for _, k := range now.order {
		element, ok := old.elements[k]
		if !ok {
			d.whole(ChangeAdded, subject, k)
			continue
		}
		d.structs(inside(subject, k), element, now.elements[k])
	}
	if isOrdered(before.Type().Elem()) {
		d.moves(subject, old, now)
	}
}

func (d *differ) whole(kind ChangeKind, subject, key string) {
	d.changes = append(d.changes, Change{Kind: kind, Subject: inside(subject, key)})
}

// inside names an element together with what holds it. Targets have names of
// their own over all services.
func inside(subject, key string) string {
	if subject == "" || strings.HasPrefix(key, "target ") {
		return key
	}
	return subject + " " + key
}

// moves reports common elements that stand in another order.
func (d *differ) moves(subject string, old, now *keyedList) {
	before := common(old, now)
	after := common(now, old)
	for i := range before {
		if before[i] != after[i] {
			d.whole(ChangeMoved, subject, after[i])
		}
	}
}

func common(list, other *keyedList) []string {
	return slices.DeleteFunc(slices.Clone(list.order), func(k string) bool {
		_, ok := other.elements[k]
		return !ok
	})
}

func isOrdered(t reflect.Type) bool {
	return t == reflect.TypeFor[Route]() || t == reflect.TypeFor[Service]()
}

// keyedList is a list with its elements by key, and the keys in order.
type keyedList struct {
	order    []string
	elements map[string]reflect.Value
}

func keyed(list reflect.Value) *keyedList {
	k := &keyedList{elements: make(map[string]reflect.Value, list.Len())}
	for i := range list.Len() {
		key := keyOf(list.Index(i).Addr().Interface())
		for n := 2; k.elements[key].IsValid(); n++ {
			key = strings.TrimSuffix(key, " #"+strconv.Itoa(n-1)) + " #" + strconv.Itoa(n)
		}
		k.elements[key] = list.Index(i)
		k.order = append(k.order, key)
	}
	return k
}

// keyOf names an element of a list of the document by what identifies it.
func keyOf(element any) string {
	switch e := element.(type) {
	case *Region:
		return "region " + e.Name
	case *Link:
		return "link " + e.From + "→" + e.To
	case *Class:
		return "class " + e.Name
	case *Tenant:
		return "tenant " + e.Name
	case *Service:
		return "service " + e.Name
	case *Target:
		return "target " + e.Name
	case *ShiftCap:
		return "cap " + capKey(e)
	case *ClientBlock:
		return "block " + e.CIDR
	case *Route:
		return "route " + routeKey(e)
	default:
		return fmt.Sprintf("%T", element)
	}
}

func routeKey(r *Route) string {
	methods := "*"
	if len(r.Methods) > 0 {
		methods = strings.Join(r.Methods, ",")
	}
	return methods + " " + strconv.Quote(r.PathPrefix)
}

const percent = 100

// readable returns a value as text: fractions as percentages, empty values
// as "none".
func readable(field string, v reflect.Value) string {
	if v.Kind() == reflect.Float64 {
		if strings.HasSuffix(field, "fraction") || strings.HasPrefix(field, "headroom") {
			return strconv.FormatFloat(v.Float()*percent, 'g', 6, 64) + "%"
		}
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	}
	if v.Kind() == reflect.Slice {
		return readableList(v)
	}
	if v.IsZero() && v.Kind() == reflect.String {
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

func readableList(v reflect.Value) string {
	if v.Len() == 0 {
		return "none"
	}
	parts := make([]string, v.Len())
	for i := range parts {
		parts[i] = fmt.Sprint(v.Index(i).Interface())
	}
	return strings.Join(parts, ", ")
}

package config

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// ChangeKind tells how an element or a field changed.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "modified"
	ChangeMoved    ChangeKind = "moved" // position changed in a list whose order matters
)

// Change describes one difference between two documents.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Subject string     `json:"subject"`          // changed element, such as "target x"
	Field   string     `json:"field,omitempty"`  // JSON name of the field, for ChangeModified
	Before  string     `json:"before,omitempty"` // value as readable text
	After   string     `json:"after,omitempty"`  // value as readable text
}

// String formats the change as a single line, such as
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

// Diff returns the changes between two documents, in the order of the document's
// fields. List elements are matched by key, not by position.
func Diff(before, after *Document) []Change {
	d := &differ{}
	d.diffStructs("", reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem())
	return d.changes
}

type differ struct {
	changes []Change
}

// diffStructs compares two structs of the same type field by field.
func (d *differ) diffStructs(subject string, before, after reflect.Value) {
	t := before.Type()
	for i := range t.NumField() {
		d.diffField(subject, jsonName(t.Field(i)), before.Field(i), after.Field(i))
	}
}

func (d *differ) diffField(subject, name string, before, after reflect.Value) {
	switch {
	case before.Kind() == reflect.Struct:
		d.diffStructs(fieldSubject(subject, name), before, after)
	case before.Kind() == reflect.Slice && before.Type().Elem().Kind() == reflect.Struct:
		d.diffLists(subject, before, after)
	case !equalValues(before, after):
		d.changes = append(d.changes, Change{
			Kind: ChangeModified, Subject: subject, Field: name,
			Before: displayValue(name, before), After: displayValue(name, after),
		})
	}
}

func fieldSubject(subject, name string) string {
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

// diffLists compares two lists of structs whose elements are matched by key.
func (d *differ) diffLists(subject string, before, after reflect.Value) {
	old := newKeyedList(before)
	now := newKeyedList(after)
	for _, k := range old.order {
		if _, ok := now.elements[k]; !ok {
			d.addElementChange(ChangeRemoved, subject, k)
		}
	}
	for _, k := range now.order {
		element, ok := old.elements[k]
		if !ok {
			d.addElementChange(ChangeAdded, subject, k)
			continue
		}
		d.diffStructs(elementSubject(subject, k), element, now.elements[k])
	}
	if isOrdered(before.Type().Elem()) {
		d.diffOrder(subject, old, now)
	}
}

func (d *differ) addElementChange(kind ChangeKind, subject, key string) {
	d.changes = append(d.changes, Change{Kind: kind, Subject: elementSubject(subject, key)})
}

// elementSubject qualifies the key of an element with the subject that contains it.
// Target names are unique across services and are not qualified.
func elementSubject(subject, key string) string {
	if subject == "" || strings.HasPrefix(key, "target ") {
		return key
	}
	return subject + " " + key
}

// diffOrder reports elements of both lists whose relative order changed.
func (d *differ) diffOrder(subject string, old, now *keyedList) {
	before := commonKeys(old, now)
	after := commonKeys(now, old)
	for i := range before {
		if before[i] != after[i] {
			d.addElementChange(ChangeMoved, subject, after[i])
		}
	}
}

func commonKeys(list, other *keyedList) []string {
	return slices.DeleteFunc(slices.Clone(list.order), func(k string) bool {
		_, ok := other.elements[k]
		return !ok
	})
}

func isOrdered(t reflect.Type) bool {
	return t == reflect.TypeFor[Route]() || t == reflect.TypeFor[Service]()
}

// keyedList holds the elements of a list by key, and the keys in list order.
type keyedList struct {
	order    []string
	elements map[string]reflect.Value
}

func newKeyedList(list reflect.Value) *keyedList {
	k := &keyedList{elements: make(map[string]reflect.Value, list.Len())}
	for i := range list.Len() {
		key := elementKey(list.Index(i).Addr().Interface())
		for n := 2; k.elements[key].IsValid(); n++ {
			key = strings.TrimSuffix(key, " #"+strconv.Itoa(n-1)) + " #" + strconv.Itoa(n)
		}
		k.elements[key] = list.Index(i)
		k.order = append(k.order, key)
	}
	return k
}

// elementKey returns the key that identifies a list element of the document.
func elementKey(element any) string {
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

// displayValue formats a value for display: fractions as percentages, empty
// strings and lists as "none".
func displayValue(field string, v reflect.Value) string {
	if v.Kind() == reflect.Float64 {
		if strings.HasSuffix(field, "fraction") || strings.HasPrefix(field, "headroom") {
			return strconv.FormatFloat(v.Float()*percent, 'g', 6, 64) + "%"
		}
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	}
	if v.Kind() == reflect.Slice {
		return displayList(v)
	}
	if v.IsZero() && v.Kind() == reflect.String {
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

func displayList(v reflect.Value) string {
	if v.Len() == 0 {
		return "none"
	}
	parts := make([]string, v.Len())
	for i := range parts {
		parts[i] = fmt.Sprint(v.Index(i).Interface())
	}
	return strings.Join(parts, ", ")
}

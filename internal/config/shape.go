package config

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// shape compares a parsed text with the types of the document.
type shape struct {
	faultList
	raw []byte
}

// checkShape reports every unknown field, repeated field and value of a wrong
// type.
func checkShape(raw []byte, value *hujson.Value) error {
	s := &shape{raw: raw}
	s.check("", value, reflect.TypeFor[Document]())
	return s.err()
}

func (s *shape) check(path string, v *hujson.Value, t reflect.Type) {
	switch t.Kind() {
	case reflect.Struct:
		s.checkObject(path, v, t)
	case reflect.Slice:
		s.checkList(path, v, t)
	default:
		s.checkLiteral(path, v, t)
	}
}

func (s *shape) checkObject(path string, v *hujson.Value, t reflect.Type) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		s.fault(path, v, "an object")
		return
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		member := &obj.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		field, known := fields[name]
		switch {
		case !known:
			s.fault(join(path, name), &member.Name, "one of the fields "+strings.Join(fieldNames(t), ", "))
		case seen[name]:
			s.fault(join(path, name), &member.Name, "each field once")
		default:
			s.check(join(path, name), &member.Value, field)
		}
		seen[name] = true
	}
}

// checkList accepts null for an empty list, as Encode writes it.
func (s *shape) checkList(path string, v *hujson.Value, t reflect.Type) {
	if isNull(v) {
		return
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		s.fault(path, v, "a list")
		return
	}
	for i := range list.Elements {
		s.check(at(path, i), &list.Elements[i], t.Elem())
	}
}

func (s *shape) checkLiteral(path string, v *hujson.Value, t reflect.Type) {
	literal, ok := v.Value.(hujson.Literal)
	if ok && !isNull(v) && json.Unmarshal(literal, reflect.New(t).Interface()) == nil {
		return
	}
	s.fault(path, v, allowedLiteral(t))
}

func isNull(v *hujson.Value) bool {
	literal, ok := v.Value.(hujson.Literal)
	return ok && string(literal) == "null"
}

func allowedLiteral(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func (s *shape) fault(path string, v *hujson.Value, allowed string) {
	s.add(Fault{
		Path:    path,
		Value:   describe(v),
		Allowed: allowed,
		Line:    lineAt(s.raw, v.StartOffset),
	})
}

func describe(v *hujson.Value) string {
	switch v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	}
	return strings.TrimSpace(string(v.Value.(hujson.Literal)))
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = t.Field(i).Type
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = strconv.Quote(jsonName(t.Field(i)))
	}
	return names
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

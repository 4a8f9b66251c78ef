package config

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// shapeChecker checks a parsed text against the Go types of the document.
type shapeChecker struct {
	faultList
	raw []byte
}

// checkShape reports all unknown fields, duplicate fields and values of the wrong
// type.
func checkShape(raw []byte, value *hujson.Value) error {
	s := &shapeChecker{raw: raw}
	s.check("", value, reflect.TypeFor[Document]())
	return s.err()
}

func (s *shapeChecker) check(path string, v *hujson.Value, t reflect.Type) {
	switch t.Kind() {
	case reflect.Struct:
		s.checkObject(path, v, t)
	case reflect.Slice:
		s.checkList(path, v, t)
	default:
		s.checkLiteral(path, v, t)
	}
}

func (s *shapeChecker) checkObject(path string, v *hujson.Value, t reflect.Type) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		s.addFault(path, v, "an object")
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
			s.addFault(joinPath(path, name), &member.Name, "one of the fields "+strings.Join(fieldNames(t), ", "))
		case seen[name]:
			s.addFault(joinPath(path, name), &member.Name, "each field once")
		default:
			s.check(joinPath(path, name), &member.Value, field)
		}
		seen[name] = true
	}
}

// checkList accepts null as an empty list, because Encode writes nil slices as
// null.
func (s *shapeChecker) checkList(path string, v *hujson.Value, t reflect.Type) {
	if isNull(v) {
		return
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		s.addFault(path, v, "a list")
		return
	}
	for i := range list.Elements {
		s.check(elementPath(path, i), &list.Elements[i], t.Elem())
	}
}

func (s *shapeChecker) checkLiteral(path string, v *hujson.Value, t reflect.Type) {
	literal, ok := v.Value.(hujson.Literal)
	if ok && !isNull(v) && json.Unmarshal(literal, reflect.New(t).Interface()) == nil {
		return
	}
	s.addFault(path, v, allowedLiteral(t))
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

func (s *shapeChecker) addFault(path string, v *hujson.Value, allowed string) {
	s.add(Fault{
		Path:    path,
		Value:   describeValue(v),
		Allowed: allowed,
		Line:    lineAt(s.raw, v.StartOffset),
	})
}

func describeValue(v *hujson.Value) string {
	switch v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	}
	return strings.TrimSpace(string(v.Value.(hujson.Literal)))
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsOf returns the types of the fields of a struct by JSON name.
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

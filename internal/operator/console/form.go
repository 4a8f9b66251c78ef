package console

import (
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"masticturn/internal/config"
)

// kind is the kind of an input.
type kind string

// The kinds of inputs.
const (
	kindText     kind = "text"
	kindNumber   kind = "number"
	kindCheckbox kind = "checkbox"
	kindSelect   kind = "select"
)

// field is one input of a form. Its path is that of the document's faults.
type field struct {
	Path     string
	Label    string
	Help     string
	Unit     string
	Kind     kind
	Value    string
	Checked  bool
	Step     string // of a number
	Options  []option
	DataList string // id of the list of suggestions; empty if none
	Faults   []string
}

// option is one choice of a select.
type option struct {
	Value, Label string
	Selected     bool
}

// child is a list within an element, edited on a page of its own.
type child struct {
	Path   string // of the page
	Label  string
	Count  int
	Faults int
}

// group is the inputs of one struct: a section, or an element of a list.
type group struct {
	Index    int
	Title    string
	Fields   []field
	Children []child
	Faults   []string // of the whole element
}

// forms renders structs of the document as inputs and reads them back.
type forms struct {
	policies []string
}

func newForms(policies []string) *forms { return &forms{policies: policies} }

// isList reports whether a value is a list of structs.
func isList(v reflect.Value) bool {
	return v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct
}

// group renders the struct at a path. Values that were posted but could not be
// read are shown as they were posted.
func (f *forms) group(path string, v reflect.Value, faults faultIndex, posted url.Values) group {
	g := group{Faults: faults.at(path)}
	t := v.Type()
	for i := range t.NumField() {
		name := jsonName(t.Field(i))
		at := join(path, name)
		switch {
		case isList(v.Field(i)):
			g.Children = append(g.Children, child{
				Path: pagePath(at), Label: labelOf(t, t.Field(i)), Count: v.Field(i).Len(), Faults: faults.below(at),
			})
		case v.Field(i).Kind() != reflect.Struct:
			g.Fields = append(g.Fields, f.field(at, t, t.Field(i), v.Field(i), faults, posted))
		}
	}
	return g
}

func (f *forms) field(path string, t reflect.Type, sf reflect.StructField, v reflect.Value, faults faultIndex, posted url.Values) field {
	out := field{
		Path: path, Label: labelOf(t, sf), Help: helpOf(t, sf), Unit: unitOf(sf),
		Kind: kindText, Value: show(v), DataList: suggestions[t.Name()+"."+sf.Name], Faults: faults.under(path),
	}
	switch v.Kind() {
	case reflect.Bool:
		out.Kind, out.Checked = kindCheckbox, v.Bool()
	case reflect.Int, reflect.Int64:
		out.Kind, out.Step = kindNumber, "1"
	case reflect.Float64:
		out.Kind, out.Step = kindNumber, "any"
	case reflect.Slice:
		out.Unit = "separated by commas"
	}
	if choices := f.choices(t, sf, out.Value); choices != nil {
		out.Kind, out.Options = kindSelect, choices
	}
	if values, ok := posted[path]; ok && out.Kind != kindCheckbox {
		out.Value = values[len(values)-1]
	}
	return out
}

// choices returns the choices of a field that allows few values, nil for other
// fields. A value that is none of them is offered as it is.
func (f *forms) choices(t reflect.Type, sf reflect.StructField, value string) []option {
	var out []option
	switch {
	case sf.Type == reflect.TypeFor[config.Repeat]():
		out = []option{
			{Value: string(config.RepeatByMethod), Label: "by method"},
			{Value: string(config.RepeatAllowed), Label: "allowed"},
			{Value: string(config.RepeatNever), Label: "never"},
		}
	case t == reflect.TypeFor[config.Steering]() && sf.Name == "Policy" && len(f.policies) > 0:
		out = append(out, option{Label: "default"})
		for _, p := range f.policies {
			out = append(out, option{Value: p, Label: p})
		}
	default:
		return nil
	}
	for i := range out {
		if out[i].Value == value {
			out[i].Selected = true
			return out
		}
	}
	return append(out, option{Value: value, Label: value, Selected: true})
}

// show returns a value as the text of an input.
func show(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return v.String()
	case reflect.Int, reflect.Int64:
		return strconv.FormatInt(v.Int(), 10)
	case reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	case reflect.Slice:
		return strings.Join(v.Interface().([]string), ", ")
	}
	return ""
}

// read takes the posted values of the struct at a path into it. Values that
// cannot be read are left as they were and reported.
func (f *forms) read(path string, v reflect.Value, posted url.Values) (faults []config.Fault) {
	t := v.Type()
	for i := range t.NumField() {
		at := join(path, jsonName(t.Field(i)))
		values, ok := posted[at]
		if !ok || len(values) == 0 {
			continue
		}
		if allowed := set(v.Field(i), strings.TrimSpace(values[len(values)-1])); allowed != "" {
			faults = append(faults, config.Fault{Path: at, Value: strconv.Quote(values[len(values)-1]), Allowed: allowed})
		}
	}
	return faults
}

// set sets a value from the text of an input. It returns what is allowed when
// the text cannot be read.
func set(v reflect.Value, text string) (allowed string) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		v.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(orZero(text), 10, v.Type().Bits())
		if err != nil {
			return "a whole number"
		}
		v.SetInt(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(orZero(text), 64)
		if err != nil {
			return "a number"
		}
		v.SetFloat(n)
	case reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)))
	}
	return ""
}

func orZero(text string) string {
	if text == "" {
		return "0"
	}
	return text
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

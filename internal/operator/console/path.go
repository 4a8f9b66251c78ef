package console

import (
	"reflect"
	"strconv"
	"strings"

	"masticturn/internal/config"
)

// Three notations name a place of the document: the path of a fault, such as
// "services[0].targets"; the path of a page, such as "services/0/targets"; and
// the reflect.Value itself.

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// join appends a field to the path of a fault.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// element appends an index to the path of a fault.
func element(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// pagePath returns the page of a fault's path.
func pagePath(path string) string {
	return strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(path)
}

// place is a part of the document that has a page.
type place struct {
	path  string // as in faults
	value reflect.Value
	title string
}

// generalPage is the page of the fields of the document itself.
const generalPage = "general"

// resolve finds the place of a page's path.
func resolve(doc *config.Document, page string) (place, bool) {
	p := place{value: reflect.ValueOf(doc).Elem(), title: "General"}
	if page == generalPage {
		return p, true
	}
	var titles []string
	for _, part := range strings.Split(page, "/") {
		title, ok := p.step(part)
		if !ok {
			return place{}, false
		}
		titles = append(titles, title)
	}
	p.title = strings.Join(titles, ", ")
	return p, isList(p.value) || p.value.Kind() == reflect.Struct
}

// step goes down to a field or an element and returns its title.
func (p *place) step(part string) (title string, ok bool) {
	if isList(p.value) {
		i, err := strconv.Atoi(part)
		if err != nil || i < 0 || i >= p.value.Len() {
			return "", false
		}
		p.path, p.value = element(p.path, i), p.value.Index(i)
		return nameOf(p.value), true
	}
	if p.value.Kind() != reflect.Struct {
		return "", false
	}
	t := p.value.Type()
	for i := range t.NumField() {
		if f := t.Field(i); jsonName(f) == part {
			p.path, p.value = join(p.path, part), p.value.Field(i)
			return labelOf(t, f), true
		}
	}
	return "", false
}

// nameOf returns what tells an element from the others of its list: its first
// texts.
func nameOf(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		text := ""
		switch f := v.Field(i); f.Kind() {
		case reflect.String, reflect.Slice:
			if !isList(f) {
				text = show(f)
			}
		}
		name := jsonName(v.Type().Field(i))
		if text == "" {
			continue
		}
		parts = append(parts, text)
		if name == "name" || name == "cidr" || name == "service" {
			break
		}
		if len(parts) == 2 {
			break
		}
	}
	if len(parts) == 0 {
		return "new"
	}
	return strings.Join(parts, " → ")
}

// section is an entry of the navigation.
type section struct {
	Page    string
	Label   string
	Count   int // of elements; -1 for a section that is no list
	Faults  int
	Current bool
}

// sectionsOf lists the parts of the document.
func sectionsOf(doc *config.Document, faults faultIndex, current string) []section {
	out := []section{{Page: generalPage, Label: "General", Count: -1, Faults: faults.direct(), Current: current == generalPage}}
	v := reflect.ValueOf(doc).Elem()
	for i := range v.NumField() {
		f := v.Field(i)
		if !isList(f) && f.Kind() != reflect.Struct {
			continue
		}
		name := jsonName(v.Type().Field(i))
		first, _, _ := strings.Cut(current, "/")
		s := section{Page: name, Label: labelOf(v.Type(), v.Type().Field(i)), Count: -1, Faults: faults.below(name), Current: first == name}
		if isList(f) {
			s.Count = f.Len()
		}
		out = append(out, s)
	}
	return out
}

// faultIndex finds faults by the place that shows them.
type faultIndex []config.Fault

// at returns the faults of exactly this path.
func (x faultIndex) at(path string) (out []string) {
	for _, f := range x {
		if f.Path == path && path != "" {
			out = append(out, text(f))
		}
	}
	return out
}

// under returns the faults of this path and of elements of its list.
func (x faultIndex) under(path string) (out []string) {
	for _, f := range x {
		if f.Path == path || strings.HasPrefix(f.Path, path+"[") {
			out = append(out, text(f))
		}
	}
	return out
}

// below counts the faults at or below a path.
func (x faultIndex) below(path string) int {
	n := 0
	for _, f := range x {
		if f.Path == path || strings.HasPrefix(f.Path, path+"[") || strings.HasPrefix(f.Path, path+".") {
			n++
		}
	}
	return n
}

// direct counts the faults of the document's own fields.
func (x faultIndex) direct() int {
	n := 0
	t := reflect.TypeFor[config.Document]()
	for i := range t.NumField() {
		if t.Field(i).Type.Kind() == reflect.String {
			n += len(x.at(jsonName(t.Field(i))))
		}
	}
	return n
}

func text(f config.Fault) string { return "got " + f.Value + "; allowed: " + f.Allowed }

package console

import (
	"net/http"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"masticturn/internal/config"
	"masticturn/internal/edge"
)

// rowsPerPage bounds the elements of a list on one page.
const rowsPerPage = 50

// The actions of an edit form, the value of its buttons. Those with an index
// carry it after a colon.
const (
	fieldAction  = "action"
	actionAdd    = "add"
	actionRemove = "remove"
	actionUp     = "up"
	queryPage    = "page"
)

// editPage is what the template of an edit form shows.
type editPage struct {
	Title     string
	Page      string // path of the page
	Parent    string // page of the list that holds this one; empty if none
	List      bool
	Ordered   bool // the order of the elements has a meaning
	Groups    []group
	Rows      int // elements in all
	Number    int // of this page of rows, from 1
	Pages     int
	Faults    []string // of the list as a whole
	DataLists []dataList
}

// window returns the elements on a page of rows, and the numbers of the page
// and of all pages.
func window(rows int, wanted string) (from, to, number, pages int) {
	pages = max(1, (rows+rowsPerPage-1)/rowsPerPage)
	number, err := strconv.Atoi(wanted)
	if err != nil || number < 1 {
		number = 1
	}
	number = min(number, pages)
	from = (number - 1) * rowsPerPage
	return from, min(from+rowsPerPage, rows), number, pages
}

// partOf returns the draft, the path of the page, and the part of the draft
// that it is about; ok is false when the problem has been answered.
func (c *Console) partOf(w http.ResponseWriter, r *http.Request, s *session) (d *draft, page string, p place, ok bool) {
	page = r.PathValue("path")
	d, err := c.currentDraft(s)
	if err != nil {
		c.problem(w, s, http.StatusInternalServerError, err.Error())
		return nil, page, place{}, false
	}
	if p, ok = resolve(d.document, page); !ok {
		c.problem(w, s, http.StatusNotFound, "The draft has no part "+page+".")
	}
	return d, page, p, ok
}

func (c *Console) showEdit(w http.ResponseWriter, r *http.Request, s *session) {
	c.renderEdit(w, r, s, nil, nil)
}

// renderEdit shows a part of the draft with the faults beside its fields, also
// those of values that could not be read.
func (c *Console) renderEdit(w http.ResponseWriter, r *http.Request, s *session, unread []config.Fault, posted url.Values) {
	d, page, p, ok := c.partOf(w, r, s)
	if !ok {
		return
	}
	faults := faultIndex(append(faultsOf(d.document), unread...))
	e := editPage{Title: p.title, Page: page, Parent: parentOf(page), DataLists: dataLists(d.document)}
	if isList(p.value) {
		c.fillList(&e, p, r.URL.Query().Get(queryPage), faults, posted)
	} else {
		e.Groups = []group{c.forms.group(p.path, p.value, faults, posted)}
		if page == generalPage {
			e.Groups[0].Children = nil // they stand in the navigation
		}
	}
	status := http.StatusOK
	if len(unread) > 0 {
		status = http.StatusUnprocessableEntity
	}
	c.render(w, s, status, "edit", p.title, page, e)
}

func (c *Console) fillList(e *editPage, p place, wanted string, faults faultIndex, posted url.Values) {
	e.List = true
	e.Rows = p.value.Len()
	e.Faults = faults.at(p.path)
	elem := p.value.Type().Elem()
	e.Ordered = elem == reflect.TypeFor[config.Route]() || elem == reflect.TypeFor[config.Service]()
	from, to, number, pages := window(e.Rows, wanted)
	e.Number, e.Pages = number, pages
	for i := from; i < to; i++ {
		g := c.forms.group(element(p.path, i), p.value.Index(i), faults, posted)
		g.Index, g.Title = i, nameOf(p.value.Index(i))
		e.Groups = append(e.Groups, g)
	}
}

// parentOf returns the list that holds the list of a page.
func parentOf(page string) string {
	parts := strings.Split(page, "/")
	if len(parts) < 3 {
		return ""
	}
	return strings.Join(parts[:len(parts)-2], "/")
}

// edit takes a form into the draft and does its action.
func (c *Console) edit(w http.ResponseWriter, r *http.Request, s *session) {
	_, page, p, ok := c.partOf(w, r, s)
	if !ok {
		return
	}
	if unread := c.readForm(p, r); len(unread) > 0 {
		c.renderEdit(w, r, s, unread, r.PostForm)
		return
	}
	rows := r.URL.Query().Get(queryPage)
	if isList(p.value) {
		rows = act(p.value, r.PostForm.Get(fieldAction), rows)
	}
	target := edge.PathConsole + "edit/" + page
	if rows != "" {
		target += "?" + url.Values{queryPage: {rows}}.Encode()
	}
	http.Redirect(w, r, target, http.StatusSeeOther)
}

func (c *Console) readForm(p place, r *http.Request) (unread []config.Fault) {
	if !isList(p.value) {
		return c.forms.read(p.path, p.value, r.PostForm)
	}
	from, to, _, _ := window(p.value.Len(), r.URL.Query().Get(queryPage))
	for i := from; i < to; i++ {
		unread = append(unread, c.forms.read(element(p.path, i), p.value.Index(i), r.PostForm)...)
	}
	return unread
}

// act adds, removes or moves an element and returns the page of rows to show.
func act(list reflect.Value, action, rows string) string {
	what, index, _ := strings.Cut(action, ":")
	i, err := strconv.Atoi(index)
	inside := err == nil && i >= 0 && i < list.Len()
	switch {
	case what == actionAdd:
		list.Set(reflect.Append(list, reflect.Zero(list.Type().Elem())))
		_, _, _, pages := window(list.Len(), "")
		return strconv.Itoa(pages)
	case what == actionRemove && inside:
		list.Set(reflect.AppendSlice(list.Slice(0, i), list.Slice(i+1, list.Len())))
	case what == actionUp && inside && i > 0:
		swap := reflect.Swapper(list.Interface())
		swap(i, i-1)
	}
	return rows
}

package console

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/edge"
	"masticturn/internal/telemetry"
)

// view is what the layout shows around a page.
type view struct {
	Title     string
	FormToken string // empty before the login
	Sections  []section
	Base      config.Generation // the draft started from
	InForce   config.Generation
	Changes   int // of the draft
	Faults    int // of the draft
	Current   string
	Page      any
}

// render writes a page.
func (c *Console) render(w http.ResponseWriter, s *session, status int, name, title, current string, page any) {
	v := view{Title: title, Current: current, Page: page}
	if snap := c.deps.Documents.Current(); snap != nil {
		v.InForce = snap.Generation
	}
	if s != nil {
		v.FormToken = s.formToken
		if d, err := c.currentDraft(s); err == nil {
			faults := faultIndex(faultsOf(d.document))
			v.Sections = sectionsOf(d.document, faults, current)
			v.Base, v.Changes, v.Faults = d.base, len(d.changes()), len(faults)
		}
	}
	var buf bytes.Buffer
	if err := c.pages[name].Execute(&buf, &v); err != nil {
		c.deps.Logger.Log(eventPageFailed, telemetry.Value("page", name), telemetry.Err(err))
		http.Error(w, "the page cannot be shown", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_, _ = buf.WriteTo(w)
}

// problem shows a message.
func (c *Console) problem(w http.ResponseWriter, s *session, status int, message string) {
	c.render(w, s, status, "problem", "Problem", "", message)
}

func (c *Console) showLogin(w http.ResponseWriter, _ *http.Request) {
	c.render(w, nil, http.StatusOK, "login", "Log in", "", "")
}

// login starts a session for the operators' token.
func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	if c.deps.CheckToken(strings.TrimSpace(r.PostFormValue("token"))) {
		c.sessions.start(w, r)
		http.Redirect(w, r, edge.PathConsole, http.StatusSeeOther)
		return
	}
	if !c.logins.Allow() {
		c.render(w, nil, http.StatusTooManyRequests, "login", "Log in", "", "Too many wrong tokens; wait a moment.")
		return
	}
	c.render(w, nil, http.StatusUnauthorized, "login", "Log in", "", "This is not the token of the operators.")
}

func (c *Console) logout(w http.ResponseWriter, r *http.Request, s *session) {
	c.sessions.end(w, s)
	http.Redirect(w, r, edge.PathConsole+"login", http.StatusSeeOther)
}

// overviewPage is what the template of the overview shows.
type overviewPage struct {
	InForce *edge.ConfigInForce
	Status  *edge.Status
	Applied string // generation that was applied just now
}

func (c *Console) overview(w http.ResponseWriter, r *http.Request, s *session) {
	p := overviewPage{Status: c.deps.Status(), Applied: r.URL.Query().Get("applied")}
	if snap := c.deps.Documents.Current(); snap != nil {
		p.InForce = c.deps.InForce(uint64(snap.Generation))
	}
	c.render(w, s, http.StatusOK, "overview", "Overview", "", p)
}

// reviewPage is what the template of the review shows.
type reviewPage struct {
	Changes  []string
	Faults   []linkedFault
	Overlaps []string
	Author   string
	Comment  string
	Message  string // why the last apply failed
}

// linkedFault is a fault with the page that shows it.
type linkedFault struct {
	config.Fault
	Page string
}

func (c *Console) review(w http.ResponseWriter, r *http.Request, s *session) {
	c.renderReview(w, s, http.StatusOK, reviewPage{})
}

func (c *Console) renderReview(w http.ResponseWriter, s *session, status int, p reviewPage) {
	d, err := c.currentDraft(s)
	if err != nil {
		c.problem(w, s, http.StatusInternalServerError, err.Error())
		return
	}
	for _, change := range d.changes() {
		p.Changes = append(p.Changes, change.String())
	}
	p.Overlaps = d.overlaps
	for _, f := range faultsOf(d.document) {
		p.Faults = append(p.Faults, linkedFault{Fault: f, Page: pageOfFault(d.document, f.Path)})
	}
	c.render(w, s, status, "review", "Review and apply", "review", p)
}

// pageOfFault returns the page that shows a fault: the nearest list or section
// above it.
func pageOfFault(doc *config.Document, path string) string {
	parts := strings.Split(pagePath(path), "/")
	for n := len(parts); n > 0; n-- {
		page := strings.Join(parts[:n], "/")
		if p, ok := resolve(doc, page); ok && (isList(p.value) || n == 1) {
			return page
		}
	}
	return generalPage
}

// apply applies the draft on the generation that it started from.
func (c *Console) apply(w http.ResponseWriter, r *http.Request, s *session) {
	d, err := c.currentDraft(s)
	if err != nil {
		c.problem(w, s, http.StatusInternalServerError, err.Error())
		return
	}
	document, err := config.Clone(d.document)
	if err != nil {
		c.problem(w, s, http.StatusInternalServerError, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	author, comment := r.PostForm.Get("author"), r.PostForm.Get("comment")
	accepted, err := c.deps.Documents.Apply(ctx, repository.Proposal{
		Document: document, Base: d.base, Author: author, Comment: comment,
	})
	if err != nil {
		c.notApplied(w, s, d, reviewPage{Author: author, Comment: comment}, err)
		return
	}
	s.draft = nil
	gen := strconv.FormatUint(uint64(accepted.Record.Generation), 10)
	http.Redirect(w, r, edge.PathConsole+"?applied="+gen, http.StatusSeeOther)
}

// notApplied shows why a draft was not applied, and what can be done.
func (c *Console) notApplied(w http.ResponseWriter, s *session, d *draft, p reviewPage, err error) {
	var conflict *repository.ConflictError
	var invalid *config.InvalidError
	var unknown *repository.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		d.conflict = conflict
		c.renderConflict(w, s, conflict)
	case errors.As(err, &invalid):
		c.renderReview(w, s, http.StatusUnprocessableEntity, p)
	case errors.As(err, &unknown):
		p.Message = "It is unknown whether the document was stored: " + err.Error() +
			". To apply it again is safe: at most one of both takes effect."
		c.renderReview(w, s, http.StatusGatewayTimeout, p)
	default:
		p.Message = "Nothing was changed: " + err.Error()
		c.renderReview(w, s, http.StatusServiceUnavailable, p)
	}
}

// conflictPage is what the template of a conflict shows.
type conflictPage struct {
	Conflict *repository.ConflictError
	Theirs   []string
	Yours    []string
}

func (c *Console) renderConflict(w http.ResponseWriter, s *session, conflict *repository.ConflictError) {
	p := conflictPage{Conflict: conflict}
	for _, change := range conflict.Theirs {
		p.Theirs = append(p.Theirs, change.String())
	}
	for _, change := range conflict.Yours {
		p.Yours = append(p.Yours, change.String())
	}
	c.render(w, s, http.StatusConflict, "conflict", "Conflict", "review", p)
}

// rebase puts the draft's changes on the generation that won.
func (c *Console) rebase(w http.ResponseWriter, r *http.Request, s *session) {
	d, err := c.currentDraft(s)
	if err != nil {
		c.problem(w, s, http.StatusInternalServerError, err.Error())
		return
	}
	gen, theirs, err := c.winner(r.Context(), d)
	if err == nil {
		d, err = d.rebaseOn(gen, theirs)
	}
	if err != nil {
		c.problem(w, s, http.StatusServiceUnavailable, "The document that is in force cannot be read: "+err.Error())
		return
	}
	s.draft = d
	http.Redirect(w, r, edge.PathConsole+"review", http.StatusSeeOther)
}

// winner returns the newest document: the one in force here, or that of the
// conflict, if it has not come here yet.
func (c *Console) winner(ctx context.Context, d *draft) (config.Generation, *config.Document, error) {
	snap := c.deps.Documents.Current()
	if d.conflict == nil || snap != nil && snap.Generation >= d.conflict.Current.Generation {
		if snap == nil {
			return 0, &config.Document{}, nil
		}
		return snap.Generation, snap.Document, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	gen := d.conflict.Current.Generation
	doc, err := c.deps.History.Document(ctx, gen)
	return gen, doc, err
}

func (c *Console) discard(w http.ResponseWriter, r *http.Request, s *session) {
	s.draft = nil
	http.Redirect(w, r, edge.PathConsole, http.StatusSeeOther)
}

// historyPage is what the template of the history shows.
type historyPage struct {
	Records []repository.Record
	Error   string
}

func (c *Console) history(w http.ResponseWriter, r *http.Request, s *session) {
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	var p historyPage
	head, err := c.deps.History.Head(ctx)
	if err != nil {
		p.Error = err.Error()
	} else {
		p.Records = append([]repository.Record{head.Current}, head.History...)
	}
	c.render(w, s, http.StatusOK, "history", "History", "history", p)
}

// restore makes an earlier document the draft, on the generation in force.
func (c *Console) restore(w http.ResponseWriter, r *http.Request, s *session) {
	gen, err := strconv.ParseUint(r.PostForm.Get("generation"), 10, 64)
	if err != nil {
		c.problem(w, s, http.StatusBadRequest, "A generation is a whole number.")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	doc, err := c.deps.History.Document(ctx, config.Generation(gen))
	if err != nil {
		c.problem(w, s, http.StatusServiceUnavailable, "Generation "+r.PostForm.Get("generation")+" cannot be read: "+err.Error())
		return
	}
	c.replaceDraft(w, r, s, doc)
}

// replaceDraft puts another document in place of the draft's.
func (c *Console) replaceDraft(w http.ResponseWriter, r *http.Request, s *session, doc *config.Document) {
	s.draft = nil
	d, err := c.currentDraft(s)
	if err != nil {
		c.problem(w, s, http.StatusInternalServerError, err.Error())
		return
	}
	d.document = doc
	http.Redirect(w, r, edge.PathConsole+"review", http.StatusSeeOther)
}

// documentPage is what the template of the document's text shows.
type documentPage struct {
	Text   string
	Faults []string
}

func (c *Console) showDocument(w http.ResponseWriter, _ *http.Request, s *session) {
	d, err := c.currentDraft(s)
	if err != nil {
		c.problem(w, s, http.StatusInternalServerError, err.Error())
		return
	}
	raw, err := config.Encode(d.document)
	if err != nil {
		c.problem(w, s, http.StatusInternalServerError, err.Error())
		return
	}
	c.render(w, s, http.StatusOK, "document", "Document", "document", documentPage{Text: string(raw)})
}

func (c *Console) replaceDocument(w http.ResponseWriter, r *http.Request, s *session) {
	text := r.PostForm.Get("text")
	doc, err := config.Parse([]byte(text))
	if err != nil {
		p := documentPage{Text: text, Faults: strings.Split(err.Error(), "\n")}
		c.render(w, s, http.StatusUnprocessableEntity, "document", "Document", "document", p)
		return
	}
	c.replaceDraft(w, r, s, doc)
}

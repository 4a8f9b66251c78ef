// Package console is the operators' console: forms for every part of the
// document, rendered by the server. Its output is that one document, applied
// on the generation that the operator started from.
package console

import (
	"context"
	"embed"
	"errors"
	"html/template"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/telemetry"
)

// Documents is what the console needs of the document's spread.
type Documents interface {
	// Current returns the snapshot in force, nil when there is none.
	Current() *config.Snapshot
	// Apply stores a document and puts it in force.
	Apply(ctx context.Context, p repository.Proposal) (*repository.Accepted, error)
}

// History gives access to accepted generations.
type History interface {
	Head(ctx context.Context) (*repository.Head, error)
	Document(ctx context.Context, gen config.Generation) (*config.Document, error)
}

// Deps are what the console needs.
type Deps struct {
	Documents  Documents
	History    History
	CheckToken func(token string) bool
	InForce    func(generation uint64) *edge.ConfigInForce
	Status     func() *edge.Status
	Policies   []string // names that steering.policy may have
	Clock      kernel.Clock
	Logger     *telemetry.Logger
}

// Limits of the console.
const (
	maxFormBytes    = 8 << 20
	loginsPerSecond = 1
	loginBurst      = 10
	storeTimeout    = 15 * time.Second // of calls that may wait for the store
)

//go:embed templates/*.html
var templateFiles embed.FS

//go:embed static/style.css
var styleSheet []byte

// Console serves the forms. It checks by itself who asks.
type Console struct {
	deps     Deps
	pages    map[string]*template.Template
	sessions *sessions
	logins   *rate.Limiter
	forms    *forms
}

// New returns a console.
func New(deps Deps) *Console {
	return &Console{
		deps:     deps,
		pages:    parsePages(),
		sessions: newSessions(deps.Clock),
		logins:   rate.NewLimiter(loginsPerSecond, loginBurst),
		forms:    newForms(deps.Policies),
	}
}

// pageNames are the templates that stand within the layout.
var pageNames = []string{"login", "overview", "edit", "review", "conflict", "history", "document", "problem"}

func parsePages() map[string]*template.Template {
	funcs := template.FuncMap{
		"next": func(n int) int { return n + 1 },
		"prev": func(n int) int { return n - 1 },
	}
	layout := template.Must(template.New("layout.html").Funcs(funcs).ParseFS(templateFiles, "templates/layout.html"))
	pages := make(map[string]*template.Template)
	for _, name := range pageNames {
		page := template.Must(layout.Clone())
		pages[name] = template.Must(page.ParseFS(templateFiles, "templates/"+name+".html"))
	}
	return pages
}

// Handler returns the handler of all paths below edge.PathConsole.
func (c *Console) Handler() http.Handler {
	mux := http.NewServeMux()
	base := edge.PathConsole
	mux.HandleFunc("GET "+base+"style.css", serveStyle)
	mux.HandleFunc("GET "+base+"login", c.showLogin)
	mux.HandleFunc("POST "+base+"login", c.login)
	for pattern, page := range map[string]page{
		"GET " + base + "{$}":             c.overview,
		"GET " + base + "edit/{path...}":  c.showEdit,
		"POST " + base + "edit/{path...}": c.edit,
		"GET " + base + "review":          c.review,
		"POST " + base + "apply":          c.apply,
		"POST " + base + "rebase":         c.rebase,
		"POST " + base + "discard":        c.discard,
		"GET " + base + "history":         c.history,
		"POST " + base + "restore":        c.restore,
		"GET " + base + "document":        c.showDocument,
		"POST " + base + "document":       c.replaceDocument,
		"POST " + base + "logout":         c.logout,
	} {
		mux.Handle(pattern, c.guard(page))
	}
	return secure(http.NewCrossOriginProtection().Handler(mux))
}

// page answers a request within a session, whose lock is held.
type page func(w http.ResponseWriter, r *http.Request, s *session)

// guard lets only requests with a session through, and only posts with the
// session's form token.
func (c *Console) guard(p page) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := c.sessions.find(r)
		if s == nil {
			http.Redirect(w, r, edge.PathConsole+"login", http.StatusSeeOther)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.Method == http.MethodPost && !c.acceptForm(w, r, s) {
			return
		}
		p(w, r, s)
	})
}

func (c *Console) acceptForm(w http.ResponseWriter, r *http.Request, s *session) bool {
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	if err := r.ParseForm(); err != nil {
		c.problem(w, s, http.StatusBadRequest, "The form cannot be read: "+err.Error())
		return false
	}
	if !s.ownForm(r.PostForm.Get(fieldFormToken)) {
		c.problem(w, s, http.StatusForbidden, "The form is not of this session. Go back, reload the page and try again.")
		return false
	}
	return true
}

// secure sets the headers that keep the pages from being framed, cached or
// extended by others.
func secure(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Referrer-Policy", "same-origin")
		h.Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

func serveStyle(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/css; charset=utf-8")
	_, _ = w.Write(styleSheet)
}

// faultsOf returns the faults of a document.
func faultsOf(doc *config.Document) []config.Fault {
	var invalid *config.InvalidError
	if err := config.Validate(doc); errors.As(err, &invalid) {
		return invalid.Faults
	}
	return nil
}

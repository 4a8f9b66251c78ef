package capacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/operator/console"
	"masticturn/internal/telemetry"
)

const (
	roleConsole      = "console"
	mechanismConsole = "forms rendered on demand, 50 rows a page; each page checks the whole draft"
	pageOfTargets    = edge.PathConsole + "edit/services/0/targets"
)

// consoleSlopes measures the role console: the cost of rendering one page of a form.
func consoleSlopes() []Slope {
	sizes := []int{100, 400, 800, targetsPerSite * DesignSites}
	return []Slope{
		measureSlope(Slope{
			Role: roleConsole, Quantity: "time of one page of targets, ns", SizeOf: "targets",
			Mechanism: mechanismConsole, DesignSize: targetsPerSite * DesignSites,
		}, sizes, func(n int) float64 {
			s := newConsoleSession(designSnapshot(n))
			return timePerCall(minMeasureTime, func(int) { s.get(pageOfTargets) })
		}),
	}
}

// consoleSession is the session of an operator who is logged in to the console.
type consoleSession struct {
	handler http.Handler
	cookies []*http.Cookie
}

func newConsoleSession(snap *config.Snapshot) *consoleSession {
	docs := fixedDocuments{snap}
	s := &consoleSession{handler: console.New(console.Deps{
		Documents:  docs,
		History:    docs,
		CheckToken: func(string) bool { return true },
		InForce:    func(uint64) *edge.ConfigInForce { return &edge.ConfigInForce{} },
		Status:     func() *edge.Status { return &edge.Status{} },
		Clock:      kernel.SystemClock{},
		Logger:     telemetry.Discard(),
	}).Handler()}
	form := strings.NewReader(url.Values{"token": {"any"}}.Encode())
	r := httptest.NewRequest(http.MethodPost, edge.PathConsole+"login", form)
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	rec := httptest.NewRecorder()
	s.handler.ServeHTTP(rec, r)
	s.cookies = rec.Result().Cookies()
	return s
}

// get renders a page. It panics on an error status, because the time of an error
// page would falsify the result.
func (s *consoleSession) get(path string) {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	for _, c := range s.cookies {
		r.AddCookie(c)
	}
	rec := httptest.NewRecorder()
	s.handler.ServeHTTP(rec, r)
	if rec.Code != http.StatusOK {
		panic(fmt.Sprintf("console page %s: status %d", path, rec.Code))
	}
}

// fixedDocuments serves one document that never changes.
type fixedDocuments struct{ snap *config.Snapshot }

var (
	_ console.Documents = fixedDocuments{}
	_ console.History   = fixedDocuments{}
)

// Current implements console.Documents.
func (f fixedDocuments) Current() *config.Snapshot { return f.snap }

// Apply implements console.Documents. It always fails.
func (fixedDocuments) Apply(context.Context, repository.Proposal) (*repository.Accepted, error) {
	return nil, trace.NotImplemented("applying documents is not supported")
}

// Head implements console.History.
func (f fixedDocuments) Head(context.Context) (*repository.Head, error) {
	return &repository.Head{Current: repository.Record{Generation: f.snap.Generation}}, nil
}

// Document implements console.History.
func (f fixedDocuments) Document(context.Context, config.Generation) (*config.Document, error) {
	return config.Clone(f.snap.Document)
}

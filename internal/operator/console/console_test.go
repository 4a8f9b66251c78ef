package console

import (
	"context"
	"fmt"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/gravitational/trace"

	"masticturn/examples"
	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/telemetry"
)

const testToken = "token of the operators"

// fakeDocuments keeps accepted documents in memory.
type fakeDocuments struct {
	docs []*config.Document // by generation, from 1
	snap *config.Snapshot
}

func (f *fakeDocuments) Current() *config.Snapshot { return f.snap }

func (f *fakeDocuments) Apply(_ context.Context, p repository.Proposal) (*repository.Accepted, error) {
	if err := config.Validate(p.Document); err != nil {
		return nil, err
	}
	head := config.Generation(len(f.docs))
	if p.Base != head {
		return nil, &repository.ConflictError{
			Base: p.Base, Current: repository.Record{Generation: head, Author: "other"},
			Theirs: config.Diff(f.docs[p.Base-1], f.docs[head-1]), Yours: config.Diff(f.docs[p.Base-1], p.Document),
		}
	}
	f.docs = append(f.docs, p.Document)
	snap, err := config.NewSnapshot(head+1, p.Document)
	f.snap = snap
	return &repository.Accepted{Record: repository.Record{Generation: head + 1}}, err
}

func (f *fakeDocuments) Head(context.Context) (*repository.Head, error) {
	return &repository.Head{Current: repository.Record{Generation: config.Generation(len(f.docs)), Author: "someone", Main: []byte{1}}}, nil
}

func (f *fakeDocuments) Document(_ context.Context, gen config.Generation) (*config.Document, error) {
	if gen == 0 || int(gen) > len(f.docs) {
		return nil, trace.NotFound("generation %d", gen)
	}
	return config.Clone(f.docs[gen-1])
}

// browser is an operator's browser at a console.
type browser struct {
	t      *testing.T
	docs   *fakeDocuments
	server *httptest.Server
	client *http.Client
}

func open(t *testing.T) *browser {
	t.Helper()
	raw, ok := examples.Document("estiba")
	if !ok {
		t.Fatal("no example")
	}
	doc, err := config.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	docs := &fakeDocuments{}
	if _, err := docs.Apply(context.Background(), repository.Proposal{Document: doc}); err != nil {
		t.Fatal(err)
	}
	c := New(Deps{
		Documents: docs, History: docs, Clock: kernel.SystemClock{}, Logger: telemetry.Discard(),
		CheckToken: func(s string) bool { return s == testToken },
		InForce: func(g uint64) *edge.ConfigInForce {
			return &edge.ConfigInForce{Generation: g, Daemons: 10, InForce: 10}
		},
		Status: func() *edge.Status {
			return &edge.Status{VM: "vm1", Members: []edge.StatusMember{{Name: "vm1", State: "alive"}}, Regions: []edge.StatusRegion{{Region: "rosario", Headroom: 0.4}}}
		},
	})
	b := &browser{t: t, docs: docs, server: httptest.NewServer(c.Handler())}
	t.Cleanup(b.server.Close)
	b.newClient()
	return b
}

func (b *browser) newClient() {
	jar, _ := cookiejar.New(nil)
	b.client = &http.Client{Jar: jar}
}

func (b *browser) do(req *http.Request, want int) string {
	b.t.Helper()
	resp, err := b.client.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	var body strings.Builder
	if _, err := io.Copy(&body, resp.Body); err != nil {
		b.t.Fatal(err)
	}
	if resp.StatusCode != want {
		b.t.Fatalf("%s %s: status %d, want %d\n%s", req.Method, req.URL.Path, resp.StatusCode, want, body.String())
	}
	return body.String()
}

func (b *browser) get(page string) string {
	b.t.Helper()
	req, _ := http.NewRequest(http.MethodGet, b.server.URL+edge.PathConsole+page, nil)
	return b.do(req, http.StatusOK)
}

func (b *browser) post(page string, form url.Values, want int) string {
	b.t.Helper()
	return b.do(b.postRequest(page, form), want)
}

func (b *browser) postRequest(page string, form url.Values) *http.Request {
	req, _ := http.NewRequest(http.MethodPost, b.server.URL+edge.PathConsole+page, strings.NewReader(form.Encode()))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	return req
}

func (b *browser) login() *browser {
	b.t.Helper()
	b.post("login", url.Values{"token": {testToken}}, http.StatusOK)
	return b
}

var (
	inputs  = regexp.MustCompile(`<input ([^>]*)>`)
	selects = regexp.MustCompile(`(?s)<select id="([^"]*)".*?</select>`)
	chosen  = regexp.MustCompile(`<option value="([^"]*)" selected>`)
	attr    = regexp.MustCompile(`([a-z]+)="([^"]*)"`)
)

// form returns what a browser would post of the page's inputs.
func form(page string) url.Values {
	values := url.Values{}
	for _, m := range inputs.FindAllStringSubmatch(page, -1) {
		a := map[string]string{}
		for _, kv := range attr.FindAllStringSubmatch(m[1], -1) {
			a[kv[1]] = html.UnescapeString(kv[2])
		}
		if a["name"] == "" || a["type"] == "checkbox" && !strings.Contains(m[1], " checked") {
			continue
		}
		values.Add(a["name"], a["value"])
	}
	for _, m := range selects.FindAllStringSubmatch(page, -1) {
		for _, o := range chosen.FindAllStringSubmatch(m[0], -1) {
			values.Set(html.UnescapeString(m[1]), html.UnescapeString(o[1]))
		}
	}
	return values
}

// leaves returns the paths of all values of a document.
func leaves(path string, v reflect.Value) (out []string) {
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			out = append(out, leaves(join(path, jsonName(v.Type().Field(i))), v.Field(i))...)
		}
	case isList(v):
		for i := range v.Len() {
			out = append(out, leaves(element(path, i), v.Index(i))...)
		}
	default:
		out = append(out, path)
	}
	return out
}

var noHelp = regexp.MustCompile(`<p class="help" id="([^"]*)"></p>`)

var editLinks = regexp.MustCompile(`/console/edit/([a-z0-9_/]+)"`)

// TestEveryPartHasAForm walks all pages, posts each form as it is, and checks
// that every value of the document was in one of them and that none changed.
func TestEveryPartHasAForm(t *testing.T) {
	b := open(t).login()
	var shown []string
	visited := map[string]bool{}
	queue := []string{generalPage}
	for len(queue) > 0 {
		page := queue[0]
		queue = queue[1:]
		if visited[page] {
			continue
		}
		visited[page] = true
		for number := 1; ; number++ {
			text := b.get(fmt.Sprintf("edit/%s?page=%d", page, number))
			values := form(text)
			for name := range values {
				shown = append(shown, name)
			}
			if m := noHelp.FindStringSubmatch(text); m != nil {
				t.Errorf("%s has no help", m[1])
			}
			b.post(fmt.Sprintf("edit/%s?page=%d", page, number), values, http.StatusOK)
			for _, m := range editLinks.FindAllStringSubmatch(text, -1) {
				queue = append(queue, m[1])
			}
			if !strings.Contains(text, ">next</a>") {
				break
			}
		}
	}
	for _, path := range leaves("", reflect.ValueOf(b.docs.docs[0]).Elem()) {
		if !slices.Contains(shown, path) {
			t.Errorf("%s is in no form", path)
		}
	}
	if text := b.get("review"); !strings.Contains(text, "The draft changes nothing") {
		t.Errorf("posting the forms as they are changed the document:\n%s", text)
	}
}

func TestEditReviewApply(t *testing.T) {
	b := open(t).login()
	values := form(b.get("edit/lookup"))
	values.Set("lookup.answers", "4")
	b.post("edit/lookup", values, http.StatusOK)
	text := b.get("review")
	if !strings.Contains(text, "→ 4") {
		t.Fatalf("the review does not show the change:\n%s", text)
	}
	apply := form(text)
	apply.Set("author", "ana")
	b.post("apply", apply, http.StatusOK)
	if b.docs.snap.Generation != 2 || b.docs.snap.Document.Lookup.Answers != 4 {
		t.Errorf("in force: generation %d, %+v", b.docs.snap.Generation, b.docs.snap.Document.Lookup)
	}
	if b.docs.docs[0].Lookup.Answers == 4 {
		t.Error("the document that was in force was changed in place")
	}
}

func TestFaultsStandBesideTheirFields(t *testing.T) {
	b := open(t).login()
	values := form(b.get("edit/lookup"))
	values.Set("lookup.answers", "four")
	text := b.post("edit/lookup", values, http.StatusUnprocessableEntity)
	if !strings.Contains(text, `value="four"`) || !strings.Contains(text, "allowed: a whole number") {
		t.Errorf("a value that cannot be read is not shown:\n%s", text)
	}
	values.Set("lookup.answers", "-7")
	text = b.post("edit/lookup", values, http.StatusOK)
	beside := regexp.MustCompile(`(?s)id="lookup\.answers".*?aria-invalid="true".*?id="lookup\.answers-help">[^\n]*got -7; allowed`)
	if !beside.MatchString(text) {
		t.Errorf("the fault does not stand beside its field:\n%s", text)
	}
	text = b.get("review")
	if !strings.Contains(text, `href="/console/edit/lookup">lookup.answers`) || strings.Contains(text, "/console/apply") {
		t.Error("the review offers to apply a draft with faults, or does not link to them")
	}
	b.post("apply", form(text), http.StatusUnprocessableEntity)
	if b.docs.snap.Generation != 1 {
		t.Error("an invalid document was applied")
	}
}

func TestRows(t *testing.T) {
	b := open(t).login()
	names := func() (out []string) {
		for _, m := range regexp.MustCompile(`name="tenants\[\d+\]\.name" value="([^"]*)"`).FindAllStringSubmatch(b.get("edit/tenants"), -1) {
			out = append(out, m[1])
		}
		return out
	}
	before := names()
	press := func(page, action string) {
		values := form(b.get(page))
		values.Set(fieldAction, action)
		b.post(page, values, http.StatusOK)
	}
	press("edit/tenants", "add")
	values := form(b.get("edit/tenants"))
	values.Set(fmt.Sprintf("tenants[%d].name", len(before)), `"><script>alert(1)</script>`)
	text := b.post("edit/tenants", values, http.StatusOK)
	if strings.Contains(text, "<script>") {
		t.Error("a value is not escaped")
	}
	if got := names(); len(got) != len(before)+1 {
		t.Fatalf("after adding: %q", got)
	}
	press("edit/tenants", fmt.Sprintf("remove:%d", len(before)))
	if got := names(); !slices.Equal(got, before) {
		t.Errorf("after removing: %q, want %q", got, before)
	}
	press("edit/services", "up:1")
	if text := b.get("review"); !strings.Contains(text, "moved") {
		t.Errorf("moving a service is not a change:\n%s", text)
	}
	press("edit/tenants", "remove:9999")
	b.do(b.getRequest("edit/services/99/routes"), http.StatusNotFound)
}

func (b *browser) getRequest(page string) *http.Request {
	req, _ := http.NewRequest(http.MethodGet, b.server.URL+edge.PathConsole+page, nil)
	return req
}

func TestConflict(t *testing.T) {
	b := open(t).login()
	values := form(b.get("edit/lookup"))
	values.Set("lookup.answers", "4")
	b.post("edit/lookup", values, http.StatusOK)
	review := form(b.get("review"))
	review.Set("author", "ana")

	theirs, _ := config.Clone(b.docs.docs[0])
	theirs.Lookup.MaxAgeMS += 1000
	if _, err := b.docs.Apply(context.Background(), repository.Proposal{Document: theirs, Base: 1}); err != nil {
		t.Fatal(err)
	}
	text := b.post("apply", review, http.StatusConflict)
	for _, want := range []string{"lookup max_age_ms", "lookup answers", "Put my changes on generation 2"} {
		if !strings.Contains(text, want) {
			t.Errorf("the conflict does not show %q:\n%s", want, text)
		}
	}
	text = b.post("rebase", form(text), http.StatusOK)
	again := form(text)
	again.Set("author", "ana")
	b.post("apply", again, http.StatusOK)
	got := b.docs.snap
	if got.Generation != 3 || got.Document.Lookup.Answers != 4 || got.Document.Lookup.MaxAgeMS != theirs.Lookup.MaxAgeMS {
		t.Errorf("in force: generation %d, %+v", got.Generation, got.Document.Lookup)
	}
}

func TestHistoryAndText(t *testing.T) {
	b := open(t).login()
	values := form(b.get("edit/lookup"))
	values.Set("lookup.answers", "4")
	b.post("edit/lookup", values, http.StatusOK)
	review := form(b.get("review"))
	review.Set("author", "ana")
	b.post("apply", review, http.StatusOK)

	restore := form(b.get("history"))
	restore.Set("generation", "1")
	if text := b.post("restore", restore, http.StatusOK); !strings.Contains(text, "Changes to generation 2") || !strings.Contains(text, "4 →") {
		t.Errorf("the earlier document is not the draft:\n%s", text)
	}
	document := form(b.get("document"))
	document.Set("text", `{"deployment": 5}`)
	if text := b.post("document", document, http.StatusUnprocessableEntity); !strings.Contains(text, "allowed") {
		t.Errorf("the text's faults are not shown:\n%s", text)
	}
}

func TestWhoMayPost(t *testing.T) {
	b := open(t)
	if text := b.get("edit/lookup"); !strings.Contains(text, `action="/console/login"`) {
		t.Error("a page is shown without a login")
	}
	b.post("login", url.Values{"token": {"wrong"}}, http.StatusUnauthorized)
	b.login()
	values := form(b.get("edit/lookup"))
	values.Set("lookup.answers", "4")

	crossSite := b.postRequest("edit/lookup", values)
	crossSite.Header.Set("Sec-Fetch-Site", "cross-site")
	b.do(crossSite, http.StatusForbidden)
	otherOrigin := b.postRequest("edit/lookup", values)
	otherOrigin.Header.Set("Origin", "https://elsewhere.example")
	b.do(otherOrigin, http.StatusForbidden)
	own := values.Get(fieldFormToken)
	values.Set(fieldFormToken, "guessed")
	b.post("edit/lookup", values, http.StatusForbidden)
	if text := b.get("review"); !strings.Contains(text, "The draft changes nothing") {
		t.Error("a refused form changed the draft")
	}
	values.Set(fieldFormToken, own)
	b.post("edit/lookup", values, http.StatusOK)

	b.post("logout", url.Values{fieldFormToken: {own}}, http.StatusOK)
	if text := b.get(""); !strings.Contains(text, `action="/console/login"`) {
		t.Error("the session lives on after the logout")
	}
}

func TestWrongTokensAreLimited(t *testing.T) {
	b := open(t)
	codes := map[int]int{}
	for range 3 * loginBurst {
		resp, err := b.client.Do(b.postRequest("login", url.Values{"token": {"wrong"}}))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		codes[resp.StatusCode]++
	}
	if codes[http.StatusTooManyRequests] == 0 {
		t.Errorf("answers %v", codes)
	}
}

func TestCookieAndHeaders(t *testing.T) {
	b := open(t)
	b.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	resp, err := b.client.Do(b.postRequest("login", url.Values{"token": {testToken}}))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	cookie := resp.Cookies()[0]
	if !cookie.HttpOnly || cookie.SameSite != http.SameSiteStrictMode || cookie.Path != edge.PathConsole {
		t.Errorf("cookie %+v", cookie)
	}
	if !strings.Contains(resp.Header.Get("Content-Security-Policy"), "frame-ancestors 'none'") {
		t.Error("the pages can be framed")
	}
}

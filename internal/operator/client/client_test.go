package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"masticturn/examples"
	"masticturn/internal/config"
	"masticturn/internal/confsync"
	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/operator/configapi"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// fakeMembers is a membership.Source that tests change.
type fakeMembers struct {
	mu   sync.Mutex
	view *membership.View
}

func (f *fakeMembers) View() *membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeMembers) Subscribe(func(*membership.View)) (cancel func()) { return func() {} }

func (f *fakeMembers) set(members ...membership.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = &membership.View{Self: "vm-1", Members: members}
}

type rig struct {
	*Client
	store   *platformtest.Store
	members *fakeMembers
	handler http.Handler
}

func newRig(t *testing.T) *rig {
	self := membership.Member{Name: "vm-1", Region: "r", Zone: "z"}
	members := &fakeMembers{}
	members.set(self)
	store := platformtest.NewStore()
	documents := confsync.NewService(confsync.Deps{
		Self: self, Store: store, Network: peertest.NewHub(1).Network("vm-1"), Members: members, Clock: kernel.SystemClock{},
	})
	if err := documents.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	handler := configapi.New(documents, members).Handler()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.Close()
		_ = documents.Stop(context.Background())
	})
	return &rig{New(Options{URL: server.URL, Token: "t"}), store, members, handler}
}

func estiba() []byte {
	text, _ := examples.Document("estiba")
	return text
}

// withCap returns the example with other caps.
func withCap(fraction string) []byte {
	return bytes.ReplaceAll(estiba(), []byte(`"max_fraction": 0.25`), []byte(`"max_fraction": `+fraction))
}

func (r *rig) mustApply(t *testing.T, base uint64, document []byte) *edge.ConfigApplied {
	t.Helper()
	applied, err := r.Apply(t.Context(), Change{Document: document, Base: base, Author: "ana", Comment: "why"})
	if err != nil {
		t.Fatal(err)
	}
	return applied
}

// operatorError returns the error of the API, failing the test when err is
// none.
func operatorError(t *testing.T, err error) *edge.OperatorError {
	t.Helper()
	var e *edge.OperatorError
	if !errors.As(err, &e) {
		t.Fatalf("got %v, want an *edge.OperatorError", err)
	}
	return e
}

func TestApplyGetDiffAndHistory(t *testing.T) {
	r := newRig(t)
	if _, err := r.Get(t.Context(), 0, false); operatorError(t, err).Code != edge.CodeNoDocument {
		t.Errorf("before the first document: %v", err)
	}
	r.mustApply(t, 0, estiba())
	diff, err := r.Diff(t.Context(), withCap("0.15"))
	if err != nil {
		t.Fatal(err)
	}
	const line = "cap rosario→buenos-aires max_fraction: 25% → 15%"
	found := false
	for _, c := range diff.Changes {
		found = found || c.Text == line
	}
	if !found {
		t.Errorf("no %q in %v", line, diff.Changes)
	}
	if applied := r.mustApply(t, 1, withCap("0.15")); applied.Record.Generation != 2 || applied.Record.Author != "ana" {
		t.Errorf("got %+v", applied)
	}
	history, err := r.History(t.Context())
	if err != nil || len(history.Records) != 2 || !history.Records[1].Kept {
		t.Errorf("history %+v, %v", history, err)
	}
	first, err := r.Get(t.Context(), 1, false)
	if err != nil || !strings.Contains(string(first.Document), `"max_fraction":0.25`) {
		t.Errorf("generation 1: %v", err)
	}
}

func TestEffectiveShowsDefaults(t *testing.T) {
	r := newRig(t)
	doc, err := config.Parse(estiba())
	if err != nil {
		t.Fatal(err)
	}
	doc.Lookup = config.Lookup{}
	raw, _ := config.Encode(doc)
	r.mustApply(t, 0, raw)
	written, _ := r.Get(t.Context(), 0, false)
	effective, err := r.Get(t.Context(), 0, true)
	if err != nil || !strings.Contains(string(effective.Document), `"max_age_ms":5000`) || strings.Contains(string(written.Document), `"max_age_ms":5000`) {
		t.Errorf("defaults: %v", err)
	}
	if written.Hash != effective.Hash {
		t.Error("the hash depends on the defaults")
	}
}

func TestErrorsSayWhatToDo(t *testing.T) {
	t.Run("faults", func(t *testing.T) {
		_, err := newRig(t).Validate(t.Context(), []byte(`{"deployment": "x", "color": 1}`))
		if e := operatorError(t, err); e.Code != edge.CodeInvalid || e.Faults[0].Path != "color" || e.Faults[0].Line != 1 {
			t.Errorf("got %+v", e)
		}
	})
	t.Run("warnings", func(t *testing.T) {
		squeezed := bytes.ReplaceAll(estiba(), []byte(`"requests_per_second": 2000`), []byte(`"requests_per_second": 20`))
		valid, err := newRig(t).Validate(t.Context(), squeezed)
		if err != nil || len(valid.Warnings) == 0 {
			t.Errorf("got %+v, %v", valid, err)
		}
	})
	t.Run("conflict", func(t *testing.T) {
		r := newRig(t)
		r.mustApply(t, 0, estiba())
		r.mustApply(t, 1, withCap("0.15"))
		_, err := r.Apply(t.Context(), Change{Document: withCap("0.2"), Base: 1})
		e := operatorError(t, err)
		if e.Code != edge.CodeConflict || e.Conflict.Current.Generation != 2 || len(e.Conflict.Theirs) == 0 || len(e.Conflict.Yours) == 0 {
			t.Errorf("got %+v", e)
		}
	})
	t.Run("store down", func(t *testing.T) {
		r := newRig(t)
		r.store.SetOutage(true)
		if _, err := r.History(t.Context()); operatorError(t, err).Code != edge.CodeNotStored {
			t.Errorf("got %v", err)
		}
	})
	t.Run("no such generation", func(t *testing.T) {
		r := newRig(t)
		r.mustApply(t, 0, estiba())
		if _, err := r.Get(t.Context(), 9, false); operatorError(t, err).Code != edge.CodeNotFound {
			t.Errorf("got %v", err)
		}
	})
}

func TestUnknownOutcomeIsNeverCalledAFailure(t *testing.T) {
	r := newRig(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var written sync.Once
	r.store.SetHook(func(_ context.Context, c platformtest.Call) platformtest.Fault {
		if c.Op != platform.OpCreate {
			return platformtest.FaultNone
		}
		written.Do(func() { time.AfterFunc(200*time.Millisecond, cancel) })
		return platformtest.FaultDelayedEffect
	})
	req := httptest.NewRequestWithContext(ctx, http.MethodPut, edge.PathOperatorConfig, bytes.NewReader(estiba()))
	req.Header.Set(edge.HeaderIfMatch, "0")
	rec := httptest.NewRecorder()
	r.handler.ServeHTTP(rec, req)
	answer := &edge.OperatorError{}
	if err := json.Unmarshal(rec.Body.Bytes(), answer); err != nil {
		t.Fatal(err)
	}
	if answer.Code != edge.CodeUnknown || answer.WriteID == "" || rec.Code != http.StatusGatewayTimeout {
		t.Errorf("got %d, %+v", rec.Code, answer)
	}
}

func TestWaitNamesStragglers(t *testing.T) {
	r := newRig(t)
	r.mustApply(t, 0, estiba())
	other := membership.Member{Name: "vm-2", Region: "r", Zone: "z"}
	r.members.set(membership.Member{Name: "vm-1"}, other)
	ctx, cancel := context.WithTimeout(t.Context(), pollInterval/2)
	defer cancel()
	last, err := r.Wait(ctx, 1, nil)
	if err == nil || last.InForce != 1 || len(last.Stragglers) != 1 || last.Stragglers[0].Name != "vm-2" {
		t.Errorf("got %+v, %v", last, err)
	}
	other.Generation = 1
	last, err = r.Wait(t.Context(), 1, func(*edge.ConfigInForce) { r.members.set(membership.Member{Name: "vm-1"}, other) })
	if err != nil || last.InForce != 2 {
		t.Errorf("got %+v, %v", last, err)
	}
}

func TestTheFirstApplyNeedsABase(t *testing.T) {
	r := newRig(t)
	req, err := r.base.New().Put(edge.PathOperatorConfig).Body(bytes.NewReader(estiba())).Request()
	if err != nil {
		t.Fatal(err)
	}
	failure := &edge.OperatorError{}
	resp, err := r.base.New().Do(req, nil, failure)
	if err != nil || resp.StatusCode != 428 || !strings.Contains(failure.Message, "If-Match") {
		t.Errorf("got %v, %v, %v", resp, failure, err)
	}
}

package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/standin"
)

// vms serves a look-up that names two VMs of its own and answers requests by
// a script: one outcome for each try, by its number.
type vms struct {
	addresses []string
	maxAge    float64
	script    []string

	mu      sync.Mutex
	lookups int
	headers []http.Header
	at      []string // host of each try
}

func (v *vms) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.URL.Path == edge.PathLookup {
		v.lookups++
		answer := edge.LookupResponse{MaxAgeSeconds: v.maxAge}
		for i, address := range v.addresses {
			vm := edge.LookupVM{Name: fmt.Sprintf("vm-%d", i), Address: address, Ticket: fmt.Sprintf("ticket-%d", i)}
			answer.VMs = append(answer.VMs, vm)
		}
		json.NewEncoder(w).Encode(answer)
		return
	}
	outcome := v.script[min(len(v.headers), len(v.script)-1)]
	v.headers = append(v.headers, r.Header.Clone())
	v.at = append(v.at, r.Host)
	if outcome == "cut" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(edge.HeaderOutcome, outcome)
	w.Header().Set(edge.HeaderRequestID, r.Header.Get(edge.HeaderRequestID))
	if outcome != string(ToldAnswered) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.Copy(w, standin.ContentReader(seedOf(r), 10))
}

func seedOf(r *http.Request) (seed uint64) {
	fmt.Sscan(r.URL.Query().Get(standin.QueryContent), &seed)
	return seed
}

func newVMs(t *testing.T, script ...string) *vms {
	t.Helper()
	v := &vms{maxAge: 60, script: script}
	for range 2 {
		server, err := standin.Serve("127.0.0.1:0", v)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { server.Close() })
		v.addresses = append(v.addresses, server.Address())
	}
	return v
}

// sent returns the headers of the tries that arrived.
func (v *vms) sent() []http.Header {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.headers
}

func (v *vms) call(shape Shape, count int) *Notes {
	notes := NewNotes(true)
	shape.Service, shape.Path, shape.Weight, shape.AnswerBytes = "s", "/s/x", 1, 10
	c := New(Options{
		Name: "c", Entries: v.addresses, Shapes: []Shape{shape}, MaxTries: 3,
		Timeout: time.Second, Notes: notes, Seed: 1,
	})
	c.RunCount(context.Background(), count)
	return notes
}

func TestTriesFollowWhatWasTold(t *testing.T) {
	get := Shape{Method: http.MethodGet, Repeatable: true}
	post := Shape{Method: http.MethodPost, BodyBytes: 5}
	keyed := Shape{Method: http.MethodPost, BodyBytes: 5, Keyed: true}
	cases := []struct {
		name   string
		shape  Shape
		script string
		tries  int
		told   Told
	}{
		{"answered", get, "answered", 1, ToldAnswered},
		{"not run, then answered", post, "not-run answered", 2, ToldAnswered},
		{"unknown get is repeated", get, "unknown answered", 2, ToldAnswered},
		{"unknown post is not", post, "unknown answered", 1, ToldUnknown},
		{"cut post is not", post, "cut answered", 1, ToldNothing},
		{"cut keyed post is", keyed, "cut answered", 2, ToldAnswered},
		{"not run after unknown stays unknown", keyed, "unknown not-run not-run", 3, ToldUnknown},
		{"never more than three", get, "not-run", 3, ToldNotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			v := newVMs(t, strings.Fields(tc.script)...)
			notes := v.call(tc.shape, 1)
			if sent := len(v.sent()); sent != tc.tries || len(notes.Tries()) != tc.tries {
				t.Fatalf("%d tries sent, %d noted, want %d", sent, len(notes.Tries()), tc.tries)
			}
			for told, count := range notes.requests[ClassKey{Service: "s"}] {
				if told != tc.told || count != 1 {
					t.Fatalf("counted %d as %s, want %s", count, told, tc.told)
				}
			}
		})
	}
}

func TestEachTryHasItsOwnIDAndKeepsTheKey(t *testing.T) {
	v := newVMs(t, "unknown", "unknown", "answered")
	v.call(Shape{Method: http.MethodPost, BodyBytes: 5, Keyed: true}, 1)
	ids, keys, tickets := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, h := range v.sent() {
		ids[h.Get(edge.HeaderRequestID)] = true
		keys[h.Get(edge.HeaderIdempotencyKey)] = true
		ticket, _, _ := strings.Cut(h.Get(edge.HeaderIdempotencyKey), edge.KeySeparator)
		tickets[ticket] = true
	}
	if len(ids) != 3 || len(keys) != 1 || len(tickets) != 1 || keys[""] || !tickets["ticket-0"] {
		t.Fatalf("ids %v, keys %v, tickets %v", ids, keys, tickets)
	}
	if v.at[0] != v.addresses[0] || v.at[1] != v.addresses[1] {
		t.Fatalf("tries went to %v, want the order of %v", v.at, v.addresses)
	}
}

func TestDoublesGoToTwoVMsUnderOneKey(t *testing.T) {
	for _, noTicket := range []bool{false, true} {
		v := newVMs(t, "answered")
		notes := NewNotes(true)
		c := New(Options{
			Name: "c", Entries: v.addresses, Notes: notes, Timeout: time.Second, DoubleRate: 1, NoTicket: noTicket,
			Shapes: []Shape{{Service: "s", Path: "/s/x", Method: http.MethodPost, BodyBytes: 5, AnswerBytes: 10, Keyed: true, Weight: 1}},
		})
		c.RunCount(context.Background(), 1)
		sent := v.sent()
		if len(sent) != 2 || v.at[0] == v.at[1] || len(notes.Tries()) != 2 {
			t.Fatalf("%d sent to %v, %d noted", len(sent), v.at, len(notes.Tries()))
		}
		key := sent[0].Get(edge.HeaderIdempotencyKey)
		if key != sent[1].Get(edge.HeaderIdempotencyKey) || strings.Contains(key, "ticket") == noTicket {
			t.Fatalf("keys %q and %q", key, sent[1].Get(edge.HeaderIdempotencyKey))
		}
		if r := notes.Results()[0]; r.Requests != 1 {
			t.Fatalf("a double counted as a request: %+v", r)
		}
	}
}

// A key that no VM may have seen is made anew for the VM that is tried next.
func TestUnsentKeyTakesTheTicketOfTheNextVM(t *testing.T) {
	v := newVMs(t, "unknown", "answered")
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v.addresses = append([]string{gone.Addr().String()}, v.addresses...)
	gone.Close()
	v.call(Shape{Method: http.MethodPost, BodyBytes: 5, Keyed: true}, 1)
	sent := v.sent()
	if len(sent) != 2 {
		t.Fatalf("%d tries arrived, want 2", len(sent))
	}
	for i, h := range sent {
		if ticket, _, _ := strings.Cut(h.Get(edge.HeaderIdempotencyKey), edge.KeySeparator); ticket != "ticket-1" {
			t.Errorf("try %d carries the ticket %q, want that of the first VM that was reached", i, ticket)
		}
	}
}

func TestLookupsAreCachedForTheirAge(t *testing.T) {
	v := newVMs(t, "answered")
	v.call(Shape{Method: http.MethodGet}, 5)
	if v.lookups != 1 {
		t.Fatalf("%d look-ups for 5 requests within the age", v.lookups)
	}
	v = newVMs(t, "answered")
	v.maxAge = 0
	v.call(Shape{Method: http.MethodGet}, 5)
	if v.lookups != 5 {
		t.Fatalf("%d look-ups for 5 requests with no age", v.lookups)
	}
}

func TestLatencyRunsFromThePlannedArrival(t *testing.T) {
	v := newVMs(t, "answered")
	notes := NewNotes(false)
	c := New(Options{Name: "c", Entries: v.addresses, Notes: notes, Timeout: time.Second})
	shape := &Shape{Service: "s", Method: http.MethodGet, Path: "/s/x", AnswerBytes: 10}
	c.request(context.Background(), shape, 1, 1, time.Now().Add(-time.Minute))
	if r := notes.Results()[0]; r.Answered != 1 || r.P50MS < 60_000 {
		t.Fatalf("%+v", r)
	}
}

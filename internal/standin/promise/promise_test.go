package promise_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/standin"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/promise"
	"masticturn/internal/standin/target"
)

const vmName = "vm-1"

// forwarder is a daemon in miniature that keeps all promises or, when broken
// is set, breaks one of them.
type forwarder struct {
	address string
	target  string
	broken  promise.Kind
}

func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == edge.PathLookup {
		vm := edge.LookupVM{Name: vmName, Address: f.address}
		if f.broken == promise.RefusedByDrain {
			vm.Address = "127.0.0.1:1" // nobody listens there any more
		}
		json.NewEncoder(w).Encode(edge.LookupResponse{VMs: []edge.LookupVM{vm}, MaxAgeSeconds: 60})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch f.broken {
	case promise.ExecutedTwice:
		f.forward(r, body)
	case promise.LostUpload:
		body = body[:len(body)/2]
	case promise.AnsweredUnrun:
		seed, _ := strconv.ParseUint(r.URL.Query().Get(standin.QueryContent), 10, 64)
		n, _ := strconv.ParseInt(r.URL.Query().Get(standin.QueryBytes), 10, 64)
		w.Header().Set(edge.HeaderRequestID, r.Header.Get(edge.HeaderRequestID))
		io.Copy(w, standin.ContentReader(seed, n))
		return
	}
	status, answer, err := f.forward(r, body)
	switch {
	case f.broken == promise.CutByDrain:
		panic(http.ErrAbortHandler)
	case f.broken == promise.FalseNotRun:
		w.Header().Set(edge.HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f.broken == promise.Crossed:
		io.ReadFull(standin.NewContent(1), answer)
	case f.broken == promise.PartialAsWhole:
		answer = answer[:len(answer)/2]
	case err != nil:
		w.Header().Set(edge.HeaderOutcome, "unknown")
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.Header().Set(edge.HeaderOutcome, "answered")
	w.Header().Set(edge.HeaderRequestID, r.Header.Get(edge.HeaderRequestID))
	w.WriteHeader(status)
	w.Write(answer)
}

func (f *forwarder) forward(r *http.Request, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+f.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header = r.Header.Clone()
	req.Header.Del(edge.HeaderIdempotencyKey) // the check must not rely on it
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// run sends requests through a forwarder and checks the promises.
func run(t *testing.T, broken promise.Kind, faults ...target.Fault) (promise.Report, []caller.ClassResult) {
	t.Helper()
	log := target.NewLog()
	tg, err := target.Start(target.Options{Name: "t-1", Slots: 4, QueueLimit: 100, Seed: 1, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	defer tg.Kill()
	tg.SetFaults(0.3, faults...)
	f := &forwarder{target: tg.Address(), broken: broken}
	server, err := standin.Serve("127.0.0.1:0", f)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	f.address = server.Address()

	from := time.Now()
	notes := caller.NewNotes(true)
	caller.New(caller.Options{
		Name:    "c-1",
		Entries: []string{server.Address()},
		Shapes: []caller.Shape{
			{Name: "read", Service: "s", Class: "read", Method: http.MethodGet, Path: "/s/read", Weight: 1, AnswerBytes: 500, Repeatable: true},
			{Name: "commit", Service: "s", Class: "commit", Method: http.MethodPost, Path: "/s/commit", Weight: 1, AnswerBytes: 50, BodyBytes: 20, Keyed: true},
			{Name: "upload", Service: "s", Class: "upload", Method: http.MethodPost, Path: "/s/upload", Weight: 1, AnswerBytes: 50, BodyBytes: 50_000},
		},
		Rate: 400, MaxTries: 1, Seed: 7, Notes: notes, Timeout: 500 * time.Millisecond,
	}).Run(context.Background(), 40)

	in := promise.Input{Tries: notes.Tries(), Executions: log.Records()}
	switch broken {
	case promise.CutByDrain:
		in.Drains = []promise.Interval{{Name: vmName, From: from}}
	case promise.RefusedByDrain:
		in.Away = []promise.Interval{{Name: vmName, From: from}}
	case promise.WorkToLeaving:
		in.Leaving = []promise.Interval{{Name: "t-1", From: from.Add(-time.Second)}}
		in.Quiet = time.Second
	}
	return promise.Check(in), notes.Results()
}

func TestHonestForwarderBreaksNothing(t *testing.T) {
	faults := []target.Fault{target.CutBefore, target.CutAfter, target.CutAnswer, target.SilentAfter, target.WrongLength}
	report, results := run(t, "", faults...)
	if report.Total != 0 {
		t.Fatalf("an honest forwarder broke promises: %+v", report)
	}
	var requests, answered, unknown int
	for _, r := range results {
		requests, answered, unknown = requests+r.Requests, answered+r.Answered, unknown+r.Unknown
	}
	if requests != 40 || answered < 15 || unknown < 3 {
		t.Fatalf("%d requests, %d answered, %d unknown", requests, answered, unknown)
	}
}

// TestKeyJoinsTheTriesOfARequest runs a keyed request once for each of two
// tries, and gives the answer of the first to the second.
func TestKeyJoinsTheTriesOfARequest(t *testing.T) {
	first := caller.Note{RequestID: "1", Key: "k", Told: caller.ToldNothing}
	second := caller.Note{RequestID: "2", Key: "k", Told: caller.ToldAnswered, Content: caller.ContentWhole, Replayed: true}
	run := func(id string) target.Record {
		return target.Record{RequestID: id, Started: time.Now(), Ending: target.Done, BodyOwn: true}
	}
	in := promise.Input{Tries: []caller.Note{first, second}, Executions: []target.Record{run("1")}}
	if r := promise.Check(in); r.Total != 0 {
		t.Errorf("a recorded answer is no broken promise: %+v", r)
	}
	in.Executions = append(in.Executions, run("2"))
	if r := promise.Check(in); r.ExecutedTwice != 1 {
		t.Errorf("the key ran twice: %+v", r)
	}
	in.Executions = nil
	if r := promise.Check(in); r.AnsweredUnrun != 1 {
		t.Errorf("the key never ran: %+v", r)
	}
}

// TestFaultsExplainOnlyTheirOwnCuts checks what excuses a cut during a drain.
func TestFaultsExplainOnlyTheirOwnCuts(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	note := caller.Note{RequestID: "id", VM: vmName, Told: caller.ToldNothing, Started: at(10), Ended: at(12)}
	record := target.Record{RequestID: "id", Target: "t-1"}
	cases := []struct {
		name  string
		fault promise.Fault
		want  int
	}{
		{"none", promise.Fault{VM: "other"}, 1},
		{"same VM", promise.Fault{VM: vmName}, 0},
		{"too early", promise.Fault{VM: vmName, To: at(9)}, 1},
		{"too late", promise.Fault{VM: vmName, From: at(13)}, 1},
		{"its target", promise.Fault{Target: "t-1"}, 0},
		{"another target", promise.Fault{Target: "t-2"}, 1},
		{"same VM with another target", promise.Fault{VM: vmName, Target: "t-2"}, 1},
	}
	for _, tc := range cases {
		report := promise.Check(promise.Input{
			Tries:      []caller.Note{note},
			Executions: []target.Record{record},
			Drains:     []promise.Interval{{Name: vmName, From: at(11), To: at(20)}},
			Faults:     []promise.Fault{tc.fault},
		})
		if report.CutByDrain != tc.want {
			t.Errorf("%s: cut_by_drain = %d, want %d", tc.name, report.CutByDrain, tc.want)
		}
	}
}

func TestBrokenForwarderIsFound(t *testing.T) {
	counters := map[promise.Kind]func(promise.Report) int{
		promise.ExecutedTwice:  func(r promise.Report) int { return r.ExecutedTwice },
		promise.FalseNotRun:    func(r promise.Report) int { return r.FalseNotRun },
		promise.PartialAsWhole: func(r promise.Report) int { return r.PartialAsWhole },
		promise.Crossed:        func(r promise.Report) int { return r.Crossed },
		promise.AnsweredUnrun:  func(r promise.Report) int { return r.AnsweredUnrun },
		promise.LostUpload:     func(r promise.Report) int { return r.LostUpload },
		promise.CutByDrain:     func(r promise.Report) int { return r.CutByDrain },
		promise.RefusedByDrain: func(r promise.Report) int { return r.RefusedByDrain },
		promise.WorkToLeaving:  func(r promise.Report) int { return r.WorkToLeaving },
	}
	for kind, count := range counters {
		t.Run(string(kind), func(t *testing.T) {
			report, _ := run(t, kind)
			if n := count(report); n < 5 || report.Total != n {
				t.Fatalf("%s = %d of %d broken promises: %+v", kind, n, report.Total, report)
			}
		})
	}
}

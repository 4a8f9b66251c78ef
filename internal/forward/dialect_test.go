package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/outcome"
	"masticturn/internal/telemetry"
)

// foreign is a dialect unlike the system's own.
func foreign() *edge.Dialect {
	return &edge.Dialect{
		RequestID:          "Their-Id",
		CallerTimeoutMS:    "Their-Deadline-Ms",
		ObjectKey:          "Their-Object",
		TargetRequestID:    "Their-Id",
		TargetDeadlineMS:   "Their-Deadline-Ms",
		TargetExpect:       "Their-Expected",
		TargetNotRun:       "Their-Not-Run",
		TargetLoad:         "Their-Load",
		ParseLoad:          func(string) (edge.Load, bool) { return edge.Load{}, false },
		Internal:           func(name string) bool { return name == "Their-Expected" },
		FractionalSeconds:  true,
		UndelimitedAnswers: true,
	}
}

func newForeignBench(t *testing.T, doc *config.Document) *bench {
	b := newBench(t, doc, nil, telemetry.Discard())
	b.handler.deps.Dialect = foreign()
	return b
}

func TestDialectNamesTheHeaders(t *testing.T) {
	var got http.Header
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("Their-Id", r.Header.Get("Their-Id"))
		w.Header().Set("Their-Receipt", "signed")
		_, _ = io.WriteString(w, "ok")
	})
	doc := document(target)
	doc.Services[0].Targets[0].Instance = "instance-7"
	b := newForeignBench(t, doc)
	resp, body, err := b.call(t, "GET", "/svc/a", nil,
		"Their-Id", "id-1", "Their-Deadline-Ms", "1500", "Their-Object", "o", "Their-Expected", "forged")
	if err != nil || body != "ok" || resp.Header.Get("Their-Receipt") != "signed" {
		t.Fatal(resp, body, err)
	}
	if got.Get("Their-Id") != "id-1" || got.Get("Their-Object") != "o" || got.Get("Their-Expected") != "instance-7" {
		t.Errorf("the target got %v", got)
	}
	if left := got.Get("Their-Deadline-Ms"); left == "" || len(left) > 4 || left > "1500" {
		t.Errorf("the target has %q ms, the caller 1500", left)
	}
	for name := range resp.Header {
		if strings.HasPrefix(name, edge.InternalHeaderPrefix) {
			t.Errorf("the answer carries %s, which the dialect does not have", name)
		}
	}
}

// An answer that ends with its connection is whole only when the connection
// ends in order.
func TestUndelimitedAnswers(t *testing.T) {
	long := strings.Repeat("x", 3*bufferBytes)
	for _, size := range []int{0, 10, len(long)} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, reset %t", size, reset), func(t *testing.T) {
				target := newScripted(t)
				target.set(script{readBytes: -1, writeBytes: -1, reset: reset, answer: "HTTP/1.1 200 OK\r\n\r\n" + long[:size]})
				b := newForeignBench(t, oneAttempt(closing(t, target.address, reset)))
				resp, body, err := b.call(t, "GET", "/svc/a", nil)
				whole := err == nil && resp != nil && resp.StatusCode == http.StatusOK
				if !reset && (!whole || len(body) != size) {
					t.Errorf("got %d bytes, error %v", len(body), err)
				}
				if reset && whole {
					t.Errorf("an answer that was cut looks whole, with %d bytes", len(body))
				}
			})
		}
	}
}

// closing returns the address of a relay that ends each connection after the
// target's answer, in order or by a reset.
func closing(t *testing.T, target string, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go relayOnce(near.(*net.TCPConn), target, reset)
		}
	}()
	return l.Addr().String()
}

const quietFor = 50 * time.Millisecond // after it the target's answer is over

func relayOnce(near *net.TCPConn, target string, reset bool) {
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	go func() { _, _ = io.Copy(far, near) }()
	buf := make([]byte, 64<<10)
	for {
		_ = far.SetReadDeadline(time.Now().Add(quietFor))
		n, err := far.Read(buf)
		_, _ = near.Write(buf[:n])
		if err != nil && n == 0 {
			break
		}
	}
	if reset {
		_ = near.SetLinger(0)
	}
	_ = near.Close()
	_ = far.Close()
}

// Whatever the status, a target that says that it did not run a request leaves
// it to be run elsewhere, also one that must not run twice.
func TestNotRunByAnyStatus(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		for _, method := range []string{"GET", "POST"} {
			refusing := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Their-Not-Run", "1")
				w.WriteHeader(status)
			})
			good := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			b := newForeignBench(t, document(refusing, good))
			resp, body, err := b.call(t, method, "/svc/a", nil)
			if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
				t.Errorf("%s %d: got %v %q %v", method, status, resp, body, err)
			}
			_ = b.heldPermits()
			first := b.admission.released[0]
			if first.Outcome != outcome.NotRun || first.Misdirected != (status == http.StatusMisdirectedRequest) {
				t.Errorf("%s %d: result %+v", method, status, first)
			}
		}
	}
}

// A refusal without such a word may have run: it is not sent once more when it
// must not run twice.
// Another instance than the one that was named has run nothing, whether or not it
// marks its answer; the caller is not told of the mistake.
func TestUnmarkedAnswerOfAnotherInstanceIsNotRelayed(t *testing.T) {
	moved := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	good := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	doc := document(moved, good)
	doc.Services[0].Targets[0].Instance = "instance-7"
	b := newForeignBench(t, doc)
	resp, body, err := b.call(t, "POST", "/svc/a", strings.NewReader("book"))
	if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("got %v %q %v, want the other target's answer", resp, body, err)
	}
	if first := b.admission.released[0]; !first.Misdirected || first.Outcome != outcome.NotRun {
		t.Errorf("released with %+v", first)
	}
}

func TestUnmarkedRefusalIsRelayed(t *testing.T) {
	runs := 0
	target := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		runs++
		w.WriteHeader(http.StatusTooManyRequests)
	})
	b := newForeignBench(t, document(target, target))
	resp, _, err := b.call(t, "POST", "/svc/a", nil)
	if err != nil || resp.StatusCode != http.StatusTooManyRequests || runs != 1 {
		t.Errorf("got %v %v, %d runs", resp, err, runs)
	}
}

func TestRetryAfterMayHaveAFraction(t *testing.T) {
	if got := formatRetryAfter(150*time.Millisecond, true); got != "0.150" {
		t.Errorf("got %q", got)
	}
	if got := formatRetryAfter(150*time.Millisecond, false); got != "1" {
		t.Errorf("got %q", got)
	}
}

// A process that is about to end tells callers that nothing was run.
func TestRefuseBeforeTheEnd(t *testing.T) {
	target := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { t.Error("the request was run") })
	b := newForeignBench(t, document(target))
	b.handler.CloseConnections()
	b.handler.Refuse()
	resp, _, err := b.call(t, "GET", "/svc/a", nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("got %v %v", resp, err)
	}
}

// hosted returns a document with rules by host.
func hosted(target string, rules ...config.Rule) *config.Document {
	doc := document(target)
	doc.Hosts = []config.Host{{Name: "one.example", Rules: rules}}
	return doc
}

func TestRulesByHost(t *testing.T) {
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	part := []config.Part{{Service: "svc", Weight: 1}}
	b := newForeignBench(t, hosted(target,
		config.Rule{Name: "short", PathPrefix: "/a/", Parts: part, Class: "fast", Repeat: config.RepeatAllowed},
		config.Rule{Name: "none", PathPrefix: "/a/b/", Parts: []config.Part{{Service: "unknown", Weight: 1}}, Class: "fast"},
	))
	tests := []struct {
		host, path string
		status     int
	}{
		{"one.example", "/a/x", http.StatusOK},
		{"ONE.example:8080", "/a/x", http.StatusOK},
		{"one.example", "/a/b/x", http.StatusServiceUnavailable}, // the longest prefix wins
		{"one.example", "/c/", http.StatusNotFound},
		{"two.example", "/a/x", http.StatusNotFound},
	}
	for _, tt := range tests {
		req, err := http.NewRequest("GET", b.URL+tt.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = tt.host
		resp, err := b.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != tt.status {
			t.Errorf("%s%s: got %d, want %d", tt.host, tt.path, resp.StatusCode, tt.status)
		}
	}
}

// The answer comes at the rule's timeout, whatever the caller would wait.
func TestRuleBoundsTheTimeout(t *testing.T) {
	held := make(chan struct{})
	target := newTarget(t, func(http.ResponseWriter, *http.Request) { <-held })
	defer close(held)
	b := newForeignBench(t, hosted(target, config.Rule{
		Name: "r", PathPrefix: "/", Parts: []config.Part{{Service: "svc", Weight: 1}}, Class: "fast",
		Repeat: config.RepeatAllowed, TimeoutMS: 100, MaxAttempts: 1,
	}))
	req, err := http.NewRequest("GET", b.URL+"/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "one.example"
	req.Header.Set("Their-Deadline-Ms", "60000")
	resp, err := b.client.Do(req)
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %v %v", resp, err)
	}
}

// In any run of requests each part of a rule is within one request of its
// share.
func TestSplitIsExactInEveryWindow(t *testing.T) {
	doc := &config.Document{Services: []config.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	snap := config.NewLiveSnapshot(1, doc)
	rule := &config.Rule{Name: "r", Parts: []config.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 7}, {Service: "c", Weight: 3}}}
	s := newSplitter()
	var chosen []string
	for range 1000 {
		chosen = append(chosen, s.service(snap, rule).Name)
	}
	const window = 200
	for from := range len(chosen) - window {
		counts := map[string]int{}
		for _, name := range chosen[from : from+window] {
			counts[name]++
		}
		for _, p := range rule.Parts {
			if off := counts[p.Service] - p.Weight*window/100; off < -1 || off > 1 {
				t.Fatalf("from %d: %s got %d of %d, weight %d", from, p.Service, counts[p.Service], window, p.Weight)
			}
		}
	}
}

func TestSplitFollowsANewDocument(t *testing.T) {
	doc := &config.Document{Services: []config.Service{{Name: "a"}, {Name: "b"}}}
	snap := config.NewLiveSnapshot(1, doc)
	s := newSplitter()
	for range 10 {
		s.service(snap, &config.Rule{Name: "r", Parts: []config.Part{{Service: "a", Weight: 99}, {Service: "b", Weight: 1}}})
	}
	b := 0
	for range 10 {
		if s.service(snap, &config.Rule{Name: "r", Parts: []config.Part{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}).Name == "b" {
			b++
		}
	}
	if b != 5 {
		t.Errorf("%d of 10 requests went to b after the weights became equal", b)
	}
	s.keep(nil)
	if len(s.rules) != 0 {
		t.Error("rules that are gone are kept")
	}
}

// Retries for one service do not use up those of another.
func TestRetryBudgetIsPerService(t *testing.T) {
	r := &config.Retry{BudgetBurst: 2}
	var b budget
	for range 2 {
		if !b.spend("a", "", r) {
			t.Fatal("the burst is not there")
		}
	}
	if b.spend("a", "", r) || !b.spend("b", "", r) {
		t.Error("the budget is not each service's own")
	}
}

func TestDocumentBoundsIdleConnections(t *testing.T) {
	doc := document("127.0.0.1:1")
	snap := config.NewLiveSnapshot(1, doc)
	if got := headLimitsOf(snap).idle; got != callerIdleTimeout {
		t.Errorf("without a bound: %v", got)
	}
	doc.Limits.KeepAliveMS = 15000
	if got := headLimitsOf(snap).idle; got != 15*time.Second {
		t.Errorf("with a bound of 15 s: %v", got)
	}
}

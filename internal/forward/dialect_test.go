package forward

import (
	"fmt"
	"io"
	"math"
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

// foreignDialect returns a dialect that differs from edge.Native.
func foreignDialect() *edge.Dialect {
	return &edge.Dialect{
		RequestID:               "Their-Id",
		CallerTimeoutMS:         "Their-Deadline-Ms",
		ObjectKey:               "Their-Object",
		TargetRequestID:         "Their-Id",
		TargetDeadlineMS:        "Their-Deadline-Ms",
		TargetExpectedInstance:  "Their-Expected",
		TargetNotRun:            "Their-Not-Run",
		TargetLoad:              "Their-Load",
		ParseLoad:               func(string) (edge.Load, bool) { return edge.Load{}, false },
		Internal:                func(name string) bool { return name == "Their-Expected" },
		FractionalRetryAfter:    true,
		CloseDelimitedResponses: true,
	}
}

func newForeignProxy(t *testing.T, doc *config.Document) *testProxy {
	b := newTestProxy(t, doc, nil, telemetry.Discard())
	b.handler.deps.Dialect = foreignDialect()
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
	doc := testDocument(target)
	doc.Services[0].Targets[0].Instance = "instance-7"
	b := newForeignProxy(t, doc)
	resp, body, err := b.call(t, "GET", "/svc/a", nil,
		"Their-Id", "id-1", "Their-Deadline-Ms", "1500", "Their-Object", "o", "Their-Expected", "forged")
	if err != nil || body != "ok" || resp.Header.Get("Their-Receipt") != "signed" {
		t.Fatal(resp, body, err)
	}
	if got.Get("Their-Id") != "id-1" || got.Get("Their-Object") != "o" || got.Get("Their-Expected") != "instance-7" {
		t.Errorf("the target got %v", got)
	}
	if left := got.Get("Their-Deadline-Ms"); left == "" || len(left) > 4 || left > "1500" {
		t.Errorf("the target's deadline is %q ms, the caller's 1500", left)
	}
	for name := range resp.Header {
		if strings.HasPrefix(name, edge.InternalHeaderPrefix) {
			t.Errorf("the response has header %s, which is not in the dialect", name)
		}
	}
}

// A response that is delimited by the end of its connection is complete only if the
// connection is closed cleanly.
func TestUndelimitedAnswers(t *testing.T) {
	long := strings.Repeat("x", 3*relayBufferBytes)
	for _, size := range []int{0, 10, len(long)} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, reset %t", size, reset), func(t *testing.T) {
				target := newScripted(t)
				target.set(script{readBytes: -1, writeBytes: -1, reset: reset, answer: "HTTP/1.1 200 OK\r\n\r\n" + long[:size]})
				b := newForeignProxy(t, singleAttemptDocument(newClosingRelay(t, target.address, reset)))
				resp, body, err := b.call(t, "GET", "/svc/a", nil)
				whole := err == nil && resp != nil && resp.StatusCode == http.StatusOK
				if !reset && (!whole || len(body) != size) {
					t.Errorf("got %d bytes, error %v", len(body), err)
				}
				if reset && whole {
					t.Errorf("a truncated response of %d bytes was relayed as complete", len(body))
				}
			})
		}
	}
}

// newClosingRelay returns the address of a relay that closes each connection after the
// target's response, cleanly or by a reset.
func newClosingRelay(t *testing.T, target string, reset bool) string {
	t.Helper()
	return serveConns(t, func(client *net.TCPConn) { relayOnce(client, target, reset) })
}

const relayReadTimeout = 50 * time.Millisecond // without data for this long, the response is complete

func relayOnce(client *net.TCPConn, target string, reset bool) {
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	go func() { _, _ = io.Copy(upstream, client) }()
	buf := make([]byte, 64<<10)
	for {
		_ = upstream.SetReadDeadline(time.Now().Add(relayReadTimeout))
		n, err := upstream.Read(buf)
		_, _ = client.Write(buf[:n])
		if err != nil && n == 0 {
			break
		}
	}
	if reset {
		_ = client.SetLinger(0)
	}
	_ = client.Close()
	_ = upstream.Close()
}

// A target can report with any status that it did not run a request. The request is
// then sent to another target, even if it is not repeatable.
func TestNotRunByAnyStatus(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		for _, method := range []string{"GET", "POST"} {
			refusing := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Their-Not-Run", "1")
				w.WriteHeader(status)
			})
			good := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			b := newForeignProxy(t, testDocument(refusing, good))
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

// If a target's address belongs to another instance than expected, the request has
// not been run, with or without a header that says so. It is sent to another target
// and the 421 response is not relayed.
func TestUnmarkedAnswerOfAnotherInstanceIsNotRelayed(t *testing.T) {
	moved := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	good := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	doc := testDocument(moved, good)
	doc.Services[0].Targets[0].Instance = "instance-7"
	b := newForeignProxy(t, doc)
	resp, body, err := b.call(t, "POST", "/svc/a", strings.NewReader("book"))
	if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
		t.Errorf("got %v %q %v, want the other target's answer", resp, body, err)
	}
	if first := b.admission.released[0]; !first.Misdirected || first.Outcome != outcome.NotRun {
		t.Errorf("released with %+v", first)
	}
}

// A request refused without the not-run header may have been run. One that is not
// repeatable is therefore not sent again, and the refusal is relayed.
func TestUnmarkedRefusalIsRelayed(t *testing.T) {
	runs := 0
	target := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		runs++
		w.WriteHeader(http.StatusTooManyRequests)
	})
	b := newForeignProxy(t, testDocument(target, target))
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

// A process that is about to exit rejects requests as not run.
func TestRefuseBeforeTheEnd(t *testing.T) {
	target := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { t.Error("the request was run") })
	b := newForeignProxy(t, testDocument(target))
	b.handler.CloseConnections()
	b.handler.Refuse()
	resp, _, err := b.call(t, "GET", "/svc/a", nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("got %v %v", resp, err)
	}
}

// documentWithRules returns a document with the given rules for one host.
func documentWithRules(target string, rules ...config.Rule) *config.Document {
	doc := testDocument(target)
	doc.Hosts = []config.Host{{Name: "one.example", Rules: rules}}
	return doc
}

func TestRulesByHost(t *testing.T) {
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	part := []config.Part{{Service: "svc", Weight: 1}}
	b := newForeignProxy(t, documentWithRules(target,
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

// The rule's timeout applies if the caller's is longer.
func TestRuleBoundsTheTimeout(t *testing.T) {
	held := make(chan struct{})
	target := newTarget(t, func(http.ResponseWriter, *http.Request) { <-held })
	defer close(held)
	b := newForeignProxy(t, documentWithRules(target, config.Rule{
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

// In any window of consecutive requests, each part of a rule is within one request
// of its share.
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

// Each VM of a large fleet gets few requests of a rule, and a change of weights starts anew.
func TestSplitSharesHoldOverVMsWithFewRequests(t *testing.T) {
	const (
		vms       = 985
		tolerance = 0.1 // of all requests
	)
	doc := &config.Document{Services: []config.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	snap := config.NewLiveSnapshot(1, doc)
	rule := &config.Rule{Name: "r", Parts: []config.Part{{Service: "a", Weight: 50}, {Service: "b", Weight: 30}, {Service: "c", Weight: 20}}}
	for _, requests := range []int{1, 2, 3} {
		counts := map[string]int{}
		for range vms {
			s := newSplitter()
			for range requests {
				counts[s.service(snap, rule).Name]++
			}
		}
		for _, p := range rule.Parts {
			share := float64(counts[p.Service]) / float64(vms*requests)
			if off := share - float64(p.Weight)/100; math.Abs(off) > tolerance {
				t.Errorf("%d requests at each VM: %s gets %.2f, weight %d", requests, p.Service, share, p.Weight)
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
	s.retain(nil)
	if len(s.rules) != 0 {
		t.Error("rules that are no longer configured are kept")
	}
}

// Retries of one service do not use the budget of another.
func TestRetryBudgetIsPerService(t *testing.T) {
	r := &config.Retry{BudgetBurst: 2}
	var b retryBudget
	for range 2 {
		if !b.withdraw("a", "", r) {
			t.Fatal("the burst is not available")
		}
	}
	if b.withdraw("a", "", r) || !b.withdraw("b", "", r) {
		t.Error("services share a budget")
	}
}

func TestDocumentBoundsIdleConnections(t *testing.T) {
	doc := testDocument("127.0.0.1:1")
	snap := config.NewLiveSnapshot(1, doc)
	if got := headLimitsOf(snap).idle; got != callerIdleTimeout {
		t.Errorf("without a bound: %v", got)
	}
	doc.Limits.KeepAliveMS = 15000
	if got := headLimitsOf(snap).idle; got != 15*time.Second {
		t.Errorf("with a bound of 15 s: %v", got)
	}
}

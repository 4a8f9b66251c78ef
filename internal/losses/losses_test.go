package losses

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"masticturn/internal/logtrace"
)

// loggedRequest describes a request as the VM logs it. All times are in milliseconds;
// at is relative to epoch.
type loggedRequest struct {
	id, vm, caller, object string
	at, took, sent         int
	attempts, status       int
	region                 string
	known                  bool
	own, waited            int
	failed                 string // outcome of a failed request; "" if answered
	retryAfter             int
}

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func (s loggedRequest) logLines() string {
	end := epoch.Add(time.Duration(s.at+s.took) * time.Millisecond).Format(time.RFC3339Nano)
	head := fmt.Sprintf(`"request_id":%q,"vm":%q,"time":%q`, s.id, s.vm, end)
	tail := fmt.Sprintf(`"caller":"%s:1","rule":"r","class":"c","objective_ms":250,"took_ms":%d,"attempts":%d,"status":%d`, s.caller, s.took, s.attempts, s.status)
	if s.failed != "" && s.region == "" {
		return fmt.Sprintf("{\"event\":8402,%s,\"object\":%q}\n{\"event\":5001,%s,%s,\"outcome\":%q,\"step\":\"admit\",\"retry_after_ms\":%d}\n",
			head, s.object, head, tail, s.failed, s.retryAfter)
	}
	placed := fmt.Sprintf("{\"event\":8401,%s,\"object\":%q,\"peer\":\"t\",\"region\":%q,\"known\":%t,\"own\":%d,\"others\":0,\"slots\":6,\"waited_ms\":%d}\n",
		head, s.object, s.region, s.known, s.own, s.waited)
	if s.failed != "" {
		return placed + fmt.Sprintf("{\"event\":5001,%s,%s,\"outcome\":%q,\"step\":\"wait\"}\n", head, tail, s.failed)
	}
	return placed + fmt.Sprintf("{\"event\":5006,%s,%s,\"sent_ms\":%d}\n", head, tail, s.sent)
}

func buildTable(t *testing.T, requests ...loggedRequest) *Table {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "{\"event\":1001,\"vm\":\"vm-1\",\"region\":\"a\",\"time\":%q}\n", epoch.Format(time.RFC3339Nano))
	for i := range 20 { // typical latency: 80 ms
		s := loggedRequest{id: fmt.Sprint("u", i), vm: "vm-1", caller: "u", object: "o", at: i, took: 82, sent: 80, attempts: 1, status: 200, region: "a", known: true}
		b.WriteString(s.logLines())
	}
	for _, s := range requests {
		b.WriteString(s.logLines())
	}
	lines, err := logtrace.Read(strings.NewReader(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return Read(lines).Count(Options{Worth: map[string]Worth{"c": {InTime: 2, Late: 0.4}}, CallerRTT: 6 * time.Millisecond, RegionRTT: 70 * time.Millisecond})
}

func TestCauses(t *testing.T) {
	good := loggedRequest{id: "x", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 100, took: 90, sent: 85, attempts: 1, status: 200, region: "a", known: true}
	with := func(change func(*loggedRequest)) loggedRequest {
		s := good
		change(&s)
		return s
	}
	tests := []struct {
		name    string
		request loggedRequest
		want    Cause // "" if nothing is lost
	}{
		{"answered in time", good, ""},
		{"exactly in time with the round trip to the caller", with(func(s *loggedRequest) { s.took, s.sent = 244, 240 }), ""},
		{"first run", with(func(s *loggedRequest) { s.known, s.took, s.sent = false, 290, 285 }), CauseFirstRun},
		{"object not known, but latency too low for a first run", with(func(s *loggedRequest) { s.known, s.waited, s.took, s.sent = false, 200, 290, 85 }), CauseWaitedAtVM},
		{"waited at the VM", with(func(s *loggedRequest) { s.waited, s.took = 200, 290 }), CauseWaitedAtVM},
		{"all slots in use", with(func(s *loggedRequest) { s.own, s.took, s.sent = 6, 290, 285 }), CauseWaitedAtTarget},
		{"other region", with(func(s *loggedRequest) { s.region, s.took, s.sent = "b", 290, 285 }), CauseRemoteRegion},
		{"other region, but late without its round trip too", with(func(s *loggedRequest) { s.region, s.took, s.sent = "b", 390, 385 }), CauseSlowTarget},
		{"slow target", with(func(s *loggedRequest) { s.took, s.sent = 390, 385 }), CauseSlowTarget},
		{"two attempts", with(func(s *loggedRequest) { s.attempts, s.took = 2, 290 }), CauseMultipleAttempts},
		{"refused", loggedRequest{id: "x", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 100, took: 60, attempts: 1, status: 503, failed: "not-run"}, CauseRefused},
		{"no answer", with(func(s *loggedRequest) { s.status, s.failed = 504, "unknown" }), CauseUnanswered},
		{"response cut off", with(func(s *loggedRequest) { s.status, s.failed = 502, "unknown" }), CauseFailed},
		{"error response", with(func(s *loggedRequest) { s.status = 500 }), CauseFailed},
	}
	for _, tt := range tests {
		table := buildTable(t, tt.request)
		switch {
		case tt.want == "" && len(table.Losses) == 0:
		case tt.want != "" && len(table.Losses) == 1 && table.Losses[0].Cause == tt.want:
		default:
			t.Errorf("%s: %+v, want %q", tt.name, table.Losses, tt.want)
		}
	}
}

// A refused request that the caller retries counts once: its last try decides.
func TestRetriesAreLinked(t *testing.T) {
	refused := loggedRequest{id: "x", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 100, took: 60, attempts: 1, status: 503, failed: "not-run", retryAfter: 100}
	retry := loggedRequest{id: "y", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 265, took: 90, sent: 85, attempts: 1, status: 200, region: "a", known: true}
	late := buildTable(t, refused, retry)
	if len(late.Losses) != 1 || late.Losses[0].Cause != CauseRetriedLate || late.Losses[0].At != 100*time.Millisecond || late.TotalWorth != 42 {
		t.Errorf("late retry: got losses %+v, total worth %v", late.Losses, late.TotalWorth)
	}
	retry.at = 220
	if early := buildTable(t, refused, retry); len(early.Losses) != 0 {
		t.Errorf("retry in time: got losses %+v", early.Losses)
	}
	retry.object = "8"
	if other := buildTable(t, refused, retry); len(other.Losses) != 1 || other.Losses[0].Cause != CauseRefused {
		t.Errorf("request for another object: got losses %+v", other.Losses)
	}
}

// The sums by each key add up to the total lost worth.
func TestSumsAddUp(t *testing.T) {
	table := buildTable(t,
		loggedRequest{id: "x", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 100, took: 60, attempts: 1, status: 503, failed: "not-run"},
		loggedRequest{id: "y", vm: "vm-2", caller: "1.1.1.2", object: "7", at: 4100, took: 390, sent: 385, attempts: 1, status: 200, region: "a", known: true})
	if lost := table.Lost(); math.Abs(lost-3.6) > 1e-9 {
		t.Errorf("got lost worth %v, want 3.6", lost)
	}
	for name, key := range map[string]func(*Loss) string{"rule": ByRule, "region": ByRegion, "window": table.ByWindow} {
		sum := 0.0
		for _, by := range table.Sums(key) {
			for _, worth := range by {
				sum += worth
			}
		}
		if math.Abs(sum-table.Lost()) > 1e-9 {
			t.Errorf("sums by %s: got %v, want %v", name, sum, table.Lost())
		}
	}
	var out bytes.Buffer
	if err := table.Print(&out, 1); err != nil || !strings.Contains(out.String(), "refused, and not back") || !strings.Contains(out.String(), "4s") {
		t.Errorf("%v:\n%s", err, out.String())
	}
}

func TestParseWorth(t *testing.T) {
	if class, w, err := ParseWorth("priority-1=2/0.4"); err != nil || class != "priority-1" || w != (Worth{2, 0.4}) {
		t.Errorf("%s %+v %v", class, w, err)
	}
	for _, bad := range []string{"", "a", "a=1", "a=x/1", "a=1/x"} {
		if _, _, err := ParseWorth(bad); err == nil {
			t.Errorf("ParseWorth(%q) succeeded, want an error", bad)
		}
	}
}

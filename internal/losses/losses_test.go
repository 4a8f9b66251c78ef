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

// story writes the lines of one request. All times are milliseconds since the
// first one.
type story struct {
	id, vm, caller, object string
	at, took, sent         int
	attempts, status       int
	region                 string
	known                  bool
	own, waited            int
	failed                 string // its outcome; "": answered
	retryAfter             int
}

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func (s story) lines() string {
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

func tableOf(t *testing.T, stories ...story) *Table {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "{\"event\":1001,\"vm\":\"vm-1\",\"region\":\"a\",\"time\":%q}\n", epoch.Format(time.RFC3339Nano))
	for i := range 20 { // what is usual: 80 ms
		s := story{id: fmt.Sprint("u", i), vm: "vm-1", caller: "u", object: "o", at: i, took: 82, sent: 80, attempts: 1, status: 200, region: "a", known: true}
		b.WriteString(s.lines())
	}
	for _, s := range stories {
		b.WriteString(s.lines())
	}
	lines, err := logtrace.Read(strings.NewReader(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return Read(lines).Count(Options{Worth: map[string]Worth{"c": {InTime: 2, Late: 0.4}}, Way: 6 * time.Millisecond, Trip: 70 * time.Millisecond})
}

func TestCauses(t *testing.T) {
	good := story{id: "x", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 100, took: 90, sent: 85, attempts: 1, status: 200, region: "a", known: true}
	with := func(change func(*story)) story {
		s := good
		change(&s)
		return s
	}
	tests := []struct {
		name  string
		story story
		want  Cause // "": nothing is lost
	}{
		{"on time", good, ""},
		{"its objective is met with the way to the caller", with(func(s *story) { s.took, s.sent = 244, 240 }), ""},
		{"a first run", with(func(s *story) { s.known, s.took, s.sent = false, 290, 285 }), CauseFirstRun},
		{"the VM did not know, and it was no first run", with(func(s *story) { s.known, s.waited, s.took, s.sent = false, 200, 290, 85 }), CauseWaitedHere},
		{"waited here", with(func(s *story) { s.waited, s.took = 200, 290 }), CauseWaitedHere},
		{"all slots in use", with(func(s *story) { s.own, s.took, s.sent = 6, 290, 285 }), CauseWaited},
		{"another region", with(func(s *story) { s.region, s.took, s.sent = "b", 290, 285 }), CauseTrip},
		{"another region would not do", with(func(s *story) { s.region, s.took, s.sent = "b", 390, 385 }), CauseLongRun},
		{"long", with(func(s *story) { s.took, s.sent = 390, 385 }), CauseLongRun},
		{"sent twice", with(func(s *story) { s.attempts, s.took = 2, 290 }), CauseSentAgain},
		{"refused", story{id: "x", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 100, took: 60, attempts: 1, status: 503, failed: "not-run"}, CauseRefused},
		{"no answer", with(func(s *story) { s.status, s.failed = 504, "unknown" }), CauseUnanswered},
		{"cut", with(func(s *story) { s.status, s.failed = 502, "unknown" }), CauseFailed},
		{"a failure of the target", with(func(s *story) { s.status = 500 }), CauseFailed},
	}
	for _, tt := range tests {
		table := tableOf(t, tt.story)
		switch {
		case tt.want == "" && len(table.Losses) == 0:
		case tt.want != "" && len(table.Losses) == 1 && table.Losses[0].Cause == tt.want:
		default:
			t.Errorf("%s: %+v, want %q", tt.name, table.Losses, tt.want)
		}
	}
}

// What became of a refused request shows in the next try of its caller, if there
// is one.
func TestCallersThatComeBack(t *testing.T) {
	refused := story{id: "x", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 100, took: 60, attempts: 1, status: 503, failed: "not-run", retryAfter: 100}
	back := story{id: "y", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 265, took: 90, sent: 85, attempts: 1, status: 200, region: "a", known: true}
	late := tableOf(t, refused, back)
	if len(late.Losses) != 1 || late.Losses[0].Cause != CauseComeback || late.Losses[0].At != 100*time.Millisecond || late.Owed != 42 {
		t.Errorf("back, and late by all: %+v, %v owed", late.Losses, late.Owed)
	}
	back.at = 220
	if early := tableOf(t, refused, back); len(early.Losses) != 0 {
		t.Errorf("back in time: %+v", early.Losses)
	}
	back.object = "8"
	if other := tableOf(t, refused, back); len(other.Losses) != 1 || other.Losses[0].Cause != CauseRefused {
		t.Errorf("another object is another request: %+v", other.Losses)
	}
}

// The sums by whatever key add up to what was lost.
func TestSumsAddUp(t *testing.T) {
	table := tableOf(t,
		story{id: "x", vm: "vm-1", caller: "1.1.1.1", object: "7", at: 100, took: 60, attempts: 1, status: 503, failed: "not-run"},
		story{id: "y", vm: "vm-2", caller: "1.1.1.2", object: "7", at: 4100, took: 390, sent: 385, attempts: 1, status: 200, region: "a", known: true})
	if lost := table.Lost(); math.Abs(lost-3.6) > 1e-9 {
		t.Errorf("%v lost", lost)
	}
	for name, key := range map[string]func(*Loss) string{"rule": ByRule, "region": ByRegion, "window": table.ByWindow} {
		sum := 0.0
		for _, by := range table.Sums(key) {
			for _, worth := range by {
				sum += worth
			}
		}
		if math.Abs(sum-table.Lost()) > 1e-9 {
			t.Errorf("by %s: %v of %v", name, sum, table.Lost())
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
			t.Errorf("%q is read", bad)
		}
	}
}

package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// passedOn is how long an answer takes at most from its target to the caller.
const passedOn = 100 * time.Millisecond

// ownRequest is a read, a write, or an upload that nobody else sends.
func ownRequest(n int) call {
	c := ownRead(n)
	switch n % 4 {
	case 0:
		c.method, c.path, c.body = "POST", fmt.Sprintf("/write/%d", n), "body"
	case 1:
		c.method, c.path, c.body, c.chunked = "POST", fmt.Sprintf("/write/%d", n), string(make([]byte, 100_000)), true
	}
	return c
}

// afterWord returns how many requests reached a target that callers had sent to a VM
// later than memDrain after it had passed on the target's word that it leaves.
func (g *memTarget) afterWord(id string) int {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runs {
		told, ok := g.told[r.from]
		if ok && r.target == id && r.sent.After(told.Add(passedOn+memDrain)) {
			n++
		}
	}
	return n
}

// Guards against sending to targets that have said in their answers that they leave.
func TestTargetThatSaysItLeavesGetsNothingMore(t *testing.T) {
	tests := map[string]func(f *memFleet, id string){
		"the store says nothing": func(*memFleet, string) {},
		"the store is away":      func(f *memFleet, _ string) { f.objects.SetOutage(true) },
		"its entry lapses and comes back": func(f *memFleet, id string) {
			time.Sleep(4 * time.Second)
			f.objects.Remove("servers", id)
			time.Sleep(3 * time.Second)
			f.objects.Put("servers", id, f.targets[0].start.entry("ready"))
		},
	}
	for name, trouble := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newMemFleet(t, 6, 2)
				defer f.stop()
				g := f.targets[0]
				id := g.start.id
				time.AfterFunc(2*time.Second, func() {
					g.leave()
					go trouble(f, id)
				})
				var s served
				f.load(20*time.Millisecond, 15*time.Second, &s, ownRequest)
				t.Logf("%d VMs were told, %d requests too late, %.3f served", len(g.told), g.afterWord(id), s.share())
				if len(g.told) == 0 {
					t.Error("no VM was told")
				}
				if n := g.afterWord(id); n > 0 {
					t.Errorf("%d requests reached a target that leaves too late", n)
				}
				if s.share() < 0.99 {
					t.Errorf("%.3f served, want 0.99", s.share())
				}
			})
		})
	}
}

// Bounds on a target that turns a VM away with Retry-After: so many requests of the
// VM may reach it from wantsNothingAfter on until that time is over.
const (
	wantsNothingAfter = 500 * time.Millisecond
	wantsNothingMost  = 2
)

// tooMany returns how many requests reached the target at most from one VM while it
// wanted nothing.
func (g *memTarget) tooMany(after time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for _, refusal := range g.came {
		n := 0
		for _, a := range g.came {
			late := a.at.Sub(refusal.at)
			if refusal.refused && a.from == refusal.from && late > wantsNothingAfter && late < after {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against sending to a target before the time that it told with a refusal is
// over, and against waiting longer.
func TestTargetThatWantsNothingForAWhileIsLeftAlone(t *testing.T) {
	const after = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t, 6, 2)
		defer f.stop()
		g := f.targets[0]
		var over time.Time
		time.AfterFunc(2*time.Second, func() { g.turnAway("3") })
		time.AfterFunc(10*time.Second, func() {
			g.turnAway("")
			over = time.Now()
		})
		var s served
		f.load(10*time.Millisecond, 16*time.Second, &s, ownRequest)
		n := g.tooMany(after)
		t.Logf("%d requests of one VM at most, %.3f served", n, s.share())
		if n > wantsNothingMost {
			t.Errorf("%d requests of one VM while the target wanted nothing, at most %d are allowed", n, wantsNothingMost)
		}
		if s.share() < 0.99 {
			t.Errorf("%.3f served, want 0.99", s.share())
		}
		first := time.Time{}
		for _, a := range g.came {
			if first.IsZero() && a.at.After(over) {
				first = a.at
			}
		}
		if first.IsZero() || first.Sub(over) > after+time.Second {
			t.Errorf("used again %v after it wants requests", first.Sub(over))
		}
	})
}

// Guards against refusals that come late or name another time than the soonest,
// where no target wants anything.
func TestAllTargetsWantNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t, 2, 1)
		defer f.stop()
		for i, g := range f.targets {
			g.turnAway(strconv.Itoa(3 + i))
		}
		f.repeat(20*time.Millisecond, time.Second, call{method: "GET", path: "/read/x"}) // each VM hears of all
		client := f.newClient("a1")
		defer client.CloseIdleConnections()
		began := time.Now()
		r := f.send(client, f.vms[0], call{method: "GET", path: "/read/y"})
		if took := time.Since(began); r.status != http.StatusServiceUnavailable || took > passedOn {
			t.Errorf("%+v after %v, want a refusal at once", r, took)
		}
		if after, err := strconv.ParseFloat(r.after, 64); err != nil || after < 1.5 || after > 3 {
			t.Errorf("told to come back in %q s, want 2 to 3", r.after)
		}
	})
}

// oddHarm is how much less may be served beside a target that refuses with an odd
// time to return than beside one that refuses without any.
const oddHarm = 0.03

// Guards against harm by values of Retry-After that no target should send.
func TestOddTimesToReturnHarmNobodyElse(t *testing.T) {
	plain := servedBesideRefusals(t, "")
	for _, odd := range []string{"-5", "0", "1e300", "99999999999", "NaN", "Inf", "soon", "1,5", "Fri, 31 Dec 2099 23:59:59 GMT"} {
		if got := servedBesideRefusals(t, odd); got < plain-oddHarm {
			t.Errorf("%s: %.3f served, %.3f without a time", odd, got, plain)
		}
	}
}

// servedBesideRefusals returns which part of requests is served while one target of
// four turns all away with a time to return. No caller may be told an odd one.
func servedBesideRefusals(t *testing.T, after string) float64 {
	var s served
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t, 2, 1)
		defer f.stop()
		f.targets[0].turnAway(after + " ")
		f.load(50*time.Millisecond, 10*time.Second, &s, ownRead)
		for _, g := range f.targets {
			g.turnAway(after + " ")
		}
		for _, r := range f.repeat(50*time.Millisecond, time.Second, call{method: "GET", path: "/read/x"}) {
			if told, err := strconv.ParseFloat(r.after, 64); r.after != "" && !(err == nil && told >= 0 && told <= 600) {
				t.Fatalf("%s: a caller is told to come back in %q s", after, r.after)
			}
		}
	})
	return s.share()
}

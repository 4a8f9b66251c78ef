package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// vmNames returns the names of so many VMs.
func vmNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%03d", i)
	}
	return names
}

// The positions of all VMs make one tree.
func TestPositionsMakeATree(t *testing.T) {
	for _, size := range []int{1, 2, 3, 28, 65, 155} {
		names := vmNames(size)
		tops := 0
		for _, name := range names {
			p, ok := PositionOf(name, names)
			if !ok {
				t.Fatalf("%d VMs: %s has no position", size, name)
			}
			if p.Above == "" {
				tops++
			}
			for _, below := range p.Below {
				if q, _ := PositionOf(below, names); q.Above != name {
					t.Errorf("%d VMs: %s is below %s, which is below %q by its own view", size, below, name, q.Above)
				}
			}
			steps := 0
			for at := p; at.Above != ""; steps++ {
				at, _ = PositionOf(at.Above, names)
			}
			if steps > 7 {
				t.Errorf("%d VMs: %d steps from %s to the top", size, steps, name)
			}
		}
		if tops != 1 {
			t.Errorf("%d VMs: %d are at the top", size, tops)
		}
	}
	if _, ok := PositionOf("gone", vmNames(3)); ok {
		t.Error("a VM that is not there has a position")
	}
}

// wordOf is the word of a VM that has requests at target 1.
func wordOf(running int, objects ...string) *Word {
	u := newUse()
	u.Running[1] = running
	if len(objects) > 0 {
		u.Objects[1] = objects
	}
	return &Word{Services: map[string]*Use{"svc": u}, Life: time.Second}
}

func TestTellerSumsUpWhatIsBelow(t *testing.T) {
	own := func() *Word { return wordOf(1, "a") }
	teller := NewTeller()
	teller.SetPosition(Position{Above: "top", Below: []string{"x", "y"}})
	if !teller.Told("x", wordOf(2, "b"), start) || !teller.Told("y", wordOf(3), start) {
		t.Error("words of VMs below are not told on")
	}
	if teller.Told("stranger", wordOf(50), start) {
		t.Error("a VM that is not below is listened to")
	}
	turn := teller.Take(own, start)
	u := turn.Word.Services["svc"]
	if len(turn.To) != 1 || turn.To[0] != "top" || turn.Sum || u.Running[1] != 6 || len(u.Objects[1]) != 2 {
		t.Errorf("told %+v, %+v", turn, u)
	}
	turn = teller.Take(own, start.Add(time.Second+1))
	if u := turn.Word.Services["svc"]; u.Running[1] != 1 || len(u.Objects[1]) != 1 {
		t.Errorf("words that are too old are told: %+v", u)
	}
}

// The top tells the sum, less often the larger it is; when there is nothing to tell
// any more, that is told once.
func TestTopTellsTheSum(t *testing.T) {
	teller := NewTeller()
	teller.SetPosition(Position{Below: []string{"x", "y"}})
	large := wordOf(1)
	for id := range uint32(1000) {
		large.Services["svc"].Running[id] = 1
	}
	teller.Told("x", large, start)
	turn := teller.Take(func() *Word { return wordOf(1) }, start)
	if !turn.Sum || len(turn.To) != 2 || turn.Word.Services["svc"].Running[1] != 2 {
		t.Errorf("told %+v", turn)
	}
	period := turn.Word.Life / shareLives
	if sent := float64(turn.Word.size()*len(turn.To)) / period.Seconds(); sent > 1.01*shareBytes {
		t.Errorf("%.0f bytes a second, want %d at most", sent, shareBytes)
	}
	none := func() *Word { return &Word{Services: make(map[string]*Use)} }
	if turn := teller.Take(none, start.Add(period-1)); turn.To != nil {
		t.Error("the sum is told too early")
	}
	now := start.Add(time.Minute)
	if turn := teller.Take(none, now); len(turn.To) != 2 || !turn.Word.Empty() {
		t.Errorf("that nothing is left is not told: %+v", turn)
	}
	if turn := teller.Take(none, now.Add(time.Minute)); turn.To != nil {
		t.Errorf("nothing is told again: %+v", turn)
	}
}

// Each VM of a region of 65 told 24 others, drawn anew each time, of the objects that
// targets got to know since the time before: six of ten never heard of one and sent
// its requests to targets that ran them for the first time; each one's last word on
// its requests had reached a VM with a probability of three quarters. All VMs hear all,
// within a second.
func TestAllVMsOfALargeRegionHearAll(t *testing.T) {
	for _, size := range []int{3, 28, 65, 155} {
		synctest.Test(t, func(t *testing.T) {
			_, svc, vms := regionOfVMs(t, size)
			time.Sleep(time.Second)
			for _, a := range vms {
				if a.deps.VM.Region == "ros" {
					acquireObject(t, a, svc, a.deps.VM.Name)
				}
			}
			time.Sleep(time.Second)
			synctest.Wait()
			for name, a := range vms {
				if name == "far" {
					continue
				}
				if got, want := heardOf(a), size-1; got < want {
					t.Errorf("%d VMs: %s was told of %d requests, want %d", size, name, got, want)
				}
				if got := knownTo(a); got != size {
					t.Errorf("%d VMs: %s knows of %d objects at targets, want %d", size, name, got, size)
				}
			}
		})
	}
}

// knownTo counts the objects that a VM believes targets to know.
func knownTo(a *Admitter) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, p := range a.pools {
		for _, target := range p.order {
			n += len(target.objects.last)
		}
	}
	return n
}

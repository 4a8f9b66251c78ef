package placement

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/admission"
)

// without returns a site's view without some targets.
func (s site) without(t *testing.T, p *Pool, names ...string) {
	t.Helper()
	v, svc := s.view(t)
	rest := *svc
	rest.AllTargets = nil
	for _, target := range svc.AllTargets {
		keep := true
		for _, name := range names {
			keep = keep && target.Name != name
		}
		if keep {
			rest.AllTargets = append(rest.AllTargets, target)
		}
	}
	p.SetTargets(&rest, v)
}

// chosen returns the targets that get requests about many objects.
func chosen(p *Pool, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for n := range 200 {
		if at := p.Choose(ask(fmt.Sprint(n)), now); at != nil {
			out[at.index.Name] = true
		}
	}
	return out
}

func TestTargetThatSaysItLeavesIsNotChosenAgain(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	if !chosen(p, start)["ros-0"] {
		t.Fatal("the target is not chosen before")
	}
	if !p.NoteWord("ros-0", admission.Word{Leaving: true}, start) || p.NoteWord("ros-0", admission.Word{Leaving: true}, start) {
		t.Error("the word is no news, or twice")
	}
	steps := map[string]func(){
		"at once":                            func() {},
		"with the same view again":           func() { estiba.without(t, p) },
		"after its entry was away":           func() { estiba.without(t, p, "ros-0"); estiba.without(t, p) },
		"after others left and came back":    func() { estiba.without(t, p, "ros-1", "bb-0"); estiba.without(t, p) },
		"after words of many others' starts": func() { sayMany(p, wordsMost/2) },
	}
	for name, step := range steps {
		step()
		now := start.Add(time.Hour)
		if got := chosen(p, now); got["ros-0"] || !got["ros-1"] {
			t.Errorf("%s: chosen are %v", name, got)
		}
		if p.Wanted("ros-0") || !p.Wanted("ros-1") {
			t.Errorf("%s: requests on their way: ros-0 %v, ros-1 %v", name, p.Wanted("ros-0"), p.Wanted("ros-1"))
		}
		if len(chosen(p, now)) < 5 {
			t.Errorf("%s: others are not chosen either", name)
		}
	}
	for _, target := range p.Expected(start) {
		if target.Name == "ros-0" {
			t.Error("connections are opened ahead to a target that leaves")
		}
	}
}

// sayMany lets many starts that are gone say that they leave.
func sayMany(p *Pool, n int) {
	for i := range n {
		p.NoteWord(fmt.Sprint("gone ", i), admission.Word{Leaving: true}, start.Add(time.Duration(i)))
	}
}

func TestWordsOfTargetsThatAreGoneAreBounded(t *testing.T) {
	p, _ := newTestPool(t, "ros", estiba)
	p.NoteWord("ros-0", admission.Word{Leaving: true}, start.Add(-time.Hour))
	sayMany(p, 2*wordsMost)
	estiba.without(t, p)
	if most := wordsMost + len(p.targets); len(p.words) > most {
		t.Errorf("%d words, at most %d are allowed", len(p.words), most)
	}
	if p.Wanted("ros-0") || p.Wanted(fmt.Sprint("gone ", 2*wordsMost-1)) || !p.Wanted("gone 0") {
		t.Error("the wrong words were forgotten")
	}
}

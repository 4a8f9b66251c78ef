package tunnel

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"masticturn/internal/config"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func place(name, zone, service string) *config.TargetIndex {
	return &config.TargetIndex{Target: &config.Target{Name: name, Zone: zone}, Service: service}
}

func TestPartitionNeedsEvidenceOfSeveralPlaces(t *testing.T) {
	all := Spread{Zones: 3, Services: 2}
	tests := map[string]struct {
		spread  Spread
		reached []*config.TargetIndex
		gapMS   int
		want    bool
	}{
		"one target":                 {all, []*config.TargetIndex{place("1", "a", "s")}, 10, false},
		"the same target twice":      {all, []*config.TargetIndex{place("1", "a", "s"), place("1", "a", "s")}, 10, false},
		"one zone":                   {all, []*config.TargetIndex{place("1", "a", "s"), place("2", "a", "r")}, 10, false},
		"one service":                {all, []*config.TargetIndex{place("1", "a", "s"), place("2", "b", "s")}, 10, false},
		"two zones and services":     {all, []*config.TargetIndex{place("1", "a", "s"), place("2", "b", "r")}, 10, true},
		"three targets":              {all, []*config.TargetIndex{place("1", "a", "s"), place("2", "a", "r"), place("3", "b", "s")}, 10, true},
		"too far apart":              {all, []*config.TargetIndex{place("1", "a", "s"), place("2", "b", "r")}, 4000, false},
		"one service in the fleet":   {Spread{2, 1}, []*config.TargetIndex{place("1", "a", "s"), place("2", "b", "s")}, 10, true},
		"one zone in the fleet":      {Spread{1, 2}, []*config.TargetIndex{place("1", "a", "s"), place("2", "a", "r")}, 10, true},
		"one target in the fleet":    {Spread{1, 1}, []*config.TargetIndex{place("1", "a", "s")}, 10, false},
		"two targets of one service": {Spread{1, 1}, []*config.TargetIndex{place("1", "a", "s"), place("2", "a", "s")}, 10, true},
	}
	for name, tt := range tests {
		h := NewHealth(at(0))
		for i, target := range tt.reached {
			h.ReachedByOther(target, tt.spread, at(100+i*tt.gapMS))
		}
		if h.Partitioned() != tt.want {
			t.Errorf("%s: partitioned %v, want %v", name, h.Partitioned(), tt.want)
		}
		if !h.Detour(tt.reached[0].Name, at(200)) {
			t.Errorf("%s: a target that only others reach is not reached through them", name)
		}
	}
}

func TestConnectEndsSuspicion(t *testing.T) {
	h := NewHealth(at(0))
	h.ReachedByOther(place("1", "a", "s"), Spread{2, 1}, at(10))
	if !h.Doubtful() {
		t.Error("not doubtful after another VM reached a target")
	}
	h.Connected("2", at(20))
	if h.Doubtful() || !h.Detour("1", at(20)) {
		t.Error("a connect to another target must end the doubt, and not the detour")
	}
	if change := h.ReachedByOther(place("3", "b", "s"), Spread{2, 1}, at(30)); change != Unchanged {
		t.Error("partitioned by evidence from before a connect")
	}
	h.Connected("1", at(40))
	if h.Detour("1", at(40)) {
		t.Error("a target that was reached directly is still reached through other VMs")
	}
}

func TestPartitionEndsAfterTargetsInARow(t *testing.T) {
	h := NewHealth(at(0))
	h.Received(at(5))
	h.ReachedByOther(place("1", "a", "s"), Spread{2, 1}, at(10))
	if change := h.ReachedByOther(place("2", "b", "s"), Spread{2, 1}, at(20)); change != BecamePartitioned || !h.Since().Equal(at(5)) {
		t.Fatalf("change %v since %v, want a partition since the last bytes of a target", change, h.Since())
	}
	steps := []struct {
		do   func() Change
		want Change
	}{
		{func() Change { return h.Connected("1", at(100)) }, Unchanged},
		{func() Change { return h.Connected("1", at(110)) }, Unchanged}, // the same target
		{func() Change { h.Failed(); return Unchanged }, Unchanged},
		{func() Change { return h.Connected("2", at(120)) }, Unchanged}, // not in a row
		{func() Change { return h.Connected("1", at(130)) }, BecameReachable},
	}
	for i, s := range steps {
		if got := s.do(); got != s.want {
			t.Errorf("step %d: change %v, want %v", i, got, s.want)
		}
	}
	if h.Partitioned() || h.DetourCount() != 0 {
		t.Errorf("partitioned %v, %d detours after the end", h.Partitioned(), h.DetourCount())
	}
}

func TestSilence(t *testing.T) {
	h := NewHealth(at(0))
	steps := []struct {
		sentMS, receivedMS int // -1: nothing
		nowMS              int
		want               bool
	}{
		{-1, -1, 1400, false},
		{-1, -1, 1500, true},
		{1600, -1, 1600, true}, // nothing received for long when a request is sent
		{-1, 1700, 2300, false},
		{2350, -1, 2390, false},
		{-1, -1, 2400, true},
		{-1, 2500, 3900, false},
		{-1, -1, 4000, true},
	}
	for i, s := range steps {
		if s.sentMS >= 0 {
			h.Sent(at(s.sentMS))
		}
		if s.receivedMS >= 0 {
			h.Received(at(s.receivedMS))
		}
		if got := h.Silent(at(s.nowMS)); got != s.want {
			t.Errorf("step %d: silent %v, want %v", i, got, s.want)
		}
	}
}

func TestDetoursAreCheckedInTurnAndForgotten(t *testing.T) {
	h := NewHealth(at(0))
	const count = 5
	for i := range count {
		h.ReachedByOther(place(fmt.Sprint(i), "a", "s"), Spread{2, 1}, at(i))
	}
	var checked []string
	for i := range count {
		checked = append(checked, h.DueDetours(1, at(100+i))...)
	}
	slices.Sort(checked)
	if !slices.Equal(checked, []string{"0", "1", "2", "3", "4"}) {
		t.Errorf("checked %v, want each once", checked)
	}
	if due := h.DueDetours(2*count, at(200)); len(due) != count {
		t.Errorf("%d targets are due, want %d, each once", len(due), count)
	}
	h.Detour("3", at(20_000))
	if due := h.DueDetours(2*count, at(40_000)); !slices.Equal(due, []string{"3"}) || h.DetourCount() != 1 {
		t.Errorf("due %v, %d remembered; want only the one that is in use", due, h.DetourCount())
	}
}

package config

import (
	"slices"
	"testing"
)

func mergeBase() *Document {
	return &Document{
		Deployment: "d",
		Regions:    []Region{{Name: "r1", Zones: []string{"z1"}}, {Name: "r2", Zones: []string{"z2"}}},
		ShiftCaps:  []ShiftCap{{From: "r1", To: "r2", MaxFraction: 0.1}},
		Services: []Service{{
			Name:   "s",
			Routes: []Route{{Methods: []string{"GET"}, Class: "read"}, {Class: "rest"}},
			Targets: []Target{
				{Name: "t1", Slots: 3}, {Name: "t2", Slots: 3},
			},
		}},
		Lookup: Lookup{Answers: 3},
	}
}

func TestMerge(t *testing.T) {
	cases := []struct {
		name     string
		mine     func(*Document)
		theirs   func(*Document)
		want     func(*Document)
		overlaps []string
	}{
		{
			"different fields of one element",
			func(d *Document) { d.Services[0].Targets[0].Slots = 5 },
			func(d *Document) { d.Services[0].Targets[0].Leaving = true },
			func(d *Document) { d.Services[0].Targets[0] = Target{Name: "t1", Slots: 5, Leaving: true} },
			nil,
		},
		{
			"the same field",
			func(d *Document) { d.ShiftCaps[0].MaxFraction = 0.2; d.Lookup.Answers = 4 },
			func(d *Document) { d.ShiftCaps[0].MaxFraction = 0.3; d.Lookup.Answers = 4 },
			func(d *Document) { d.ShiftCaps[0].MaxFraction = 0.2; d.Lookup.Answers = 4 },
			[]string{"cap r1→r2 max_fraction"},
		},
		{
			"both add an element",
			func(d *Document) { d.Services[0].Targets = append(d.Services[0].Targets, Target{Name: "mine"}) },
			func(d *Document) { d.Services[0].Targets = append(d.Services[0].Targets, Target{Name: "theirs"}) },
			func(d *Document) {
				d.Services[0].Targets = append(d.Services[0].Targets, Target{Name: "mine"}, Target{Name: "theirs"})
			},
			nil,
		},
		{
			"an inserted route keeps its position",
			func(d *Document) {
				d.Services[0].Routes = slices.Insert(d.Services[0].Routes, 1, Route{Methods: []string{"POST"}, Class: "c"})
			},
			func(d *Document) { d.Deployment = "e" },
			func(d *Document) {
				d.Deployment = "e"
				d.Services[0].Routes = slices.Insert(d.Services[0].Routes, 1, Route{Methods: []string{"POST"}, Class: "c"})
			},
			nil,
		},
		{
			"mine removes an element unchanged in theirs",
			func(d *Document) { d.Services[0].Targets = d.Services[0].Targets[:1] },
			func(d *Document) { d.Lookup.Answers = 9 },
			func(d *Document) { d.Services[0].Targets = d.Services[0].Targets[:1]; d.Lookup.Answers = 9 },
			nil,
		},
		{
			"theirs removes an element changed in mine",
			func(d *Document) { d.Services[0].Targets[1].Slots = 9 },
			func(d *Document) { d.Services[0].Targets = d.Services[0].Targets[:1] },
			func(d *Document) { d.Services[0].Targets[1].Slots = 9 },
			[]string{"target t2"},
		},
		{
			"theirs removes an element unchanged in mine",
			func(d *Document) { d.Lookup.Answers = 9 },
			func(d *Document) { d.Regions = d.Regions[:1] },
			func(d *Document) { d.Lookup.Answers = 9; d.Regions = d.Regions[:1] },
			nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			base, mine, theirs, want := mergeBase(), mergeBase(), mergeBase(), mergeBase()
			c.mine(mine)
			c.theirs(theirs)
			c.want(want)
			got, overlaps, err := Merge(base, mine, theirs)
			if err != nil {
				t.Fatal(err)
			}
			if changes := Diff(want, got); len(changes) > 0 {
				t.Errorf("merged document differs from the expected one: %v", changes)
			}
			if !slices.Equal(overlaps, c.overlaps) {
				t.Errorf("overlaps %q, want %q", overlaps, c.overlaps)
			}
		})
	}
}

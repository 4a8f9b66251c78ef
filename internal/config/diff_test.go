package config

import (
	"slices"
	"strings"
	"testing"
)

func TestDiffFormatsChanges(t *testing.T) {
	tests := []struct {
		want   string
		change func(*Document)
	}{
		{"cap north→south max_fraction: 10% → 15%", func(d *Document) { d.ShiftCaps[0].MaxFraction = 0.15 }},
		{"target a leaving: false → true", func(d *Document) { d.Services[0].Targets[0].Leaving = true }},
		{"target c: added", func(d *Document) {
			d.Services[0].Targets = append([]Target{{Name: "c"}}, d.Services[0].Targets...)
		}},
		{"target a: removed", func(d *Document) { d.Services[0].Targets = d.Services[0].Targets[1:] }},
		{"region north zones: n1, n2 → n1", func(d *Document) { d.Regions[0].Zones = []string{"n1"} }},
		{`service web route * "" class: read → none`, func(d *Document) { d.Services[0].Routes[0].Class = "" }},
		{"lookup max_age_ms: 0 → 5", func(d *Document) { d.Lookup.MaxAgeMS = 5 }},
		{"deployment: test → other", func(d *Document) { d.Deployment = "other" }},
		{"", func(d *Document) { slices.Reverse(d.Services[0].Targets) }},
		{"block 192.0.2.0/24 zone: n2 → none", func(d *Document) { d.ClientBlocks[0].Zone = "" }},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			after := validDocument()
			tt.change(after)
			var lines []string
			for _, c := range Diff(validDocument(), after) {
				lines = append(lines, c.String())
			}
			if got := strings.Join(lines, "\n"); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestDiffReportsRouteOrder(t *testing.T) {
	before, after := validDocument(), validDocument()
	before.Services[0].Routes = []Route{{PathPrefix: "a", Class: "read"}, {PathPrefix: "b", Class: "read"}}
	after.Services[0].Routes = []Route{{PathPrefix: "b", Class: "read"}, {PathPrefix: "a", Class: "read"}}
	if got := Diff(before, after); len(got) != 2 || got[0].Kind != ChangeMoved {
		t.Errorf("got %v", got)
	}
}

func TestSchemaContainsDescriptions(t *testing.T) {
	raw, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(raw), "one-way latency") {
		t.Error("the schema does not contain the field descriptions")
	}
	if got := FieldDoc("Target", "Slots"); got != "maximum number of concurrent requests" {
		t.Errorf("got %q", got)
	}
}

func TestEffectiveDoesNotModifyDocument(t *testing.T) {
	written := validDocument()
	effective, err := Effective(written)
	if err != nil {
		t.Fatal(err)
	}
	if written.Fleet.MaxVMs != 0 || effective.Fleet.MaxVMs != DefaultMaxVMs || effective.Fleet.MaxVMsPerRegion != DefaultMaxVMs {
		t.Errorf("written %+v, effective %+v", written.Fleet, effective.Fleet)
	}
	if effective.Classes[0].TimeoutMS != 1000 {
		t.Error("a default replaced an explicit value")
	}
}

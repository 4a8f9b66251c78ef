package config

import (
	"slices"
	"testing"
)

func TestAdviseWarnings(t *testing.T) {
	tests := []struct {
		path   string
		change func(*Document)
	}{
		{"links[0].requests_per_second", func(d *Document) { d.Links[0].RequestsPerSecond = 14 }},
		{"services[0].routes", func(d *Document) { d.Services[0].Routes[0].PathPrefix = "a/" }},
		{"services[0].targets", func(d *Document) {
			d.Services[0].Targets[0].Leaving, d.Services[0].Targets[1].Leaving = true, true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			d := validDocument()
			if before, err := Advise(d); err != nil || len(before) > 0 {
				t.Fatalf("before: %v, %v", before, err)
			}
			tt.change(d)
			warnings, err := Advise(d)
			if err != nil || !slices.ContainsFunc(warnings, func(f Fault) bool { return f.Path == tt.path }) {
				t.Errorf("got %v, %v", warnings, err)
			}
			if err := Validate(d); err != nil {
				t.Errorf("Validate rejected the document: %v", err)
			}
		})
	}
}

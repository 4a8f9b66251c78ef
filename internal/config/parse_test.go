package config

import (
	"errors"
	"strings"
	"testing"
)

// faultsOf returns the faults of an *InvalidError and fails the test for any
// other error.
func faultsOf(t *testing.T, err error) []Fault {
	t.Helper()
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an *InvalidError", err)
	}
	return invalid.Faults
}

func TestParseReportsAllFaultsWithLines(t *testing.T) {
	text := `{
	// comment with brackets [[[
	"deployment": "x",
	"color": 1,
	"regions": [{"name": 7, "zones": ["a"]}, {"nam": "r"}],
	"deployment": "y",
	"lookup": [],
	"steering": {"headroom_weight": "much", "probe_ms": 1.5, "stale_ms": null},
}`
	want := []struct {
		line int
		path string
		word string
	}{
		{4, "color", `"deployment", "fleet"`},
		{5, "regions[0].name", "a string"},
		{5, "regions[1].nam", `"name", "zones"`},
		{6, "deployment", "once"},
		{7, "lookup", "an object"},
		{8, "steering.headroom_weight", "a number"},
		{8, "steering.probe_ms", "a whole number"},
		{8, "steering.stale_ms", "a whole number"},
	}
	_, err := Parse([]byte(text))
	faults := faultsOf(t, err)
	if len(faults) != len(want) {
		t.Fatalf("got %d faults, want %d:\n%v", len(faults), len(want), err)
	}
	for i, w := range want {
		f := faults[i]
		if f.Line != w.line || f.Path != w.path || !strings.Contains(f.Allowed, w.word) {
			t.Errorf("fault %d: got %v, want line %d, path %s, allowed with %q", i, f, w.line, w.path, w.word)
		}
	}
}

func TestParseRejectsDeepNestingAndSyntaxErrors(t *testing.T) {
	tests := []struct{ name, text, word string }{
		{"deep", strings.Repeat("[", 1_000_000), "levels"},
		{"cut", `{"deployment": "x"`, "JSON"},
		{"empty", ``, "JSON"},
		{"list", `[]`, "an object"},
		{"open comment", `{} /* `, "JSON"},
		{"open string", `{"dep`, "JSON"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Check([]byte(tt.text))
			if f := faultsOf(t, err); !strings.Contains(f[0].String(), tt.word) {
				t.Errorf("got %v, want %q", f[0], tt.word)
			}
		})
	}
}

// TestCheckReportsParseAndValidationFaults checks a document that has an unknown
// field as well as faults that only Validate detects.
func TestCheckReportsParseAndValidationFaults(t *testing.T) {
	text := `{
	"color": 1,
	"deployment": "x",
	"regions": [
		{"name": "r", "zones": ["a"]},
		{"name": "r",
			"zones": []}
	],
}`
	want := map[string]int{"color": 2, "regions[1].name": 6, "regions[1].zones": 7, "classes": 1}
	_, err := Check([]byte(text))
	got := make(map[string]int)
	for _, f := range faultsOf(t, err) {
		got[f.Path] = f.Line
	}
	for path, line := range want {
		if got[path] != line {
			t.Errorf("%s: line %d, want %d", path, got[path], line)
		}
	}
}

func TestDepthIgnoresStringsAndComments(t *testing.T) {
	text := `{"a[[\"[": "[[[", // [[[
	/* {{{ */ "b": [1]}`
	if got := depthOf([]byte(text)); got != 2 {
		t.Errorf("depth %d, want 2", got)
	}
}

func TestLoadIgnoresFieldsOfNewerBuild(t *testing.T) {
	s, err := Load(3, &Encoded{Main: []byte(`{"deployment":"x","added_later":{"a":1}}`)}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if s.Document.Deployment != "x" || s.Document.Lookup.Answers != DefaultLookupAnswers {
		t.Errorf("got %+v", s.Document)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"deployment": "x", /* c */ "regions": [{"name": "r", "zones": ["a",]}]}`))
	f.Add([]byte(`{"services": [{"targets": [{"address": "127.0.0.1:80"}]}]}`))
	f.Add([]byte("{\"a\\\"//\": \"/*\"}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, _ = Check(text)
		doc, err := Parse(text)
		if err != nil {
			return
		}
		raw, err := Encode(doc)
		if err != nil {
			t.Fatalf("Encode failed for a parsed document: %v", err)
		}
		again, err := Parse(raw)
		if err != nil {
			t.Fatalf("Parse failed for an encoded document: %v", err)
		}
		if changes := Diff(doc, again); len(changes) > 0 {
			t.Errorf("encoding changed the document: %v", changes)
		}
	})
}

package config

import (
	"errors"
	"testing"
)

func documentWithHosts() *Document {
	doc := validDocument()
	doc.Hosts = []Host{{Name: "one.example", Rules: []Rule{{
		Name: "r", PathPrefix: "/a/", Class: "read", AllowedRegions: []string{"north"}, TimeoutMS: 1000, MaxAttempts: 2,
		Parts: []Part{{Service: "web", Weight: 1}},
	}}}}
	return doc
}

func TestValidHostsAreAccepted(t *testing.T) {
	if err := Validate(documentWithHosts()); err != nil {
		t.Error(err)
	}
}

func TestInvalidHostsAreReported(t *testing.T) {
	tests := map[string]func(h *Host){
		"hosts[0].name":                        func(h *Host) { h.Name = "" },
		"hosts[0].rules":                       func(h *Host) { h.Rules = nil },
		"hosts[0].rules[0].name":               func(h *Host) { h.Rules[0].Name = " " },
		"hosts[0].rules[0].path_prefix":        func(h *Host) { h.Rules[0].PathPrefix = "/a" },
		"hosts[0].rules[0].class":              func(h *Host) { h.Rules[0].Class = "none" },
		"hosts[0].rules[0].timeout_ms":         func(h *Host) { h.Rules[0].TimeoutMS = -1 },
		"hosts[0].rules[0].max_attempts":       func(h *Host) { h.Rules[0].MaxAttempts = 100 },
		"hosts[0].rules[0].allowed_regions[0]": func(h *Host) { h.Rules[0].AllowedRegions[0] = "east" },
		"hosts[0].rules[0].parts":              func(h *Host) { h.Rules[0].Parts = nil },
		"hosts[0].rules[0].parts[0].service":   func(h *Host) { h.Rules[0].Parts[0].Service = "none" },
		"hosts[0].rules[0].parts[0].weight":    func(h *Host) { h.Rules[0].Parts[0].Weight = 0 },
		"hosts[0].rules[1].path_prefix":        func(h *Host) { r := h.Rules[0]; r.Name = "s"; h.Rules = append(h.Rules, r) },
	}
	for path, mutate := range tests {
		doc := documentWithHosts()
		mutate(&doc.Hosts[0])
		var invalid *InvalidError
		if err := Validate(doc); !errors.As(err, &invalid) || !hasFaultAt(invalid, path) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func hasFaultAt(invalid *InvalidError, path string) bool {
	for _, f := range invalid.Faults {
		if f.Path == path {
			return true
		}
	}
	return false
}

func TestLongestPathPrefixWins(t *testing.T) {
	doc := documentWithHosts()
	r := doc.Hosts[0].Rules[0]
	r.Name, r.PathPrefix = "longer", "/a/b/"
	doc.Hosts[0].Rules = append(doc.Hosts[0].Rules, r)
	snap := NewLiveSnapshot(1, doc)
	tests := map[[2]string]string{
		{"one.example", "/a/x"}:      "r",
		{"ONE.Example:80", "/a/b/x"}: "longer",
		{"one.example", "/a/bx"}:     "r",
		{"one.example", "/b/"}:       "",
		{"other.example", "/a/x"}:    "",
	}
	for in, want := range tests {
		m, ok := snap.MatchRequest(in[0], "GET", in[1])
		got := ""
		if ok {
			got = m.Rule.Name
		}
		if got != want {
			t.Errorf("%s%s: rule %q, want %q", in[0], in[1], got, want)
		}
	}
}

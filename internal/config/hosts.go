package config

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Host routes the requests of one host name. A document with hosts routes by
// host and longest path prefix; one without routes by the path prefixes of its
// services.
type Host struct {
	Name  string `json:"name"` // host name without a port
	Rules []Rule `json:"rules"`
}

// Rule routes the requests below a path prefix of a host.
type Rule struct {
	Name           string   `json:"name"`
	PathPrefix     string   `json:"path_prefix"` // begins and ends with a slash
	Parts          []Part   `json:"parts"`       // one or more services with their weights
	Class          string   `json:"class"`       // name of a class
	Repeat         Repeat   `json:"repeat"`
	TimeoutMS      Millis   `json:"timeout_ms"`                // longest time a caller is kept waiting; 0: no bound
	ObjectiveMS    Millis   `json:"objective_ms"`              // latency within which an answer is of full use; 0: none
	MaxAttempts    int      `json:"max_attempts"`              // targets one request may be sent to
	AllowedRegions []string `json:"allowed_regions,omitempty"` // regions it may run in; empty: all
	Affinity       bool     `json:"affinity,omitempty"`        // targets that know an object answer sooner
	Public         bool     `json:"public,omitempty"`          // needs no key in a document with customers
}

// Part is a share of a rule's requests that goes to one service.
type Part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the weights of the other parts
}

// Allows reports whether requests of the rule may run in a region.
func (r *Rule) Allows(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// hostTable finds the rule of a request.
type hostTable map[string][]*Rule

// newHostTable sorts the rules of each host by descending length of prefix.
func newHostTable(hosts []Host) hostTable {
	t := make(hostTable, len(hosts))
	for i := range hosts {
		h := &hosts[i]
		rules := t[strings.ToLower(h.Name)]
		for j := range h.Rules {
			rules = append(rules, &h.Rules[j])
		}
		slices.SortStableFunc(rules, func(a, b *Rule) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
		t[strings.ToLower(h.Name)] = rules
	}
	return t
}

func (t hostTable) find(host, path string) *Rule {
	for _, r := range t[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// hostName strips the port of a Host header and folds its case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// route returns the rule as a Route, which is what the request path knows.
func (r *Rule) route() *Route {
	return &Route{PathPrefix: r.PathPrefix, Class: r.Class, Repeat: r.Repeat, MaxTimeoutMS: r.TimeoutMS}
}

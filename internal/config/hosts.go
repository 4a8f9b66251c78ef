package config

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Host routes the requests of one host name. If a document has hosts, requests
// are routed by host name and longest path prefix; otherwise by the path prefixes
// of the services.
type Host struct {
	Name  string `json:"name"` // host name without port
	Rules []Rule `json:"rules"`
}

// Rule routes the requests under a path prefix of a host.
type Rule struct {
	Name           string   `json:"name"`
	PathPrefix     string   `json:"path_prefix"` // begins and ends with a slash
	Parts          []Part   `json:"parts"`       // one or more services with their weights
	Class          string   `json:"class"`       // name of a class
	Repeat         Repeat   `json:"repeat"`
	TimeoutMS      Millis   `json:"timeout_ms"`                // upper limit of the request timeout; 0: unlimited
	ObjectiveMS    Millis   `json:"objective_ms"`              // latency within which an answer has its full worth; 0: none
	MaxAttempts    int      `json:"max_attempts"`              // maximum number of targets that a request may be sent to
	AllowedRegions []string `json:"allowed_regions,omitempty"` // regions in which requests may run; empty: all
	Affinity       bool     `json:"affinity,omitempty"`        // prefer targets that have served the same object, because they answer faster
	Public         bool     `json:"public,omitempty"`          // no key is required even if the document has customers
}

// Part assigns a weighted share of a rule's requests to a service.
type Part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the weights of the other parts
}

// Allows reports whether requests of the rule may run in a region.
func (r *Rule) Allows(region string) bool {
	return len(r.AllowedRegions) == 0 || slices.Contains(r.AllowedRegions, region)
}

// hostTable maps lower-case host names to their rules, longest path prefix first.
type hostTable map[string][]*Rule

// newHostTable builds the table and sorts the rules of each host by descending
// prefix length, so that the first match is the longest.
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

// hostName strips the port from a Host header and converts it to lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// route converts the rule to a Route, the form that request processing expects.
func (r *Rule) route() *Route {
	return &Route{PathPrefix: r.PathPrefix, Class: r.Class, Repeat: r.Repeat, MaxTimeoutMS: r.TimeoutMS}
}

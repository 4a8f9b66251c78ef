package config

import (
	"slices"
	"testing"

	"masticturn/internal/customer"
)

func TestCustomerOverridesRule(t *testing.T) {
	doc := &Document{
		Classes:  []Class{{Name: "low", Priority: 2}, {Name: "high", Priority: 0}},
		Services: []Service{{Name: "s"}},
		Hosts: []Host{{Name: "h", Rules: []Rule{
			{Name: "r", PathPrefix: "/", Parts: []Part{{Service: "s", Weight: 1}}, Class: "low", AllowedRegions: []string{"r1", "r2"}},
		}}},
	}
	s := NewLiveSnapshot(1, doc)
	m, ok := s.MatchRequest("h", "GET", "/x")
	if !ok {
		t.Fatal("no rule matches")
	}
	tests := map[string]struct {
		customer customer.Customer
		class    string
		regions  []string
		ok       bool
	}{
		"no overrides":        {customer.Customer{}, "low", []string{"r1", "r2"}, true},
		"a class":             {customer.Customer{Class: "high"}, "high", []string{"r1", "r2"}, true},
		"regions":             {customer.Customer{AllowedRegions: []string{"r2", "r3"}}, "low", []string{"r2"}, true},
		"no region in common": {customer.Customer{AllowedRegions: []string{"r3"}}, "", nil, false},
		"an unknown class":    {customer.Customer{Class: "other"}, "low", []string{"r1", "r2"}, true},
	}
	for name, tt := range tests {
		for range 2 { // the second call uses the cached rule
			got, ok := s.ForCustomer(m, &tt.customer)
			if ok != tt.ok {
				t.Fatalf("%s: allowed %t", name, ok)
			}
			if !ok {
				continue
			}
			if got.Class.Name != tt.class || !slices.Equal(got.Rule.AllowedRegions, tt.regions) {
				t.Errorf("%s: class %s, regions %v", name, got.Class.Name, got.Rule.AllowedRegions)
			}
		}
	}
	if m.Rule.Class != "low" || len(m.Rule.AllowedRegions) != 2 {
		t.Error("the rule of the document was modified")
	}
}

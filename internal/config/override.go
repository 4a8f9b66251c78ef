package config

import "masticturn/internal/customer"

// overrideKey identifies a rule with the overrides of a customer.
type overrideKey struct {
	rule     *Rule
	customer *customer.Customer
}

// ForCustomer applies a customer's overrides to a match: the customer's class takes precedence over
// the rule's, and only regions allowed by both remain. ok is false if no region is allowed by both.
func (s *Snapshot) ForCustomer(m Match, c *customer.Customer) (match Match, ok bool) {
	if m.Rule == nil || c.Class == "" && len(c.AllowedRegions) == 0 {
		return m, true
	}
	m.Rule = s.override(m.Rule, c)
	if m.Rule == nil {
		return m, false
	}
	if class := s.classes[m.Rule.Class]; class != nil {
		m.Class = class
	}
	return m, true
}

// override returns the rule with the customer's overrides applied, or nil if no region is allowed.
// The result is cached for the lifetime of the snapshot.
func (s *Snapshot) override(rule *Rule, c *customer.Customer) *Rule {
	key := overrideKey{rule, c}
	if v, ok := s.overrides.Load(key); ok {
		return v.(*Rule)
	}
	var derived *Rule
	if regions, ok := customer.CommonRegions(rule.AllowedRegions, c.AllowedRegions); ok {
		r := *rule
		r.AllowedRegions = regions
		if c.Class != "" {
			r.Class = c.Class
		}
		derived = &r
	}
	v, _ := s.overrides.LoadOrStore(key, derived)
	return v.(*Rule)
}

package placement

import (
	"fmt"
	"slices"

	"masticturn/internal/config"
	"masticturn/internal/customer"
	"masticturn/internal/overload"
)

// overloadScope states for which priorities and customers the requests of a service are admitted. The
// part is off unless requests of several priorities use the service or the document has customers.
type overloadScope struct {
	priorities []int             // of the service's requests, ascending
	customers  map[uint32]string // names by short id; empty: the document has none
	highest    int               // the first of the priorities
}

// on reports whether the part is on.
func (s *overloadScope) on() bool { return len(s.priorities) > 1 || len(s.customers) > 0 }

// reason states why the part is on or off.
func (s *overloadScope) reason() string {
	switch {
	case len(s.priorities) > 1:
		return fmt.Sprintf("requests of priorities %v use the service", s.priorities)
	case len(s.customers) > 0:
		return "the document has customers"
	}
	return "all requests have one priority, and the document has no customers"
}

// customerID returns the short id of a customer; 0 if there is none.
func (s *overloadScope) customerID(name string) uint32 {
	if name == "" || s.customers == nil {
		return 0
	}
	return shortID(name)
}

// known returns the demand of the priorities and customers that the document has. Others come from VMs
// with another document, or from faults.
func (s *overloadScope) known(d *overload.Demand) *overload.Demand {
	if d == nil {
		return nil
	}
	known := &overload.Demand{
		Priorities: make(map[int]uint32), Customers: make(map[int]map[uint32]uint32), Waiting: d.Waiting,
	}
	for _, priority := range s.priorities {
		if slots := d.Priorities[priority]; slots > 0 {
			known.Priorities[priority] = slots
		}
		for id, slots := range d.Customers[priority] {
			if s.customers[id] == "" {
				continue
			}
			if known.Customers[priority] == nil {
				known.Customers[priority] = make(map[uint32]uint32)
			}
			known.Customers[priority][id] = slots
		}
	}
	return known
}

// scopeCache holds the scopes of the document in force. Views of targets change much more often.
type scopeCache struct {
	hosts     []config.Host
	customers *customer.Directory
	scopes    map[string]overloadScope
}

// of returns the scopes of a snapshot.
func (c *scopeCache) of(s *config.Snapshot) map[string]overloadScope {
	hosts := s.Document.Hosts
	same := len(hosts) == len(c.hosts) && (len(hosts) == 0 || &hosts[0] == &c.hosts[0])
	if c.scopes == nil || !same || c.customers != s.Customers {
		*c = scopeCache{hosts, s.Customers, overloadScopes(s)}
	}
	return c.scopes
}

// overloadScopes returns the scope of each service that the document's rules use.
func overloadScopes(s *config.Snapshot) map[string]overloadScope {
	customers := make(map[uint32]string)
	overrides := make(map[string]bool) // classes of customers
	for _, c := range s.Customers.All() {
		customers[shortID(c.Name)] = c.Name
		if c.Class != "" {
			overrides[c.Class] = true
		}
	}
	scopes := make(map[string]overloadScope)
	for i := range s.Document.Hosts {
		for j := range s.Document.Hosts[i].Rules {
			rule := &s.Document.Hosts[i].Rules[j]
			for _, part := range rule.Parts {
				scope := scopes[part.Service]
				scope.customers = customers
				scope.add(s, rule.Class)
				for class := range overrides {
					scope.add(s, class)
				}
				scopes[part.Service] = scope
			}
		}
	}
	return scopes
}

// add adds the priority of a class.
func (s *overloadScope) add(snapshot *config.Snapshot, class string) {
	c := snapshot.Class(class)
	if c == nil || slices.Contains(s.priorities, c.Priority) {
		return
	}
	s.priorities = append(s.priorities, c.Priority)
	slices.Sort(s.priorities)
	s.highest = s.priorities[0]
}

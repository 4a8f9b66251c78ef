package ratelimit

import (
	"masticturn/internal/customer"
	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

// holderCache are the holders of customers under one view of the members.
type holderCache struct {
	view      *membership.View
	region    []string // VMs that may hold shares
	customers map[string]holderList
}

// holderList are the holders of a customer under a limit.
type holderList struct {
	limit customer.Limit
	vms   []string
}

// holdersOf returns the VMs of this region that hold shares of a customer's limit.
func (s *Service) holdersOf(c *customer.Customer) []string {
	view := s.deps.Members.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders.view != view {
		s.holders = holderCache{view: view, region: aliveIn(view, s.deps.Region), customers: make(map[string]holderList)}
	}
	if l, ok := s.holders.customers[c.Name]; ok && l.limit == c.Limit {
		return l.vms
	}
	n := holderCount(s.deps.Tolerance.Budget(c.Limit), s.deps.Regions)
	vms := rendezvous.Top("limit of "+c.Name, s.holders.region, n, func(vm string) string { return vm })
	s.holders.customers[c.Name] = holderList{c.Limit, vms}
	return vms
}

// aliveIn returns the VMs of a region that serve requests with keys.
func aliveIn(v *membership.View, region string) []string {
	var names []string
	for _, m := range v.Members {
		if m.Region == region && m.State == membership.Alive && !m.Limited {
			names = append(names, m.Name)
		}
	}
	return names
}

// holderCount returns the holders per region: as many as have minHolderBurst each. Small limits have
// one, which the region's other VMs ask for each request.
func holderCount(b Budget, regions int) int {
	return max(int(b.Burst)/(minHolderBurst*max(regions, 1)), 1)
}

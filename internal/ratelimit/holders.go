package ratelimit

import (
	"masticturn/internal/customer"
	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

const (
	// minHolderBurst is the least burst of a holder for which there are more of them.
	minHolderBurst = 12
)

// holderCache are the holders of customers under one view of the members.
type holderCache struct {
	view      *membership.View
	region    []membership.Member // VMs that may hold shares
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
	vms := rankByCores("limit of "+c.Name, s.holders.region, n)
	s.holders.customers[c.Name] = holderList{c.Limit, vms}
	return vms
}

// aliveIn returns the VMs of a region that serve requests with keys; "" means all regions.
func aliveIn(v *membership.View, region string) []membership.Member {
	var members []membership.Member
	for _, m := range v.Members {
		if (region == "" || m.Region == region) && m.State == membership.Alive && !m.RefusesKeys {
			members = append(members, m)
		}
	}
	return members
}

// rankByCores returns the first VMs for a key. A VM with more processor time ranks first more often,
// as others wait for it.
func rankByCores(key string, members []membership.Member, n int) []string {
	name := func(m membership.Member) string { return m.Name }
	cores := func(m membership.Member) float64 {
		if m.Cores <= 0 {
			return 1
		}
		return m.Cores
	}
	var names []string
	for _, m := range rendezvous.TopWeighted(key, members, n, name, cores) {
		names = append(names, m.Name)
	}
	return names
}

// holderCount returns the holders per region: as many as have minHolderBurst each. Small limits have
// one, which the region's other VMs ask for each request.
func holderCount(b Budget, regions int) int {
	return max(int(b.Burst)/(minHolderBurst*max(regions, 1)), 1)
}

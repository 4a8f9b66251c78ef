package ratelimit

import (
	"masticturn/internal/customer"
	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

const (
	// minHolderBurst is the minimum burst per holder. A region has several holders of a budget only
	// if each of them gets at least this burst.
	minHolderBurst = 12
)

// holderCache caches the holders of customers for one view of the members.
type holderCache struct {
	view      *membership.View
	region    []membership.Member // VMs of this region that may hold shares
	customers map[string]holderList
}

// holderList are the holders of a customer for a given limit.
type holderList struct {
	limit customer.Limit
	vms   []string
}

// holdersOf returns the VMs of this region that hold shares of a customer's budget.
func (s *Service) holdersOf(c *customer.Customer) []string {
	view := s.deps.Members.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders.view != view {
		s.holders = holderCache{view: view, region: eligibleMembers(view, s.deps.Region), customers: make(map[string]holderList)}
	}
	if l, ok := s.holders.customers[c.Name]; ok && l.limit == c.Limit {
		return l.vms
	}
	n := holderCount(s.deps.Tolerance.Budget(c.Limit), s.deps.Regions)
	vms := rankByCores("limit of "+c.Name, s.holders.region, n)
	s.holders.customers[c.Name] = holderList{c.Limit, vms}
	return vms
}

// eligibleMembers returns the live VMs of a region that serve requests with keys; "" means all regions.
func eligibleMembers(v *membership.View, region string) []membership.Member {
	var members []membership.Member
	for _, m := range v.Members {
		if (region == "" || m.Region == region) && m.State == membership.Alive && !m.RefusesKeys {
			members = append(members, m)
		}
	}
	return members
}

// rankByCores returns the n highest-ranked VMs for a key, by rendezvous hashing weighted by CPU cores.
// VMs with more cores rank first more often, because other VMs wait for the chosen ones.
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

// holderCount returns the number of holders per region: as many as get a burst of minHolderBurst each,
// but at least one. A small limit has one holder, which the region's other VMs ask for each request.
func holderCount(b Budget, regions int) int {
	return max(int(b.Burst)/(minHolderBurst*max(regions, 1)), 1)
}

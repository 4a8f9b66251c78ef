package measure

import (
	"github.com/cespare/xxhash/v2"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

// Bounds on who probes and who hears of it.
const (
	// probersPerTarget is the number of VMs of a target's region that probe it.
	probersPerTarget = 2
	// smallFleet is the size up to which every member hears every report.
	smallFleet = 32
	// recipientsPerService is the number of members of its region that hear
	// of a service's targets in a larger fleet: those first in line to broker
	// the service there.
	recipientsPerService = 4
)

func memberName(m membership.Member) string { return m.Name }

// assigned returns the targets that vm shall probe: each target is probed by
// the first members of its region in rendezvous order; by any members when
// its region has none.
func assigned(snap *config.Snapshot, view *membership.View, vm string) []*config.TargetIndex {
	var out []*config.TargetIndex
	regional := make(map[string][]membership.Member)
	for _, svc := range snap.Services() {
		for _, t := range svc.AllTargets {
			members, ok := regional[t.Region]
			if !ok {
				members = probersOf(view, t.Region)
				regional[t.Region] = members
			}
			for _, m := range rendezvous.Top("probe/"+t.Name, members, probersPerTarget, memberName) {
				if m.Name == vm {
					out = append(out, t)
				}
			}
		}
	}
	return out
}

func probersOf(view *membership.View, region string) []membership.Member {
	if members := view.InRegion(region); len(members) > 0 {
		return members
	}
	var all []membership.Member
	for _, m := range view.Members {
		if m.State == membership.Alive || m.State == membership.Suspect {
			all = append(all, m)
		}
	}
	return all
}

// recipients returns the other members that shall hear of the targets of a
// service in a region.
func recipients(view *membership.View, service, region string) []membership.Member {
	if len(view.Members) <= smallFleet {
		return others(view, view.Members)
	}
	return others(view, view.Brokers(service, region, recipientsPerService))
}

func others(view *membership.View, members []membership.Member) []membership.Member {
	out := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if m.Name != view.Self && m.State != membership.Gone {
			out = append(out, m)
		}
	}
	return out
}

// assignment caches assigned while neither the document nor the members of
// the probing regions change.
type assignment struct {
	snap    *config.Snapshot
	hash    uint64
	targets []*config.TargetIndex
}

func (a *assignment) of(snap *config.Snapshot, view *membership.View, vm string) []*config.TargetIndex {
	current := hashOfProbers(view)
	if a.snap != snap || a.hash != current {
		a.snap, a.hash = snap, current
		a.targets = assigned(snap, view, vm)
	}
	return a.targets
}

// hashOfProbers hashes who can probe.
func hashOfProbers(view *membership.View) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range view.Members {
		if m.State == membership.Alive || m.State == membership.Suspect {
			_, _ = d.WriteString(m.Name)
			_, _ = d.WriteString(m.Region)
		}
	}
	return d.Sum64()
}

// reportSet collects one report for each recipient.
type reportSet struct {
	snap     *config.Snapshot
	view     *membership.View
	byMember map[string]*report
}

// each calls add on the report of each member that shall hear of a target.
func (rs *reportSet) each(target string, add func(*report)) {
	t := rs.snap.Target(target)
	if t == nil {
		return
	}
	for _, m := range recipients(rs.view, t.Service, t.Region) {
		r, ok := rs.byMember[m.Name]
		if !ok {
			r = &report{}
			rs.byMember[m.Name] = r
		}
		add(r)
	}
}

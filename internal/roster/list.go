package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"masticturn/internal/membership"
)

const (
	// announceTime is how long a VM must be a member before it is stored: the time until all VMs that it is in
	// touch with know it.
	announceTime = 2 * time.Second
	// forgetAfter is how long a VM must be absent until it counts as removed for good. It is longer than any
	// partition after which VMs that were cut off are expected to return.
	forgetAfter = 10 * time.Minute
)

// VM is a VM that may be running.
type VM struct{ Name, Region string }

// entry is a VM of a list.
type entry struct {
	region      string
	stored      bool      // the store has it
	memberSince time.Time // since when it is a member without interruption; zero: it is not
	absentSince time.Time // since when it is not; zero: it is
}

// list holds the VMs that may be running: those of the store and those that this process knows as members. It is not safe for
// concurrent use.
type list struct {
	self     VM
	complete bool // has all VMs that the store had
	vms      map[string]*entry
}

func newList(self VM, now time.Time) *list {
	return &list{self: self, vms: map[string]*entry{self.Name: {region: self.Region, memberSince: now}}}
}

// observe applies a view of the members. It reports whether VMs were added.
func (l *list) observe(v *membership.View, now time.Time) (added bool) {
	present := map[string]bool{l.self.Name: true}
	for i := range v.Members {
		m := &v.Members[i]
		present[m.Name] = true
		e := l.vms[m.Name]
		if e == nil {
			e = &entry{}
			l.vms[m.Name] = e
			added = true
		}
		e.region, e.absentSince = m.Region, time.Time{}
		if e.memberSince.IsZero() {
			e.memberSince = now
		}
	}
	for name, e := range l.vms {
		if !present[name] && e.absentSince.IsZero() {
			e.absentSince, e.memberSince = now, time.Time{}
		}
	}
	return added
}

// addStored adds VMs that the store has.
func (l *list) addStored(vms []VM, now time.Time) {
	for _, vm := range vms {
		e := l.vms[vm.Name]
		if e == nil {
			e = &entry{region: vm.Region, absentSince: now}
			l.vms[vm.Name] = e
		}
		e.stored = true
	}
}

// addKnown adds VMs that another VM knows, stored or not.
func (l *list) addKnown(vms []VM, now time.Time) {
	for _, vm := range vms {
		if l.vms[vm.Name] == nil {
			l.vms[vm.Name] = &entry{region: vm.Region, absentSince: now}
		}
	}
}

// selfStored reports whether the store has this VM, so that all others know that it may be running.
func (l *list) selfStored() bool { return l.vms[l.self.Name].stored }

// published returns the VMs that may be running, without this VM until it is stored. It is nil while the list is not
// complete.
func (l *list) published(now time.Time) []VM {
	if !l.complete {
		return nil
	}
	return l.sorted(func(name string, e *entry) bool { return !e.removed(now) && (name != l.self.Name || e.stored) })
}

// removed reports whether a VM has been absent for so long that it counts as removed.
func (e *entry) removed(now time.Time) bool {
	return !e.absentSince.IsZero() && now.Sub(e.absentSince) >= forgetAfter
}

// toStore returns the VMs of the own region as the store should have them, sorted by name, and whether that differs from
// what the store is known to have.
func (l *list) toStore(now time.Time) (vms []VM, differs bool) {
	vms = l.sorted(func(_ string, e *entry) bool {
		if e.region != l.self.Region {
			return false
		}
		keep := !e.removed(now) && (e.stored || !e.memberSince.IsZero() && now.Sub(e.memberSince) >= announceTime)
		differs = differs || keep != e.stored
		return keep
	})
	return vms, differs
}

// setStored records which VMs of the own region the store has.
func (l *list) setStored(vms []VM, now time.Time) {
	for _, e := range l.vms {
		if e.region == l.self.Region {
			e.stored = false
		}
	}
	l.addStored(vms, now)
	maps.DeleteFunc(l.vms, func(name string, e *entry) bool {
		return name != l.self.Name && !e.stored && e.removed(now)
	})
}

// known returns the VMs that may be running, for another VM.
func (l *list) known(now time.Time) knownVMs {
	return knownVMs{
		Stored: l.sorted(func(_ string, e *entry) bool { return e.stored && !e.removed(now) }),
		Others: l.sorted(func(_ string, e *entry) bool { return !e.stored && !e.removed(now) }),
	}
}

func (l *list) sorted(include func(name string, e *entry) bool) []VM {
	var out []VM
	for name, e := range l.vms {
		if include(name, e) {
			out = append(out, VM{name, e.region})
		}
	}
	slices.SortFunc(out, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	return out
}

package discovery

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/rendezvous"
)

// Who reads the store. Every read is a call that is paid for, so that a few VMs
// read and the others hear from them: the watchers read, one VM of each region
// (its leader) hears from a watcher, and the other VMs of a region hear from the
// leader or, in a large region, from one that does.
const (
	// fanOut is how many VMs of a region hear from one: with 155 VMs in a region
	// news passes two of them, and none answers more than about 60 polls a second.
	fanOut = 16
	// watchers read the store: with two, the loss of one is made up for by the
	// other, without a read by everybody.
	watchers = 2
	// pollMargin is when a VM that does not even tell that it is out of touch is
	// given up, after it should have.
	pollMargin = staleHold + 100*time.Millisecond
	// readers is how many VMs of a region read the store when the VMs from which
	// they hear are out of touch with it, the leader included; the others hear from
	// them.
	readers = 3
	// avoidFor is how long a VM that did not answer in time is passed over,
	// avoidStaleFor one that is out of touch itself and says so, and
	// avoidBriefly one that did not help this VM to start.
	avoidFor      = time.Second
	avoidStaleFor = 500 * time.Millisecond
	avoidBriefly  = 100 * time.Millisecond
)

// pollRequest asks a VM for changes of a kind (peer.KindMirrorPoll). It is
// answered when there are some, when the VM has heard from the store, or when
// it should have.
type pollRequest struct {
	Kind  platform.Kind
	Since platform.Version // 0: the whole list
}

// pollAnswer are the changes, or the whole list.
type pollAnswer struct {
	Listed  bool // Changed are all objects there are
	Changed []platform.Object
	Removed []string
	AsOf    platform.Version
	Age     time.Duration // since the store was heard of, by whomever
	Packed  []byte        // in place of Changed: the objects, compressed (packObjects)
}

// ways is from where a VM hears of the store.
type ways struct {
	vms     []string // VMs to hear from, best first; none: it reads the store itself
	reader  bool     // it reads the store when those VMs are out of touch with it
	region  []string // the other VMs of the region
	members int      // VMs of the fleet
}

// waysOf returns from where the VM of a view hears of the store. All VMs with the
// same view agree on who hears from whom, and nobody hears, by whatever way, from
// itself.
func waysOf(v *membership.View) ways {
	regions := byRegion(v)
	order := leaders(regions)
	own := regions[regionOf(v, v.Self)]
	at := slices.IndexFunc(own, func(m membership.Member) bool { return m.Name == v.Self })
	w := ways{reader: at < readers, members: len(v.Members)}
	if at < 0 {
		return w // it is leaving, and others do not hear from it
	}
	for _, m := range slices.Delete(slices.Clone(own), at, at+1) {
		w.region = append(w.region, m.Name)
	}
	if at > 0 {
		w.vms = append(w.vms, own[(at-1)/fanOut].Name)
	}
	for _, m := range own[:min(at, readers)] {
		w.vms = appendNew(w.vms, m.Name)
	}
	for _, leader := range order[:min(watchers, len(order))] {
		if leader.Name == v.Self {
			return ways{reader: true, region: w.region, members: w.members}
		}
		w.vms = appendNew(w.vms, leader.Name)
	}
	return w
}

func appendNew(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func regionOf(v *membership.View, name string) string {
	m, _ := v.Member(name)
	return m.Region
}

func memberName(m membership.Member) string { return m.Name }

// byRegion returns the members that are alive, by region, in an order on which
// all VMs with the same view agree.
func byRegion(v *membership.View) map[string][]membership.Member {
	regions := make(map[string][]membership.Member)
	for _, m := range v.Members {
		if m.State == membership.Alive {
			regions[m.Region] = append(regions[m.Region], m)
		}
	}
	for region, members := range regions {
		regions[region] = rendezvous.Top("leader of "+region, members, len(members), memberName)
	}
	return regions
}

// leaders returns the first VM of each region, the watchers first.
func leaders(regions map[string][]membership.Member) []membership.Member {
	var out []membership.Member
	for _, members := range regions {
		out = append(out, members[0])
	}
	return rendezvous.Top("watchers", out, len(out), func(m membership.Member) string { return m.Region })
}

// What a VM that does not help answers.
var (
	errStale    = errors.New("what the VM knows of the store is too old")
	errStarting = errors.New("the VM is starting and knows nothing of the store yet")
)

// relaySource reads from another VM.
type relaySource struct {
	network peer.Network
	vm      string
	timeout time.Duration
}

// poll asks once. The age of the answer is that of what it tells.
func (r relaySource) poll(ctx context.Context, kind platform.Kind, since platform.Version) (*pollAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	var a pollAnswer
	err := r.network.Call(ctx, r.vm, peer.KindMirrorPoll, &pollRequest{Kind: kind, Since: since}, &a)
	if err != nil {
		return nil, trace.Wrap(err, "poll %s from %s", kind, r.vm)
	}
	if a.Packed == nil {
		return &a, nil
	}
	a.Changed, err = unpackObjects(a.Packed)
	return &a, trace.Wrap(err, "poll %s from %s", kind, r.vm)
}

// change translates an answer.
func (a *pollAnswer) change(kind platform.Kind) change {
	c := change{kind: kind, listed: a.Listed, asOf: a.AsOf, age: a.Age}
	if a.Listed {
		c.list = a.Changed
		return c
	}
	for _, o := range a.Changed {
		c.events = append(c.events, platform.Event{Object: o})
	}
	for _, name := range a.Removed {
		c.events = append(c.events, platform.Event{Object: platform.Object{Kind: kind, Name: name, Version: a.AsOf}, Deleted: true})
	}
	return c
}

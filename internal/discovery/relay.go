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

// Two watchers read the store. The leader of each region polls a watcher, and its other VMs
// poll the leader or, in large regions, a VM that does. Other readers take over in outages.
const (
	// fanOut is the number of VMs that poll one VM of their region.
	fanOut = 16
	// watchers is the number of VMs that read the store.
	watchers = 2
	// pollMargin is added to the stale age for a poll's timeout, so that a peer can answer that
	// it is stale.
	pollMargin = staleHold + 100*time.Millisecond
	// readers is the number of VMs per region that read the store, the leader included, if their
	// sources are stale.
	readers = 3
	// skipFor is how long a peer that did not answer is skipped, skipStaleFor one that is stale,
	// skipBriefly one that had nothing for a starting VM.
	skipFor      = time.Second
	skipStaleFor = 500 * time.Millisecond
	skipBriefly  = 100 * time.Millisecond
)

// pollRequest requests changes of a kind (peer.KindMirrorPoll). It is answered on changes, on
// contact with the store, or when the peer turns stale.
type pollRequest struct {
	Kind  platform.Kind
	Since platform.Version // 0: the whole list
	Now   bool             // answer at once, also without changes
}

// pollAnswer holds the changes, or the complete list.
type pollAnswer struct {
	Listed  bool // Changed is the complete list
	Changed []platform.Object
	Removed []string
	AsOf    platform.Version
	Age     time.Duration // since the last contact with the store, by any VM
	Packed  []byte        // the objects compressed by packObjects, instead of Changed
	// Confirmed is set if the peer can prove when its state was the store's latest: ConfirmedAt
	// after its receipt of the poll.
	Confirmed   bool
	ConfirmedAt time.Duration
}

// sources are the peers from which a VM receives the store's state.
type sources struct {
	vms     []string // by preference; none: the VM reads the store itself
	reader  bool     // the VM reads the store if all of vms are stale
	others  []string // all other VMs, which are polled at random in an outage
	members int      // size of the fleet
}

// sourcesOf returns the sources of a view's VM. All VMs with the same view derive the same
// acyclic tree.
func sourcesOf(v *membership.View) sources {
	regions := byRegion(v)
	order := leaders(regions)
	own := regions[regionOf(v, v.Self)]
	at := slices.IndexFunc(own, func(m membership.Member) bool { return m.Name == v.Self })
	w := sources{reader: at < readers, members: len(v.Members)}
	if at < 0 {
		return w // it is leaving
	}
	for _, m := range v.Members {
		if m.State == membership.Alive && m.Name != v.Self {
			w.others = append(w.others, m.Name)
		}
	}
	if at > 0 {
		w.vms = append(w.vms, own[(at-1)/fanOut].Name)
	}
	for _, m := range own[:min(at, readers)] {
		w.vms = appendNew(w.vms, m.Name)
	}
	for _, leader := range order[:min(watchers, len(order))] {
		if leader.Name == v.Self {
			return sources{reader: true, others: w.others, members: w.members}
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

// byRegion returns the live members by region, in an order common to all VMs.
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

// Answers of peers without current state.
var (
	errStale    = errors.New("the peer's state is stale")
	errStarting = errors.New("the peer is starting and has no state")
)

// relaySource polls a peer.
type relaySource struct {
	network peer.Network
	vm      string
	timeout time.Duration
}

// poll makes one poll. The age of the answer is that of its content.
func (r relaySource) poll(ctx context.Context, request *pollRequest) (*pollAnswer, error) {
	kind := request.Kind
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	var a pollAnswer
	err := r.network.Call(ctx, r.vm, peer.KindMirrorPoll, request, &a)
	if err != nil {
		return nil, trace.Wrap(err, "poll %s from %s", kind, r.vm)
	}
	if a.Packed == nil {
		return &a, nil
	}
	a.Changed, err = unpackObjects(a.Packed)
	return &a, trace.Wrap(err, "poll %s from %s", kind, r.vm)
}

// change converts the answer to a poll that was sent at a time on the boot clock. The peer received
// it later, which makes the confirmation a lower bound.
func (a *pollAnswer) change(kind platform.Kind, sent time.Duration) change {
	c := change{kind: kind, listed: a.Listed, asOf: a.AsOf, age: a.Age}
	c.confirmed = confirmation{known: a.Confirmed, at: sent}.after(a.ConfirmedAt)
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

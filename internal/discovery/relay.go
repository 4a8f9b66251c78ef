package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/rendezvous"
)

// VMs form a tree through which changes in the store reach them. Two watchers read the store. The
// leader of each region polls a watcher. The other VMs of a region poll the leader or, in large
// regions, a VM that polls it. If their sources are stale, other VMs read the store as well.
const (
	// fanOut is the number of VMs of a region that poll the same VM of it.
	fanOut = 16
	// watcherCount is the number of VMs that always read the store.
	watcherCount = 2
	// pollTimeoutMargin is the time by which a poll's timeout exceeds the age at which state becomes
	// stale, so that a peer can still answer that its state is stale.
	pollTimeoutMargin = stalePollHold + 100*time.Millisecond
	// readersPerRegion is the number of VMs per region, including the leader, that read the store if
	// their sources are stale.
	readersPerRegion = 3
	// skipUnresponsive is how long a peer that did not answer is not polled. skipStale applies to a
	// peer with stale state, and skipStarting to one that had no state for a starting VM.
	skipUnresponsive = time.Second
	skipStale        = 500 * time.Millisecond
	skipStarting     = 100 * time.Millisecond
)

// pollRequest requests the changes of a kind (peer.KindMirrorPoll). It is a long poll: the peer
// answers when it has changes, after its next contact with the store, or when its state becomes
// stale.
type pollRequest struct {
	Kind  platform.Kind
	Since platform.Version // 0: request the complete list
	Now   bool             // answer at once, even without changes
	Eras  bool             // the peer knows that versions have eras; earlier builds don't
	// Deltas is set if the peer has the state as of Since and takes deltas from it.
	Deltas bool
}

// pollAnswer holds the changes since the requested version, or the complete list.
type pollAnswer struct {
	Complete bool // the answer is the complete list
	Changed  []platform.Object
	Removed  []string
	AsOf     platform.Version
	Age      time.Duration // time since the last contact with the store, by any VM on the path
	Packed   []byte        // objects compressed by packObjects, instead of Changed
	// Confirmed is set if the peer knows a time at which its state was the store's latest.
	// ConfirmedAt is that time relative to the peer's receipt of the poll.
	Confirmed   bool
	ConfirmedAt time.Duration
	// Withheld are objects that count as deleted at the peer, as they may come from a copy of the store: those
	// since the requested version, or all with a complete list.
	Withheld []platform.Object
	// Path names the VMs between the store and the peer, the one nearest to the store first. It is empty if the
	// peer reads the store itself.
	Path []string
	// Deltas are changed objects that are not in Changed or Packed.
	Deltas []objectDelta

	resolved []platform.Object // the objects of Deltas; not sent
}

// sources lists the peers from which a VM receives the store's state.
type sources struct {
	self      string   // this VM
	preferred []string // most preferred first; if empty, the VM reads the store itself
	isReader  bool     // the VM reads the store if its sources are stale
	others    []string // all other live VMs, which are polled at random during an outage
	fleetSize int      // number of members, including this VM
}

// sourcesFor returns the sources of the VM that owns the view. All VMs with the same members derive
// the same tree, without cycles.
func sourcesFor(v *membership.View) sources {
	live := liveMembers(v)
	ownRegion := regionOf(v, v.Self)
	leaders := make(map[string][]*membership.Member)
	for region, members := range live {
		leaders[region] = topOfRegion(region, members, 1)
	}
	ranked := rankedLeaders(leaders)
	own := topOfRegion(ownRegion, live[ownRegion], len(live[ownRegion]))
	rank := slices.IndexFunc(own, func(m *membership.Member) bool { return m.Name == v.Self })
	s := sources{self: v.Self, isReader: rank < readersPerRegion, fleetSize: len(v.Members)}
	if rank < 0 {
		return s // this VM is not alive, for example leaving
	}
	for _, m := range v.Members {
		if m.State == membership.Alive && m.Name != v.Self {
			s.others = append(s.others, m.Name)
		}
	}
	if rank > 0 {
		s.preferred = append(s.preferred, own[(rank-1)/fanOut].Name)
	}
	for _, m := range own[:min(rank, readersPerRegion)] {
		s.preferred = appendUnique(s.preferred, m.Name)
	}
	for _, leader := range ranked[:min(watcherCount, len(ranked))] {
		if leader.Name == v.Self {
			s.isReader, s.preferred = true, nil
			return s
		}
		s.preferred = appendUnique(s.preferred, leader.Name)
	}
	return s
}

func appendUnique(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func regionOf(v *membership.View, name string) string {
	m, _ := v.Member(name)
	return m.Region
}

func memberName(m *membership.Member) string { return m.Name }

// liveMembers returns the live members of each region.
func liveMembers(v *membership.View) map[string][]*membership.Member {
	regions := make(map[string][]*membership.Member)
	for i := range v.Members {
		if m := &v.Members[i]; m.State == membership.Alive {
			regions[m.Region] = append(regions[m.Region], m)
		}
	}
	return regions
}

// topOfRegion returns the first n members of a region in an order that is the same on all VMs: those with the most
// cores first, as they have the fastest links, too, and send to many others. The first one is the region's leader.
func topOfRegion(region string, members []*membership.Member, n int) []*membership.Member {
	n = min(n, len(members))
	key := "leader of " + region
	top := make([]*membership.Member, 0, n)
	for len(top) < n {
		class, rest := strongest(members)
		top = append(top, rendezvous.Top(key, class, n-len(top), memberName)...)
		members = rest
	}
	return top
}

// strongest splits members into those with the most cores and the others.
func strongest(members []*membership.Member) (most, others []*membership.Member) {
	cores := slices.MaxFunc(members, func(a, b *membership.Member) int { return cmp.Compare(a.Cores, b.Cores) }).Cores
	for _, m := range members {
		if cmp.Compare(m.Cores, cores) == 0 {
			most = append(most, m)
		} else {
			others = append(others, m)
		}
	}
	return most, others
}

// rankedLeaders returns the leaders of the regions, each the first of its region's members. The first
// watcherCount of them are the watchers.
func rankedLeaders(regions map[string][]*membership.Member) []*membership.Member {
	var out []*membership.Member
	for _, members := range regions {
		out = append(out, members[0])
	}
	return rendezvous.Top("watchers", out, len(out), func(m *membership.Member) string { return m.Region })
}

// Errors of polls whose answer holds no current state.
var (
	errStale    = errors.New("the peer's state is stale")
	errStarting = errors.New("the peer is starting and has no state")
	errCircular = fmt.Errorf("%w: it received its state from this VM", errStale)
)

// peerSource polls a peer.
type peerSource struct {
	network peer.Network
	vm      string
	timeout time.Duration
}

// poll sends one poll and waits for the answer.
func (s peerSource) poll(ctx context.Context, request *pollRequest) (*pollAnswer, error) {
	kind := request.Kind
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var a pollAnswer
	err := s.network.Call(ctx, s.vm, peer.KindMirrorPoll, request, &a)
	if err != nil {
		return nil, trace.Wrap(err, "poll %s from %s", kind, s.vm)
	}
	if a.Packed == nil {
		return &a, nil
	}
	a.Changed, err = unpackObjects(a.Packed)
	return &a, trace.Wrap(err, "poll %s from %s", kind, s.vm)
}

// contentBytes returns the size of the objects in the answer as they are sent.
func (a *pollAnswer) contentBytes() int {
	n := len(a.Packed)
	for i := range a.Deltas {
		n += len(a.Deltas[i].Value) + len(a.Deltas[i].Status)
	}
	if a.Packed != nil {
		return n
	}
	for i := range a.Changed {
		n += len(a.Changed[i].Value) + len(a.Changed[i].Status)
	}
	return n
}

// toChange converts a peer's answer to a poll that was sent at the given time on this VM's boot clock.
// The peer received the poll later, so the resulting confirmation is a lower bound.
func (a *pollAnswer) toChange(kind platform.Kind, vm string, sent time.Duration) change {
	c := change{kind: kind, complete: a.Complete, asOf: a.AsOf, age: a.Age, path: append(slices.Clone(a.Path), vm)}
	c.confirmed = confirmation{known: a.Confirmed, at: sent}.add(a.ConfirmedAt)
	c.withheld, c.bytes = a.Withheld, a.contentBytes()
	if a.Complete {
		c.objects = a.Changed
		return c
	}
	for _, o := range slices.Concat(a.Changed, a.resolved) {
		c.events = append(c.events, platform.Event{Object: o})
	}
	for _, name := range a.Removed {
		c.events = append(c.events, platform.Event{Object: platform.Object{Kind: kind, Name: name, Version: a.AsOf}, Deleted: true})
	}
	return c
}

package confsync

import (
	"time"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

// relayState records the tree roots for which the document in force has been relayed.
type relayState struct {
	generation config.Generation
	roots      map[string]bool
	repairAt   time.Time // time of the next check for members that are behind
}

func (r *relayState) reset(gen config.Generation, now time.Time) {
	r.generation = gen
	r.roots = make(map[string]bool)
	r.repairAt = now.Add(repairDelay)
}

// addRoot records a root and reports whether the document has to be relayed for it: once per root,
// and for at most maxRoots roots.
func (r *relayState) addRoot(root string) bool {
	if r.roots[root] || len(r.roots) >= maxRoots {
		return false
	}
	r.roots[root] = true
	return true
}

// propagate relays the document in force. Within a region it travels down a tree of the members,
// rooted at the daemon that brought it into the region. A daemon that has it from the store or an
// operator also announces it to the watchers of the other regions, in case they cannot reach the
// store.
func (c *core) propagate(from source, root string) {
	switch from {
	case fromPush:
		c.pushDown(root)
	case fromFetch:
		c.pushDown(c.self.Name)
	case fromStore, fromApply:
		c.pushDown(c.self.Name)
		c.announceToRegions()
	}
}

// pushDown sends the document to this daemon's children in the tree of a root.
func (c *core) pushDown(root string) {
	if root == "" || !c.relay.addRoot(root) {
		return
	}
	message := pushMessage{Root: root, Document: c.cur.wire()}
	for _, child := range c.children(root) {
		c.emit(pushTo{child, message})
	}
}

// children returns the children of this daemon in the tree of a root. The tree consists of the
// members of the region in rendezvous order for the root, each with treeDegree children, so that
// all daemons with the same view compute the same tree. Daemons that are missed because views
// differ learn of the generation from heartbeats.
func (c *core) children(root string) []string {
	members := c.view.InRegion(c.self.Region)
	order := make([]string, 1, len(members)+1)
	order[0] = root
	for _, m := range rendezvous.Top("config.tree/"+root, members, len(members), memberName) {
		if m.Name != root {
			order = append(order, m.Name)
		}
	}
	for i, name := range order {
		if name == c.self.Name {
			first := min(i*treeDegree+1, len(order))
			return order[first:min(first+treeDegree, len(order))]
		}
	}
	return nil
}

// announceToRegions announces the document to the watchers of each other region.
func (c *core) announceToRegions() {
	message := pushMessage{Document: c.cur.metadata()}
	seen := map[string]bool{c.self.Region: true}
	for _, m := range c.view.Members {
		if seen[m.Region] {
			continue
		}
		seen[m.Region] = true
		for _, w := range selectWatchers(c.view, m.Region) {
			c.emit(pushTo{w.Name, message})
		}
	}
}

// onPush handles a push. The document is nil if the push was only an announcement.
func (c *core) onPush(now time.Time, from string, message pushMessage, d *loadedDocument) {
	gen := config.Generation(message.Document.Generation)
	switch {
	case gen < c.cur.generation():
		return
	case gen == c.cur.generation():
		if message.Document.Hash != c.cur.hash() {
			c.onConflict(gen, from)
			return
		}
		c.pushDown(message.Root)
	case d != nil:
		c.adopt(d, fromPush, message.Root)
	default:
		c.onAnnouncement(now, from, message.Root, gen)
	}
	c.peerAnswered = true
	c.updateReady()
}

// onAnnouncement fetches the announced generation immediately.
func (c *core) onAnnouncement(now time.Time, from, root string, gen config.Generation) {
	if gen <= c.fetch.hintGen {
		return
	}
	c.fetch.hintPeer, c.fetch.hintGen, c.fetch.hintRoot = from, gen, root
	delete(c.fetch.asked, from)
	if c.fetch.step != FetchAsking {
		c.fetch.step = FetchPending
		c.fetch.startAt = now
		c.tickFetch(now)
	}
}

// tickRepair pushes again to members of the region that are still behind: either pushes to them
// were lost, or they cannot reach the peers that they fetch from.
func (c *core) tickRepair(now time.Time) {
	if c.cur == nil || now.Before(c.relay.repairAt) {
		return
	}
	c.relay.repairAt = now.Add(repairInterval)
	members := c.view.InRegion(c.self.Region)
	for _, m := range members {
		if m.Name != c.self.Name && config.Generation(m.Generation) < c.cur.generation() && c.isRepairer(m.Name, members) {
			c.emit(pushTo{m.Name, pushMessage{Document: c.cur.wire()}})
		}
	}
}

// isRepairer reports whether this daemon is one of those that push again to a member that is
// behind.
func (c *core) isRepairer(behind string, members []membership.Member) bool {
	var candidates []membership.Member
	for _, m := range members {
		if m.Name == c.self.Name || config.Generation(m.Generation) >= c.cur.generation() {
			candidates = append(candidates, m)
		}
	}
	for _, m := range rendezvous.Top("config.repair/"+behind, candidates, repairersPerMember, memberName) {
		if m.Name == c.self.Name {
			return true
		}
	}
	return false
}

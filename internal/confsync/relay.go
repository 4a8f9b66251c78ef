package confsync

import (
	"time"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

// relayState remembers for which roots the document in force was passed on.
type relayState struct {
	generation config.Generation
	roots      map[string]bool
	repairAt   time.Time // next look at who is behind
}

func (r *relayState) reset(gen config.Generation, now time.Time) {
	r.generation = gen
	r.roots = make(map[string]bool)
	r.repairAt = now.Add(repairAfter)
}

// due reports whether the document is to be passed on for a root, once for
// each and for a bounded number of them.
func (r *relayState) due(root string) bool {
	if r.roots[root] || len(r.roots) >= maxRoots {
		return false
	}
	r.roots[root] = true
	return true
}

// spread passes the document in force on. Within the region it travels down a
// tree over the members, whose root is the daemon that brought it into the
// region. Who has it from the store or an operator also gives notice to the
// watchers of the other regions, which reaches them when the store does not.
func (c *core) spread(from source, root string) {
	switch from {
	case fromPush:
		c.pushDown(root)
	case fromFetch:
		c.pushDown(c.self.Name)
	case fromStore, fromApply:
		c.pushDown(c.self.Name)
		c.notifyRegions()
	}
}

// pushDown sends the document to this daemon's children in a root's tree.
func (c *core) pushDown(root string) {
	if root == "" || !c.relay.due(root) {
		return
	}
	message := pushMessage{Root: root, Document: c.cur.wire()}
	for _, child := range c.children(root) {
		c.emit(pushTo{child, message})
	}
}

// children returns the members below this daemon in the tree of a root. All
// daemons with the same view compute the same tree: the members of the region
// in rendezvous order for the root, each with treeDegree children. Daemons
// left out by a differing view learn of the generation by heartbeats.
func (c *core) children(root string) []string {
	members := c.view.InRegion(c.self.Region)
	order := make([]string, 1, len(members)+1)
	order[0] = root
	for _, m := range rendezvous.Top("config.tree/"+root, members, len(members), nameOf) {
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

// notifyRegions gives notice to the watchers of each other region.
func (c *core) notifyRegions() {
	message := pushMessage{Document: c.cur.notice()}
	seen := map[string]bool{c.self.Region: true}
	for _, m := range c.view.Members {
		if seen[m.Region] {
			continue
		}
		seen[m.Region] = true
		for _, w := range watchers(c.view, m.Region) {
			c.emit(pushTo{w.Name, message})
		}
	}
}

// onPush takes a pushed document, nil when it was only a notice of a
// generation.
func (c *core) onPush(now time.Time, from string, message pushMessage, d *held) {
	gen := config.Generation(message.Document.Generation)
	switch {
	case gen < c.cur.generation():
		return
	case gen == c.cur.generation():
		if message.Document.Hash != c.cur.hash() {
			c.dispute(gen, from)
			return
		}
		c.pushDown(message.Root)
	case d != nil:
		c.adopt(d, fromPush, message.Root)
	default:
		c.noticed(now, from, message.Root, gen)
	}
	c.peerAnswered = true
	c.checkReady()
}

// noticed fetches at once what a peer gave notice of.
func (c *core) noticed(now time.Time, from, root string, gen config.Generation) {
	if gen <= c.fetch.hintGen {
		return
	}
	c.fetch.hint, c.fetch.hintGen, c.fetch.hintRoot = from, gen, root
	delete(c.fetch.asked, from)
	if c.fetch.step != FetchAsking {
		c.fetch.step = FetchPending
		c.fetch.startAt = now
		c.tickFetch(now)
	}
}

// tickRepair pushes again to members of the region that are behind long after
// this daemon adopted the document: their pushes were lost, or they cannot
// reach whom they ask.
func (c *core) tickRepair(now time.Time) {
	if c.cur == nil || now.Before(c.relay.repairAt) {
		return
	}
	c.relay.repairAt = now.Add(repairInterval)
	members := c.view.InRegion(c.self.Region)
	for _, m := range members {
		if m.Name != c.self.Name && config.Generation(m.Generation) < c.cur.generation() && c.repairs(m.Name, members) {
			c.emit(pushTo{m.Name, pushMessage{Document: c.cur.wire()}})
		}
	}
}

// repairs reports whether this daemon is one of those to push again to a
// member that is behind.
func (c *core) repairs(behind string, members []membership.Member) bool {
	var able []membership.Member
	for _, m := range members {
		if m.Name == c.self.Name || config.Generation(m.Generation) >= c.cur.generation() {
			able = append(able, m)
		}
	}
	for _, m := range rendezvous.Top("config.repair/"+behind, able, repairers, nameOf) {
		if m.Name == c.self.Name {
			return true
		}
	}
	return false
}

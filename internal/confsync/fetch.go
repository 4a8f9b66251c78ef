package confsync

import (
	"time"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

// FetchStep is a state of fetching a document from peers.
type FetchStep uint8

// The states of fetching a document from peers.
const (
	FetchIdle    FetchStep = iota // no higher generation is known
	FetchPending                  // waiting for a push or for the next attempt
	FetchAsking                   // a call to a peer is in progress
)

// String returns the name of the state.
func (s FetchStep) String() string { return [...]string{"idle", "pending", "asking"}[s] }

// FetchSteps returns all states.
func FetchSteps() []FetchStep { return []FetchStep{FetchIdle, FetchPending, FetchAsking} }

// fetchState is the state of fetching from peers. At most one call is in progress at any time.
type fetchState struct {
	step         FetchStep
	startAt      time.Time       // end of FetchPending
	asked        map[string]bool // peers queried in this round; nil at its start
	failedRounds int             // rounds in which all candidates were tried without success
	callsEnded   int             // calls that were answered or failed since start or pause
	peer         string          // peer of the call in progress

	hintPeer string // peer that announced a higher generation
	hintGen  config.Generation
	hintRoot string // root of the tree it was announced in; "" if it came from another region or a repair
}

// resetAsked clears the record of peers already queried.
func (f *fetchState) resetAsked() {
	f.asked = nil
	f.failedRounds = 0
}

// retryDelay returns the delay before the next fetch after all candidates have been tried.
func (f *fetchState) retryDelay() time.Duration {
	const doublings = 8 // enough to reach maxFetchRetryDelay
	return min(fetchRetryDelay<<min(f.failedRounds, doublings), maxFetchRetryDelay)
}

// peers returns all members except this daemon.
func (c *core) peers() []membership.Member {
	var out []membership.Member
	for _, m := range c.view.Members {
		if m.Name != c.self.Name {
			out = append(out, m)
		}
	}
	return out
}

// newestPeer returns a member with the highest advertised generation, or nil if none is higher than
// that of this daemon.
func (c *core) newestPeer() *membership.Member {
	var best *membership.Member
	for i := range c.view.Members {
		m := &c.view.Members[i]
		if m.Name == c.self.Name || config.Generation(m.Generation) <= c.cur.generation() {
			continue
		}
		if best == nil || m.Generation > best.Generation {
			best = m
		}
	}
	return best
}

// scheduleFetch schedules a fetch if a peer has a higher generation, or if this daemon is still
// starting.
func (c *core) scheduleFetch(now time.Time) {
	c.findConflicts()
	if c.fetch.step != FetchIdle || !c.needsFetch() {
		return
	}
	c.fetch.step = FetchPending
	c.fetch.startAt = now
	if c.cur != nil {
		c.fetch.startAt = now.Add(fetchDelay + time.Duration(c.random.Int64N(int64(fetchDelay))))
	}
}

func (c *core) needsFetch() bool {
	if c.knowsHigher() {
		return true
	}
	return c.isStarting() && len(c.peers()) > 0
}

// isStarting reports whether this daemon is not ready and still has to query peers for their
// document.
func (c *core) isStarting() bool {
	return !c.ready && !c.peerAnswered && (c.cur == nil || c.fetch.callsEnded < minPeersAsked)
}

// findConflicts looks for members that advertise a different document of the generation in force. A
// hash of 0 is unknown, as for members of distant regions, and is no conflict.
func (c *core) findConflicts() {
	for _, m := range c.peers() {
		if c.cur != nil && config.Generation(m.Generation) == c.cur.generation() && m.Hash != 0 && m.Hash != c.cur.hash() {
			c.onConflict(c.cur.generation(), m.Name)
		}
	}
}

// tickFetch fetches from the next peer once the delay has passed.
func (c *core) tickFetch(now time.Time) {
	if c.fetch.step != FetchPending || now.Before(c.fetch.startAt) {
		return
	}
	if !c.needsFetch() {
		c.fetch.step = FetchIdle
		c.fetch.resetAsked()
		return
	}
	next := c.nextPeer()
	if next == "" {
		c.fetch.asked = nil // start a new round
		c.fetch.hintGen = 0
		c.fetch.startAt = now.Add(c.fetch.retryDelay())
		c.fetch.failedRounds++
		return
	}
	c.fetch.step = FetchAsking
	c.fetch.peer = next
	c.emit(fetchFrom{peer: next})
}

// nextPeer returns the best peer not yet queried: first the one that announced a higher generation,
// then by highest generation, by proximity and by rendezvous hashing, which spreads the load.
func (c *core) nextPeer() string {
	if c.fetch.hintGen > c.cur.generation() && !c.fetch.asked[c.fetch.hintPeer] {
		return c.fetch.hintPeer
	}
	var best *membership.Member
	candidates := c.peers()
	for i := range candidates {
		m := &candidates[i]
		if c.fetch.asked[m.Name] || !c.mayHaveNewer(m) {
			continue
		}
		if best == nil || c.isPreferred(m, best) {
			best = m
		}
	}
	if best == nil {
		return ""
	}
	return best.Name
}

// mayHaveNewer reports whether a member may have a higher generation. While this daemon starts, any
// member may.
func (c *core) mayHaveNewer(m *membership.Member) bool {
	return c.isStarting() || config.Generation(m.Generation) > c.cur.generation()
}

func (c *core) isPreferred(a, b *membership.Member) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	if da, db := c.distance(a), c.distance(b); da != db {
		return da < db
	}
	return rendezvous.Score(c.self.Name, a.Name) > rendezvous.Score(c.self.Name, b.Name)
}

// distance ranks members by proximity: 0 in the same availability zone, 1 in the same region, 2
// elsewhere.
func (c *core) distance(m *membership.Member) int {
	switch {
	case m.Zone == c.self.Zone:
		return 0
	case m.Region == c.self.Region:
		return 1
	}
	return 2
}

// onFetched handles the result of a fetch: the peer's document, or nil if it has none.
func (c *core) onFetched(now time.Time, d *loadedDocument, err error) {
	if c.fetch.asked == nil {
		c.fetch.asked = make(map[string]bool)
	}
	c.fetch.asked[c.fetch.peer] = true
	c.fetch.callsEnded++
	c.fetch.step = FetchPending
	c.fetch.startAt = now.Add(fetchRetryDelay)
	if err == nil {
		c.fetch.startAt = now
		c.adoptFetched(d)
	}
	if !c.needsFetch() {
		c.fetch.step = FetchIdle
		c.fetch.resetAsked()
	}
	c.updateReady()
}

// adoptFetched adopts a fetched document. If a push announced it, it is relayed down the tree of
// that push.
func (c *core) adoptFetched(d *loadedDocument) {
	if d == nil {
		return
	}
	c.peerAnswered = true
	if c.fetch.hintRoot != "" && d.generation() == c.fetch.hintGen {
		c.adopt(d, fromPush, c.fetch.hintRoot)
		return
	}
	c.adopt(d, fromFetch, "")
}

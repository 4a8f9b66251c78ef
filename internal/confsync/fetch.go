package confsync

import (
	"time"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/rendezvous"
)

// FetchStep is a step of asking peers for a document.
type FetchStep uint8

// The steps of asking peers for a document.
const (
	FetchIdle    FetchStep = iota // nothing higher is known
	FetchPending                  // waiting for a push, or before the next peer
	FetchAsking                   // a call to a peer is under way
)

// String returns the name used in tests.
func (s FetchStep) String() string { return [...]string{"idle", "pending", "asking"}[s] }

// FetchSteps returns all steps.
func FetchSteps() []FetchStep { return []FetchStep{FetchIdle, FetchPending, FetchAsking} }

// fetchState is the state of asking peers for a document. At most one call is
// under way at any time.
type fetchState struct {
	step    FetchStep
	startAt time.Time       // end of FetchPending
	asked   map[string]bool // peers asked for the generation wanted, or since start
	rounds  int             // times that all who might have it were asked in vain
	tried   int             // calls answered or failed since start or pause
	peer    string          // peer being asked

	hint     string // peer that gave notice of a higher generation
	hintGen  config.Generation
	hintRoot string // root for which it was passed on; "" when it came from another region
}

// startOver forgets who was asked.
func (f *fetchState) startOver() {
	f.asked = nil
	f.rounds = 0
}

// retryWait is the wait after a peer that did not help.
func (f *fetchState) retryWait() time.Duration {
	const doublings = 8 // enough to reach the bound
	return min(fetchRetry<<min(f.rounds, doublings), maxFetchRetry)
}

// others returns the members besides this daemon.
func (c *core) others() []membership.Member {
	var out []membership.Member
	for _, m := range c.view.Members {
		if m.Name != c.self.Name {
			out = append(out, m)
		}
	}
	return out
}

// bestAdvertised returns a member with the highest generation, nil when none has a higher one than this daemon.
func (c *core) bestAdvertised() *membership.Member {
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

// considerFetch starts to fetch when a peer has what this daemon lacks, or
// when it has no document at all.
func (c *core) considerFetch(now time.Time) {
	c.findDisputes()
	if c.fetch.step != FetchIdle || !c.wantsFetch() {
		return
	}
	c.fetch.step = FetchPending
	c.fetch.startAt = now
	if c.cur != nil {
		c.fetch.startAt = now.Add(fetchDelay + time.Duration(c.random.Int64N(int64(fetchDelay))))
	}
}

func (c *core) wantsFetch() bool {
	if c.knowsHigher() {
		return true
	}
	return c.starting() && len(c.others()) > 0
}

// starting reports whether this daemon has yet to receive any peer's document.
func (c *core) starting() bool {
	return !c.ready && !c.peerAnswered && (c.cur == nil || c.fetch.tried < enoughPeers)
}

// findDisputes looks for members with another document of the generation in
// force. The hash of daemons far away is not known here and counts as equal.
func (c *core) findDisputes() {
	for _, m := range c.others() {
		if c.cur != nil && config.Generation(m.Generation) == c.cur.generation() && m.Hash != 0 && m.Hash != c.cur.hash() {
			c.dispute(c.cur.generation(), m.Name)
		}
	}
}

// tickFetch asks the next peer when it is time.
func (c *core) tickFetch(now time.Time) {
	if c.fetch.step != FetchPending || now.Before(c.fetch.startAt) {
		return
	}
	if !c.wantsFetch() {
		c.fetch.step = FetchIdle
		c.fetch.startOver()
		return
	}
	target := c.nextToAsk()
	if target == "" {
		c.fetch.asked = nil // begin again with the first
		c.fetch.hintGen = 0
		c.fetch.startAt = now.Add(c.fetch.retryWait())
		c.fetch.rounds++
		return
	}
	c.fetch.step = FetchAsking
	c.fetch.peer = target
	c.emit(fetchFrom{peer: target})
}

// nextToAsk returns the best peer not asked yet: the one that gave notice,
// then those with the highest generation, the nearest first, spread by
// rendezvous hashing.
func (c *core) nextToAsk() string {
	if c.fetch.hintGen > c.cur.generation() && !c.fetch.asked[c.fetch.hint] {
		return c.fetch.hint
	}
	var best *membership.Member
	candidates := c.others()
	for i := range candidates {
		m := &candidates[i]
		if c.fetch.asked[m.Name] || !c.mayHelp(m) {
			continue
		}
		if best == nil || c.before(m, best) {
			best = m
		}
	}
	if best == nil {
		return ""
	}
	return best.Name
}

// mayHelp reports whether a member may have a higher generation. While starting, any may.
func (c *core) mayHelp(m *membership.Member) bool {
	return c.starting() || config.Generation(m.Generation) > c.cur.generation()
}

func (c *core) before(a, b *membership.Member) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	if da, db := c.distance(a), c.distance(b); da != db {
		return da < db
	}
	return rendezvous.Score(c.self.Name, a.Name) > rendezvous.Score(c.self.Name, b.Name)
}

// distance ranks members: own availability zone, own region, elsewhere.
func (c *core) distance(m *membership.Member) int {
	switch {
	case m.Zone == c.self.Zone:
		return 0
	case m.Region == c.self.Region:
		return 1
	}
	return 2
}

// onFetched takes a peer's answer: its document, nil when it has none.
func (c *core) onFetched(now time.Time, d *held, err error) {
	if c.fetch.asked == nil {
		c.fetch.asked = make(map[string]bool)
	}
	c.fetch.asked[c.fetch.peer] = true
	c.fetch.tried++
	c.fetch.step = FetchPending
	c.fetch.startAt = now.Add(fetchRetry)
	if err == nil {
		c.fetch.startAt = now
		c.takeFetched(d)
	}
	if !c.wantsFetch() {
		c.fetch.step = FetchIdle
		c.fetch.startOver()
	}
	c.checkReady()
}

// takeFetched adopts a peer's document. One that was announced by a push goes
// on down the same tree.
func (c *core) takeFetched(d *held) {
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

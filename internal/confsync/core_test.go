package confsync

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/membership"
)

func member(i int) membership.Member {
	return membership.Member{Name: fmt.Sprintf("vm-%03d", i), Region: "r", Zone: "z"}
}

// testDocument returns an empty document of the given generation and hash.
func testDocument(gen config.Generation, hash uint64) *loadedDocument {
	return &loadedDocument{
		snap:   &config.Snapshot{Generation: gen, Hash: hash, Document: &config.Document{}},
		packed: &repository.Packed{},
	}
}

// TestTreeReachesEachMemberOnce walks the tree of a root and checks that each member of the region is
// reached exactly once.
func TestTreeReachesEachMemberOnce(t *testing.T) {
	const n = 155
	view := &membership.View{}
	for i := range n {
		view.Members = append(view.Members, member(i))
	}
	root := member(17).Name
	reached := map[string]int{root: 1}
	queue := []string{root}
	for len(queue) > 0 {
		c := newCore(membership.Member{Name: queue[0], Region: "r"}, 1)
		c.view = view
		queue = queue[1:]
		children := c.children(root)
		if len(children) > treeDegree {
			t.Errorf("%d children", len(children))
		}
		for _, child := range children {
			reached[child]++
			queue = append(queue, child)
		}
	}
	if len(reached) != n {
		t.Errorf("reached %d of %d members", len(reached), n)
	}
	for name, times := range reached {
		if times != 1 {
			t.Errorf("%s reached %d times", name, times)
		}
	}
}

func TestOnlyRisingGenerationsAreAdopted(t *testing.T) {
	for _, from := range []source{fromStore, fromPush, fromFetch, fromApply} {
		t.Run(from.String(), func(t *testing.T) {
			c := newCore(member(1), 1)
			c.adopt(testDocument(5, 50), from, "")
			c.adopt(testDocument(4, 40), from, "")
			if c.cur.generation() != 5 {
				t.Errorf("generation went back to %d", c.cur.generation())
			}
			c.adopt(testDocument(5, 51), from, "")
			if decided := c.cur.hash() == 51; decided != (from == fromStore) {
				t.Errorf("another document of the same generation was adopted: %v", decided)
			}
		})
	}
}

// TestPausedProcessIsNotReadyUntilConfirmed advances the clock between two ticks by more than
// pauseThreshold: the daemon must not report itself ready with a document that may be out of date.
func TestPausedProcessIsNotReadyUntilConfirmed(t *testing.T) {
	now := time.Unix(0, 0)
	c := newCore(member(1), 1)
	c.onStart(now)
	c.onView(now, &membership.View{Version: 1, Members: []membership.Member{member(1), member(2)}})
	c.onHead(now, testDocument(1, 1), 1, nil)
	c.onFetched(now, testDocument(1, 1), nil)
	if err := c.readyError(); err != nil {
		t.Fatal(err)
	}
	now = now.Add(pauseThreshold + time.Second)
	c.onTick(now)
	if c.readyError() == nil {
		t.Fatal("ready right after a pause")
	}
	c.onWatch(now, nil, 1, nil)
	c.onFetched(now, testDocument(2, 2), nil)
	if err := c.readyError(); err != nil || c.cur.generation() != 2 {
		t.Errorf("generation %d, %v", c.cur.generation(), err)
	}
}

func TestNotReadyWhileAPeerHasMore(t *testing.T) {
	now := time.Unix(0, 0)
	c := newCore(member(1), 1)
	c.onStart(now)
	ahead := member(2)
	ahead.Generation = 7
	c.onView(now, &membership.View{Version: 1, Members: []membership.Member{member(1), ahead}})
	c.onHead(now, testDocument(6, 6), 1, nil)
	if c.readyError() == nil {
		t.Error("ready with a stale document")
	}
	c.onTick(now)
	c.onFetched(now, testDocument(7, 7), nil)
	if err := c.readyError(); err != nil {
		t.Error(err)
	}
}

// TestUnansweredFetchesBackOff checks that retries back off when a member advertises a
// higher generation but never answers.
func TestUnansweredFetchesBackOff(t *testing.T) {
	now := time.Unix(0, 0)
	c := newCore(member(0), 1)
	c.onStart(now)
	c.adopt(testDocument(5, 50), fromStore, "")
	c.ready = true
	view := &membership.View{Version: 1}
	for i := range 50 {
		view.Members = append(view.Members, member(i))
		view.Members[i].Generation = 5
	}
	view.Members[7].Generation = 6
	c.onView(now, view)
	asked := make(map[string]int)
	for range 600 {
		now = now.Add(tickInterval)
		c.onTick(now)
		for _, a := range c.takeActions() {
			if f, ok := a.(fetchFrom); ok {
				asked[f.peer]++
				c.onFetched(now, nil, errors.New("no answer"))
			}
		}
	}
	const most = 20 // per minute: five while the delay doubles, then one every 5 s
	if n := asked[member(7).Name]; n < 5 || n > most || len(asked) > 1 {
		t.Errorf("queried %v", asked)
	}
}

// TestUnknownHashIsNoConflict checks that a member with a known generation and an unknown hash
// causes no conflict.
func TestUnknownHashIsNoConflict(t *testing.T) {
	c := newCore(member(1), 1)
	c.adopt(testDocument(5, 50), fromPush, "")
	far := member(2)
	far.Generation = 5
	c.onView(time.Unix(0, 0), &membership.View{Version: 1, Members: []membership.Member{member(1), far}})
	if c.watch.conflictGen != 0 {
		t.Error("a member with an unknown hash counts as a conflict")
	}
}

func TestSuspectWatcherIsReplaced(t *testing.T) {
	view := &membership.View{}
	for i := range 20 {
		view.Members = append(view.Members, member(i))
	}
	first := selectWatchers(view, "r")
	if len(first) != watchersPerRegion {
		t.Fatalf("%d watchers", len(first))
	}
	for i := range view.Members {
		if view.Members[i].Name == first[0].Name {
			view.Members[i].State = membership.Suspect
		}
	}
	again := selectWatchers(view, "r")
	if again[0].Name != first[1].Name || again[1].Name == first[0].Name {
		t.Errorf("watchers changed from %v to %v", first, again)
	}
}

// TestRelaysForABoundedNumberOfRoots pushes the same document down many trees. The
// daemon must relay it for at most maxRoots of them.
func TestRelaysForABoundedNumberOfRoots(t *testing.T) {
	c := newCore(member(0), 1)
	for i := range 200 {
		c.view.Members = append(c.view.Members, member(i))
	}
	doc := testDocument(1, 1)
	pushes := 0
	for root := range 200 {
		c.onPush(time.Unix(0, 0), member(root).Name, pushMessage{Root: member(root).Name, Document: doc.metadata()}, doc)
		for _, a := range c.takeActions() {
			if _, ok := a.(pushTo); ok {
				pushes++
			}
		}
	}
	if len(c.relay.roots) != maxRoots || pushes > maxRoots*treeDegree {
		t.Errorf("%d roots, %d pushes", len(c.relay.roots), pushes)
	}
}

package confsync

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/peer/peertest"
)

// TestPauseAtEachStepIsConfirmed pauses the process in each state of watching and fetching while
// the other daemons adopt generation 2. Calls that were in progress return stale results after the
// pause.
func TestPauseAtEachStepIsConfirmed(t *testing.T) {
	for _, watch := range WatchSteps() {
		for _, fetch := range FetchSteps() {
			t.Run(fmt.Sprintf("%v/%v", watch, fetch), func(t *testing.T) {
				now := time.Unix(0, 0)
				c := newCore(member(1), 1)
				c.onStart(now)
				c.onView(now, &membership.View{Version: 1, Members: []membership.Member{member(1), member(2)}})
				c.onHead(now, testDocument(1, 1), 1, nil)
				c.onFetched(now, testDocument(1, 1), nil)
				if err := c.readyError(); err != nil {
					t.Fatal(err)
				}
				c.watch.step, c.fetch.step = watch, fetch
				now = now.Add(pauseThreshold + time.Second)
				c.onTick(now)
				if c.readyError() == nil {
					t.Fatal("ready right after the pause")
				}
				if watch == WatchWaiting {
					c.onWatch(now, nil, 1, nil)
				} else {
					c.onHead(now, testDocument(1, 1), 1, nil)
				}
				c.onFetched(now, nil, errors.New("timeout"))
				c.onFetched(now, testDocument(2, 2), nil)
				c.onHead(now, testDocument(1, 1), 1, nil)
				if err := c.readyError(); err != nil || c.cur.generation() != 2 {
					t.Errorf("generation %d, %v", c.cur.generation(), err)
				}
			})
		}
	}
}

// TestAskingUnderFaults starts a daemon during a store outage, so that it depends on peers, while
// the peers that it queries are slow, crashed or paused.
func TestAskingUnderFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"delay", func(f *fleet) {
			f.hub.SetFault(peertest.Any, "vm-90", peertest.Fault{Delay: 200 * time.Millisecond})
		}},
		{"crash of the queried peers", func(f *fleet) {
			time.Sleep(time.Millisecond)
			for _, d := range f.alive() {
				if d.member.Region == "region-0" && d.member.Name != "vm-90" {
					f.crash(d)
				}
			}
		}},
		{"pause of the queried peers", func(f *fleet) {
			for _, d := range f.alive()[:6] {
				f.hub.Pause(d.member.Name)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSettledFleet(t)
				f.waitInForce(f.apply(f.daemons[1]), inForceMax)
				f.store.SetOutage(true)
				f.start("vm-90", "region-0")
				tt.fault(f)
				f.waitInForce(2, maxInitialBackoff)
				for _, d := range f.daemons {
					f.hub.Resume(d.member.Name)
				}
			})
		})
	}
}

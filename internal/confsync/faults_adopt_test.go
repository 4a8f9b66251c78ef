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

// TestPauseAtEachStepIsConfirmed lets the process stand still at each step of
// watching and asking, while the others go on to generation 2; the answers of
// calls that were under way come after the pause, and are old.
func TestPauseAtEachStepIsConfirmed(t *testing.T) {
	for _, watch := range WatchSteps() {
		for _, fetch := range FetchSteps() {
			t.Run(fmt.Sprintf("%v/%v", watch, fetch), func(t *testing.T) {
				now := time.Unix(0, 0)
				c := newCore(member(1), 1)
				c.onStart(now)
				c.onView(now, &membership.View{Version: 1, Members: []membership.Member{member(1), member(2)}})
				c.onHead(now, testHeld(1, 1), 1, nil)
				c.onFetched(now, testHeld(1, 1), nil)
				if err := c.whyNotReady(); err != nil {
					t.Fatal(err)
				}
				c.watch.step, c.fetch.step = watch, fetch
				now = now.Add(awayAfter + time.Second)
				c.onTick(now)
				if c.whyNotReady() == nil {
					t.Fatal("ready right after the pause")
				}
				if watch == WatchWaiting {
					c.onWatch(now, nil, 1, nil)
				} else {
					c.onHead(now, testHeld(1, 1), 1, nil)
				}
				c.onFetched(now, nil, errors.New("timeout"))
				c.onFetched(now, testHeld(2, 2), nil)
				c.onHead(now, testHeld(1, 1), 1, nil)
				if err := c.whyNotReady(); err != nil || c.cur.generation() != 2 {
					t.Errorf("generation %d, %v", c.cur.generation(), err)
				}
			})
		}
	}
}

// TestAskingUnderFaults starts a daemon that can learn of the document from
// peers alone, while those that it asks fail it.
func TestAskingUnderFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"delay", func(f *fleet) {
			f.hub.SetFault(peertest.Any, "vm-90", peertest.Fault{Delay: 200 * time.Millisecond})
		}},
		{"crash of those asked", func(f *fleet) {
			time.Sleep(time.Millisecond)
			for _, d := range f.alive() {
				if d.member.Region == "region-0" && d.member.Name != "vm-90" {
					f.crash(d)
				}
			}
		}},
		{"pause of those asked", func(f *fleet) {
			for _, d := range f.alive()[:6] {
				f.hub.Pause(d.member.Name)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := settled(t)
				f.settle(f.apply(f.daemons[1]), inForceMax)
				f.store.SetOutage(true)
				f.start("vm-90", "region-0")
				tt.fault(f)
				f.settle(2, maxBootWait)
				for _, d := range f.daemons {
					f.hub.Resume(d.member.Name)
				}
			})
		})
	}
}

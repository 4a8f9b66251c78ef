package confsync

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// perRegion is large enough for trees of more than one level.
const perRegion = 10

// newSettledFleet returns a fleet with generation 1 in force.
func newSettledFleet(t *testing.T) *fleet {
	f := newFleet(t, perRegion)
	time.Sleep(time.Second)
	f.waitInForce(f.apply(f.daemons[3]), inForceMax)
	time.Sleep(time.Second)
	return f
}

// TestTwoFaults combines faults that are more severe together than each alone.
func TestTwoFaults(t *testing.T) {
	const all = peertest.Any
	tests := []struct {
		name string
		run  func(f *fleet) config.Generation
	}{
		{"applier crashes after the push, store down", func(f *fleet) config.Generation {
			gen := f.apply(f.daemons[0])
			f.store.SetOutage(true)
			time.Sleep(time.Millisecond)
			f.crash(f.daemons[0])
			return gen
		}},
		{"both watchers of a region crash", func(f *fleet) config.Generation {
			for _, d := range f.watchers("region-0") {
				f.crash(d)
			}
			return f.applyToStore(1)
		}},
		{"messages are lost, watches fail", func(f *fleet) config.Generation {
			f.failWatches()
			f.hub.SetFault(all, all, peertest.Fault{Drop: 0.3})
			return f.apply(f.daemons[0])
		}},
		{"pushes to one daemon are lost, it can reach no peer", func(f *fleet) config.Generation {
			f.failWatches()
			f.hub.SetFault("vm-05", all, peertest.Fault{Partition: true})
			f.hub.SetFault(all, "vm-05", peertest.Fault{Partition: true})
			time.AfterFunc(time.Second, func() { f.hub.SetFault(all, "vm-05", peertest.Fault{}) })
			return f.apply(f.daemons[0])
		}},
		{"all watches fail, the applier dies at once", func(f *fleet) config.Generation {
			f.failWatches()
			return f.applyToStore(1)
		}},
		{"all watches hang", func(f *fleet) config.Generation {
			f.store.SetHook(func(ctx context.Context, c platformtest.Call) platformtest.Fault {
				if c.Op == platform.OpWatch {
					<-ctx.Done()
				}
				return platformtest.FaultNone
			})
			time.Sleep(2 * time.Second) // until new watches have started
			return f.apply(f.daemons[0])
		}},
		{"a daemon restarts, reads are stale", func(f *fleet) config.Generation {
			f.store.Freeze()
			gen := f.apply(f.daemons[0])
			f.crash(f.daemons[5])
			f.start("vm-05", "region-1")
			return gen
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSettledFleet(t)
				f.waitInForce(tt.run(f), inForceMax)
			})
		})
	}
}

// TestPeersDistributeBeforeHeartbeats checks that pushes, announcements and relays alone distribute the
// document, before any heartbeat advertises it.
func TestPeersDistributeBeforeHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t)
		f.failWatches()
		const delay = 5 * time.Millisecond
		f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Delay: delay})
		const hops = 6 // announcement, fetch request and response, two levels of the tree, one spare
		f.waitInForce(f.apply(f.daemons[0]), hops*delay)
	})
}

func TestRestartWithStoreDownTakesTheHighestFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t)
		f.waitInForce(f.apply(f.daemons[1]), inForceMax)
		f.store.SetOutage(true)
		d := f.start("vm-90", "region-0")
		if d.Ready() == nil {
			t.Error("ready before it has a document")
		}
		f.waitInForce(2, inForceMax)
		time.Sleep(readTimeout)
		if err := d.Ready(); err != nil {
			t.Error(err)
		}
	})
}

func TestStaleStoreAtStartIsOutdoneByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t)
		f.store.Freeze()
		f.waitInForce(f.apply(f.daemons[1]), inForceMax)
		d := f.start("vm-90", "region-0")
		time.Sleep(10 * time.Millisecond)
		if d.Current() != nil && d.Current().Generation == 1 && d.Ready() == nil {
			t.Error("ready with a stale document")
		}
		f.waitInForce(2, inForceMax)
	})
}

func TestWholeFleetRestartWithStoreDownIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t)
		f.store.SetOutage(true)
		for _, d := range f.alive() {
			f.crash(d)
		}
		d := f.start("vm-00", "region-0")
		f.start("vm-01", "region-0")
		time.Sleep(10 * time.Second)
		err := d.Ready()
		var notReady *NotReadyError
		if !errors.As(err, &notReady) || !errors.Is(err, platform.ErrUnavailable) {
			t.Fatalf("got %v", err)
		}
		f.store.SetOutage(false)
		f.waitInForce(1, maxInitialBackoff)
		if err := d.Ready(); err != nil {
			t.Error(err)
		}
	})
}

func TestNotReadyWithoutDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		time.Sleep(2 * time.Second)
		if err := f.daemons[0].Ready(); err == nil || !strings.Contains(err.Error(), "none has been applied") {
			t.Errorf("got %v", err)
		}
	})
}

func TestDaemonCutOffCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t)
		f.store.SetOutage(true)
		f.hub.SetFault("vm-01", peertest.Any, peertest.Fault{Partition: true})
		f.hub.SetFault(peertest.Any, "vm-01", peertest.Fault{Partition: true})
		time.Sleep(5 * time.Second)
		f.store.SetOutage(false)
		gen := f.apply(f.daemons[0])
		f.store.SetOutage(true)
		time.Sleep(5 * time.Second)
		if len(f.behind(gen)) != 1 {
			t.Errorf("behind: %v", f.behind(gen))
		}
		f.hub.Heal()
		f.waitInForce(gen, inForceMax)
	})
}

// TestStoreResolvesConflict gives one daemon a different document of the generation in force, as
// after a store that lost writes. The document of the store must replace it and stay in force on
// the others.
func TestStoreResolvesConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t)
		d := f.daemons[2]
		encoded, err := config.Split(f.document())
		if err != nil {
			t.Fatal(err)
		}
		packed, err := repository.Pack(encoded)
		if err != nil {
			t.Fatal(err)
		}
		other, err := d.load(1, packed)
		if err != nil {
			t.Fatal(err)
		}
		right := d.Current().Hash
		d.step(func(time.Time) { d.core.cur = other })
		d.current.Store(other)
		time.Sleep(5 * time.Second)
		if got := d.Current().Hash; got != right {
			t.Error("the wrong document of the generation stays in force")
		}
		if got := f.daemons[0].Current().Hash; got != right {
			t.Error("the wrong document was distributed")
		}
	})
}

func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	calls := func(perRegion int) (n int) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, perRegion)
			time.Sleep(time.Second)
			f.waitInForce(f.apply(f.daemons[0]), inForceMax)
			time.Sleep(2 * time.Second)
			before := f.storeCalls()
			for range 5 {
				f.waitInForce(f.apply(f.daemons[0]), inForceMax)
				time.Sleep(10 * time.Second)
			}
			n = f.storeCalls() - before
		})
		return n
	}
	small, large := calls(3), calls(20)
	if large > small+small/10 {
		t.Errorf("%d calls with 6 daemons, %d with 40", small, large)
	}
}

// TestPushesAreBounded counts the pushes of one change in fleets of several sizes.
func TestPushesAreBounded(t *testing.T) {
	for _, perRegion := range []int{6, 24, 72} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, perRegion)
			time.Sleep(2 * time.Second)
			f.waitInForce(f.apply(f.daemons[3]), inForceMax)
			time.Sleep(2 * time.Second)
			before := make(map[string]uint64)
			for _, d := range f.daemons {
				before[d.member.Name] = d.counts.pushes.Get()
			}
			f.waitInForce(f.apply(f.daemons[0]), inForceMax)
			time.Sleep(2 * time.Second)
			var sum, most uint64
			for _, d := range f.daemons {
				n := d.counts.pushes.Get() - before[d.member.Name]
				sum, most = sum+n, max(most, n)
			}
			t.Logf("%d daemons: %.1f pushes per daemon, %d at most", len(f.daemons), float64(sum)/float64(len(f.daemons)), most)
			if most > maxRoots*treeDegree+watchersPerRegion {
				t.Errorf("a daemon pushed %d times for one document", most)
			}
		})
	}
}

// TestLargeClientBlocksAreSentOnce distributes a document whose client blocks are too large to be
// pushed, and then a change of another part, which must not send or read the client blocks again.
func TestLargeClientBlocksAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(time.Second)
		f.blocks = 20_000
		f.waitInForce(f.apply(f.daemons[0]), inForceMax)
		size := len(f.daemons[7].current.Load().packed.Blocks)
		if size < maxPieceBytes {
			t.Fatalf("the client blocks have only %d bytes and fit into one piece", size)
		}
		before, read := f.hub.Stats().Bytes, f.chunkReads()
		f.waitInForce(f.apply(f.daemons[0]), inForceMax)
		if n := f.chunkReads() - read; n > 0 {
			t.Errorf("%d chunks read for a change of another part", n)
		}
		if sent := f.hub.Stats().Bytes - before; sent > len(f.daemons)*maxPushBytes {
			t.Errorf("%d bytes sent for a change of another part", sent)
		}
		f.store.SetOutage(true)
		f.start("vm-90", "region-0")
		f.waitInForce(2, inForceMax)
	})
}

func TestDamagedPushIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSettledFleet(t)
		packed, err := repository.Pack(&config.Encoded{Main: []byte(`{"deployment":"forged"}`)})
		if err != nil {
			t.Fatal(err)
		}
		d := f.daemons[0]
		if _, err := d.loadFromPeer(&wireDocument{Generation: 9, Hash: 1, Main: packed.Main}); err == nil {
			t.Error("a document that does not match its hash was accepted")
		}
	})
}

package confsync

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// perRegion makes trees of more than one level.
const perRegion = 12

// settled returns a fleet that has generation 1 in force.
func settled(t *testing.T) *fleet {
	f := newFleet(t, perRegion)
	time.Sleep(time.Second)
	f.settle(f.apply(f.daemons[3]), inForceMax)
	time.Sleep(time.Second)
	return f
}

// TestFaultMatrix has a fault at each step of apply, watch, adopt and relay,
// and a new document while it lasts. It must be in force everywhere in time.
func TestFaultMatrix(t *testing.T) {
	any := peertest.Any
	tests := []struct {
		name  string
		fault func(f *fleet)
		apply func(f *fleet) config.Generation
	}{
		{"none", func(*fleet) {}, applyAnywhere},
		{"apply/lost answer", storeFault(platform.OpUpdate, platformtest.FaultLostAnswer, 1), applyAnywhere},
		{"apply/lost request", storeFault(platform.OpUpdate, platformtest.FaultLostRequest, 1), applyAnywhere},
		{"apply/outage", storeFault(platform.OpUpdate, platformtest.FaultUnavailable, 2), applyAnywhere},
		{"apply/crash before the push", func(*fleet) {}, func(f *fleet) config.Generation { return f.put(1) }},
		{"apply/crash after the push, store down", func(*fleet) {}, func(f *fleet) config.Generation {
			gen := f.apply(f.daemons[0])
			f.store.SetOutage(true)
			time.Sleep(time.Millisecond)
			f.crash(f.daemons[0])
			return gen
		}},
		{"watch/outage", storeFault(platform.OpWatch, platformtest.FaultUnavailable, 1<<30), applyAnywhere},
		{"watch/outage, others applied", storeFault(platform.OpWatch, platformtest.FaultUnavailable, 1<<30), func(f *fleet) config.Generation { return f.put(1) }},
		{"watch/one hangs", hangWatches(1), func(f *fleet) config.Generation { return f.put(1) }},
		{"watch/all hang", hangWatches(1 << 30), applyAnywhere},
		{"watch/one crashes", crashWatchers(1), func(f *fleet) config.Generation { return f.put(1) }},
		{"watch/all of a region crash", crashWatchers(2), func(f *fleet) config.Generation { return f.put(1) }},
		{"watch/stale reads", func(f *fleet) { f.store.Freeze() }, applyAnywhere},
		{"relay/delay", linkFault(any, any, peertest.Fault{Delay: 150 * time.Millisecond}), applyAnywhere},
		{"relay/duplicates", linkFault(any, any, peertest.Fault{Duplicate: 1}), applyAnywhere},
		{"relay/loss", linkFault(any, any, peertest.Fault{Drop: 0.3}), applyAnywhere},
		{"relay/pushes of the applier lost", linkFault("vm-00", any, peertest.Fault{Cut: true}), applyAnywhere},
		{"relay/applier hears nothing", linkFault(any, "vm-00", peertest.Fault{Cut: true}), applyAnywhere},
		{"relay/child crashes", func(f *fleet) { f.crash(f.daemons[4]) }, applyAnywhere},
		{"relay/child paused", func(f *fleet) {
			f.hub.Pause("vm-04")
			time.AfterFunc(time.Second, func() { f.hub.Resume("vm-04") })
		}, applyAnywhere},
		{"relay/pushes to one lost, it can ask nobody", both(storeFault(platform.OpWatch, platformtest.FaultUnavailable, 1<<30), func(f *fleet) {
			f.hub.SetFault("vm-05", any, peertest.Fault{Cut: true})
			f.hub.SetFault(any, "vm-05", peertest.Fault{Cut: true})
			time.AfterFunc(time.Second, func() { f.hub.SetFault(any, "vm-05", peertest.Fault{}) })
		}), applyAnywhere},
		{"relay/loss and store outage", both(linkFault(any, any, peertest.Fault{Drop: 0.3}),
			storeFault(platform.OpWatch, platformtest.FaultUnavailable, 1<<30)), applyAnywhere},
		{"adopt/crash and restart", func(f *fleet) {
			f.crash(f.daemons[5])
			f.start("vm-05", "region-1")
		}, applyAnywhere},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := settled(t)
				tt.fault(f)
				f.settle(tt.apply(f), inForceMax)
			})
		})
	}
}

func applyAnywhere(f *fleet) config.Generation { return f.apply(f.daemons[0]) }

func both(a, b func(*fleet)) func(*fleet) {
	return func(f *fleet) {
		a(f)
		b(f)
	}
}

// storeFault makes the next calls of an operation fail.
func storeFault(op platform.Op, fault platformtest.Fault, times int) func(*fleet) {
	return func(f *fleet) {
		left := atomic.Int64{}
		left.Store(int64(times))
		f.store.SetHook(func(_ context.Context, c platformtest.Call) platformtest.Fault {
			if c.Op != op || left.Add(-1) < 0 {
				return platformtest.FaultNone
			}
			return fault
		})
	}
}

// hangWatches makes the next watches wait for nothing until their timeout.
func hangWatches(times int) func(*fleet) {
	return func(f *fleet) {
		left := atomic.Int64{}
		left.Store(int64(times))
		f.store.SetHook(func(ctx context.Context, c platformtest.Call) platformtest.Fault {
			if c.Op == platform.OpWatch && left.Add(-1) >= 0 {
				<-ctx.Done()
			}
			return platformtest.FaultNone
		})
		time.Sleep(2 * time.Second) // until watches are begun anew
	}
}

func crashWatchers(n int) func(*fleet) {
	return func(f *fleet) {
		for _, d := range f.watchers("region-0")[:n] {
			f.crash(d)
		}
	}
}

func linkFault(from, to string, fault peertest.Fault) func(*fleet) {
	return func(f *fleet) { f.hub.SetFault(from, to, fault) }
}

func TestRestartWithStoreDownTakesTheHighestFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t)
		f.settle(f.apply(f.daemons[1]), inForceMax)
		f.store.SetOutage(true)
		d := f.start("vm-90", "region-0")
		if d.Ready() == nil {
			t.Error("ready before it has a document")
		}
		f.settle(2, inForceMax)
		time.Sleep(readTimeout)
		if err := d.Ready(); err != nil {
			t.Error(err)
		}
	})
}

func TestStaleStoreAtStartIsOutdoneByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t)
		f.store.Freeze()
		f.settle(f.apply(f.daemons[1]), inForceMax)
		d := f.start("vm-90", "region-0")
		time.Sleep(10 * time.Millisecond)
		if d.Current() != nil && d.Current().Generation == 1 && d.Ready() == nil {
			t.Error("ready with a stale document")
		}
		f.settle(2, inForceMax)
	})
}

func TestWholeFleetRestartWithStoreDownIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t)
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
		f.settle(1, maxBootWait)
		if err := d.Ready(); err != nil {
			t.Error(err)
		}
	})
}

func TestNoDocumentYetIsSaid(t *testing.T) {
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
		f := settled(t)
		f.store.SetOutage(true)
		f.hub.SetFault("vm-01", peertest.Any, peertest.Fault{Cut: true})
		f.hub.SetFault(peertest.Any, "vm-01", peertest.Fault{Cut: true})
		time.Sleep(5 * time.Second)
		f.store.SetOutage(false)
		gen := f.apply(f.daemons[0])
		f.store.SetOutage(true)
		time.Sleep(5 * time.Second)
		if len(f.behind(gen)) != 1 {
			t.Errorf("behind: %v", f.behind(gen))
		}
		f.hub.Heal()
		f.settle(gen, inForceMax)
	})
}

// TestStoreDecidesADispute gives one daemon another document of the
// generation in force, as after a store that lost writes.
func TestStoreDecidesADispute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t)
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
			t.Error("the wrong document spread")
		}
	})
}

func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	calls := func(perRegion int) (n int) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, perRegion)
			time.Sleep(time.Second)
			f.settle(f.apply(f.daemons[0]), inForceMax)
			time.Sleep(2 * time.Second)
			before := f.storeCalls()
			for range 5 {
				f.settle(f.apply(f.daemons[0]), inForceMax)
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

// TestPushesAreBounded counts the pushes of one change at fleets of several
// sizes.
func TestPushesAreBounded(t *testing.T) {
	for _, perRegion := range []int{6, 24, 72} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, perRegion)
			time.Sleep(2 * time.Second)
			f.settle(f.apply(f.daemons[3]), inForceMax)
			time.Sleep(2 * time.Second)
			before := make(map[string]uint64)
			for _, d := range f.daemons {
				before[d.member.Name] = d.counts.pushes.Get()
			}
			f.settle(f.apply(f.daemons[0]), inForceMax)
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

// TestManyClientBlocksTravelOnce spreads a document whose client blocks are too
// many to be pushed, and then a change of something else.
func TestManyClientBlocksTravelOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(time.Second)
		f.blocks = 20_000
		f.settle(f.apply(f.daemons[0]), inForceMax)
		size := len(f.daemons[7].current.Load().packed.Blocks)
		if size < maxPieceBytes {
			t.Fatalf("the client blocks have %d bytes, which one piece holds", size)
		}
		before, read := f.hub.Stats().Bytes, f.chunkReads()
		f.settle(f.apply(f.daemons[0]), inForceMax)
		if n := f.chunkReads() - read; n > 0 {
			t.Errorf("%d chunks read for a change of something else", n)
		}
		if sent := f.hub.Stats().Bytes - before; sent > len(f.daemons)*maxPushBytes {
			t.Errorf("%d bytes sent for a change of something else", sent)
		}
		f.store.SetOutage(true)
		f.start("vm-90", "region-0")
		f.settle(2, inForceMax)
	})
}

func TestDamagedPushIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t)
		packed, err := repository.Pack(&config.Encoded{Main: []byte(`{"deployment":"forged"}`)})
		if err != nil {
			t.Fatal(err)
		}
		d := f.daemons[0]
		if _, err := d.receive(&wireDocument{Generation: 9, Hash: 1, Main: packed.Main}); err == nil {
			t.Error("a document that does not match its hash was taken")
		}
	})
}

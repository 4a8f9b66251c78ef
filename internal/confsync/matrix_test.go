package confsync

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
)

// matrixFaults are the faults injected at each step.
var matrixFaults = []string{
	"crash", "pause", "lost request", "lost answer", "delay", "duplicate", "stale read", "store outage", "silent connection",
}

// matrixSteps are the steps of apply, watch, relay, fetch and adopt. Each injects a fault at its
// step, applies a document and returns its generation.
var matrixSteps = []struct {
	name string
	run  func(f *fleet, fault string) config.Generation
}{
	{"apply reads", func(f *fleet, fault string) config.Generation {
		f.failCalls(platform.OpGet, fault, f.daemons[0])
		return f.applyWithFailover()
	}},
	{"apply writes", func(f *fleet, fault string) config.Generation {
		f.failCalls(platform.OpUpdate, fault, f.daemons[0])
		return f.applyWithFailover()
	}},
	{"watch reads", func(f *fleet, fault string) config.Generation {
		f.store.SetOutage(true) // forces the watchers to read again
		time.Sleep(time.Second)
		f.store.SetOutage(false)
		f.failCalls(platform.OpGet, fault, f.watchers("region-0")[0])
		return f.applyToStore(1)
	}},
	{"watch waits", func(f *fleet, fault string) config.Generation {
		f.failCalls(platform.OpWatch, fault, f.watchers("region-0")[0])
		return f.applyToStore(1)
	}},
	{"relay pushes", func(f *fleet, fault string) config.Generation {
		f.failWatches()
		gen := f.apply(f.daemons[0])
		f.failLinks(fault, f.daemons[0])
		return gen
	}},
	{"relay is pushed to", func(f *fleet, fault string) config.Generation {
		f.failWatches()
		if fault == "store outage" { // no document can be applied during the outage
			defer f.failLinks(fault, f.daemons[4])
		} else {
			f.failLinks(fault, f.daemons[4])
		}
		return f.apply(f.daemons[0])
	}},
	{"fetch asks", func(f *fleet, fault string) config.Generation {
		f.store.SetOutage(true)
		f.failLinks(fault, f.start("vm-90", "region-0"))
		return 1
	}},
	{"adopt", func(f *fleet, fault string) config.Generation {
		gen := f.apply(f.daemons[0])
		time.Sleep(time.Millisecond)
		f.failLinks(fault, f.daemons[6])
		return gen
	}},
}

func TestFaultMatrix(t *testing.T) {
	for _, step := range matrixSteps {
		for _, fault := range matrixFaults {
			t.Run(step.name+"/"+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newSettledFleet(t)
					gen := step.run(f, fault)
					if len(f.alive()) < 2*perRegion-1 {
						t.Errorf("only %d daemons are running", len(f.alive()))
					}
					f.waitInForce(gen, inForceMax)
				})
			})
		}
	}
}

// Number of calls affected by a fault, and how long it lasts.
const (
	faultyCallCount = 2
	faultDuration   = 700 * time.Millisecond
)

// failCalls injects a fault into the next store calls of an operation. A crash or pause affects the
// daemon.
func (f *fleet) failCalls(op platform.Op, fault string, d *testDaemon) {
	switch fault {
	case "stale read":
		f.store.Freeze()
		time.AfterFunc(faultDuration, f.store.Unfreeze)
		return
	case "store outage":
		f.store.SetOutage(true)
		time.AfterFunc(faultDuration, func() { f.store.SetOutage(false) })
		return
	}
	left := atomic.Int64{}
	left.Store(faultyCallCount)
	f.store.SetHook(func(ctx context.Context, c platformtest.Call) platformtest.Fault {
		if c.Kind != platform.KindConfig || c.Op != op || left.Add(-1) < 0 {
			return platformtest.FaultNone
		}
		return f.failCall(ctx, fault, d, left.Load() == faultyCallCount-1)
	})
}

func (f *fleet) failCall(ctx context.Context, fault string, d *testDaemon, first bool) platformtest.Fault {
	switch fault {
	case "crash":
		if first {
			go f.crash(d)
		}
	case "pause":
		f.pause(d)
		time.Sleep(faultDuration)
	case "lost request":
		return platformtest.FaultLostRequest
	case "lost answer", "duplicate": // both cause the write to be repeated
		return platformtest.FaultLostResponse
	case "delay":
		time.Sleep(faultDuration)
	case "silent connection":
		select {
		case <-ctx.Done():
		case <-time.After(faultDuration):
		}
		return platformtest.FaultLostRequest
	}
	return platformtest.FaultNone
}

// failLinks injects a fault into the messages of a daemon for faultDuration. A crash, a stale store, a
// store outage and a silent connection to one neighbor last until the end of the test.
func (f *fleet) failLinks(fault string, d *testDaemon) {
	name := d.member.Name
	brief := func(from, to string, fault peertest.Fault) {
		f.hub.SetFault(from, to, fault)
		time.AfterFunc(faultDuration, func() { f.hub.SetFault(from, to, peertest.Fault{}) })
	}
	switch fault {
	case "crash":
		f.crash(d)
	case "pause":
		f.pause(d)
	case "lost request":
		brief(name, peertest.Any, peertest.Fault{Partition: true})
	case "lost answer":
		brief(peertest.Any, name, peertest.Fault{Partition: true})
	case "delay":
		brief(peertest.Any, name, peertest.Fault{Delay: faultDuration})
	case "duplicate":
		brief(peertest.Any, name, peertest.Fault{Duplicate: 1})
	case "stale read":
		f.store.Freeze()
	case "store outage":
		f.store.SetOutage(true)
	case "silent connection":
		f.hub.Partition(name, f.daemons[2].member.Name)
	}
}

// pause holds back a daemon's messages for faultDuration.
func (f *fleet) pause(d *testDaemon) {
	f.hub.Pause(d.member.Name)
	time.AfterFunc(faultDuration, func() { f.hub.Resume(d.member.Name) })
}

// failWatches makes all watches fail from now on, so that peers have to distribute the document.
func (f *fleet) failWatches() {
	f.store.SetHook(func(_ context.Context, c platformtest.Call) platformtest.Fault {
		if c.Op == platform.OpWatch {
			return platformtest.FaultUnavailable
		}
		return platformtest.FaultNone
	})
	time.Sleep(2 * time.Second) // until the watches in progress have ended
}

// applyWithFailover applies a document through one daemon, and through another if that one has
// crashed or fails, as an operator would.
func (f *fleet) applyWithFailover() config.Generation {
	f.t.Helper()
	p := f.proposal(f.daemons[0])
	accepted, err := f.daemons[0].Apply(context.Background(), p)
	if err != nil || !f.isRunning(f.daemons[0]) {
		accepted, err = f.daemons[1].Apply(context.Background(), p)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return accepted.Record.Generation
}

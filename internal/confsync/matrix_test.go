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

// matrixFaults are the faults that come at each step.
var matrixFaults = []string{
	"crash", "pause", "lost request", "lost answer", "delay", "duplicate", "stale read", "store outage", "silent connection",
}

// matrixSteps are the steps of apply, watch, relay, fetch and adopt. Each
// brings a fault at its step, has a document accepted, and returns its
// generation.
var matrixSteps = []struct {
	name string
	run  func(f *fleet, fault string) config.Generation
}{
	{"apply reads", func(f *fleet, fault string) config.Generation {
		f.failCalls(platform.OpGet, fault, f.daemons[0])
		return f.applyWherever()
	}},
	{"apply writes", func(f *fleet, fault string) config.Generation {
		f.failCalls(platform.OpUpdate, fault, f.daemons[0])
		return f.applyWherever()
	}},
	{"watch reads", func(f *fleet, fault string) config.Generation {
		f.store.SetOutage(true) // makes the watchers read again
		time.Sleep(time.Second)
		f.store.SetOutage(false)
		f.failCalls(platform.OpGet, fault, f.watchers("region-0")[0])
		return f.put(1)
	}},
	{"watch waits", func(f *fleet, fault string) config.Generation {
		f.failCalls(platform.OpWatch, fault, f.watchers("region-0")[0])
		return f.put(1)
	}},
	{"relay pushes", func(f *fleet, fault string) config.Generation {
		f.deafen()
		gen := f.apply(f.daemons[0])
		f.failLinks(fault, f.daemons[0])
		return gen
	}},
	{"relay is pushed to", func(f *fleet, fault string) config.Generation {
		f.deafen()
		if fault == "store outage" { // nothing is accepted while it lasts
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
					f := settled(t)
					gen := step.run(f, fault)
					if len(f.alive()) < 2*perRegion-1 {
						t.Errorf("only %d daemons run", len(f.alive()))
					}
					f.settle(gen, inForceMax)
				})
			})
		}
	}
}

// Sizes of the matrix's faults.
const (
	faultyCalls = 2
	faultLasts  = 700 * time.Millisecond
)

// failCalls brings a fault at the next store calls of an operation. A crash or
// pause hits the daemon.
func (f *fleet) failCalls(op platform.Op, fault string, d *testDaemon) {
	switch fault {
	case "stale read":
		f.store.Freeze()
		time.AfterFunc(faultLasts, f.store.Unfreeze)
		return
	case "store outage":
		f.store.SetOutage(true)
		time.AfterFunc(faultLasts, func() { f.store.SetOutage(false) })
		return
	}
	left := atomic.Int64{}
	left.Store(faultyCalls)
	f.store.SetHook(func(ctx context.Context, c platformtest.Call) platformtest.Fault {
		if c.Kind != platform.KindConfig || c.Op != op || left.Add(-1) < 0 {
			return platformtest.FaultNone
		}
		return f.failCall(ctx, fault, d, left.Load() == faultyCalls-1)
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
		time.Sleep(faultLasts)
	case "lost request":
		return platformtest.FaultLostRequest
	case "lost answer", "duplicate": // the write is sent again after both
		return platformtest.FaultLostResponse
	case "delay":
		time.Sleep(faultLasts)
	case "silent connection":
		select {
		case <-ctx.Done():
		case <-time.After(faultLasts):
		}
		return platformtest.FaultLostRequest
	}
	return platformtest.FaultNone
}

// failLinks brings a fault at the messages of a daemon for a while; silence
// towards one neighbor lasts.
func (f *fleet) failLinks(fault string, d *testDaemon) {
	name := d.member.Name
	brief := func(from, to string, fault peertest.Fault) {
		f.hub.SetFault(from, to, fault)
		time.AfterFunc(faultLasts, func() { f.hub.SetFault(from, to, peertest.Fault{}) })
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
		brief(peertest.Any, name, peertest.Fault{Delay: faultLasts})
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

// pause holds a daemon's messages for a while.
func (f *fleet) pause(d *testDaemon) {
	f.hub.Pause(d.member.Name)
	time.AfterFunc(faultLasts, func() { f.hub.Resume(d.member.Name) })
}

// deafen makes watches fail from now on, so that peers carry the document.
func (f *fleet) deafen() {
	f.store.SetHook(func(_ context.Context, c platformtest.Call) platformtest.Fault {
		if c.Op == platform.OpWatch {
			return platformtest.FaultUnavailable
		}
		return platformtest.FaultNone
	})
	time.Sleep(2 * time.Second) // until the waiting watches have ended
}

// applyWherever applies a document as an operator does, who goes to another
// daemon when one has died.
func (f *fleet) applyWherever() config.Generation {
	f.t.Helper()
	p := f.proposal(f.daemons[0])
	accepted, err := f.daemons[0].Apply(context.Background(), p)
	if err != nil || !f.runs(f.daemons[0]) {
		accepted, err = f.daemons[1].Apply(context.Background(), p)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return accepted.Record.Generation
}

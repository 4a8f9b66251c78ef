package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/edge"
	"masticturn/internal/platform/platformtest"
	standinplatform "masticturn/internal/standin/platform"
	"masticturn/internal/standin/target"
)

// Bounds on what is broken at once, so that a deployment of ten VMs is left
// with enough of them, and strengths of the faults.
const (
	maxBrokenVMs     = 3
	maxBrokenTargets = 6
	faultyShare      = 0.3  // of the requests of a faulty target
	lossShare        = 0.4  // of the writes of a platform that loses them
	maxCutBytes      = 4096 // after which a connection is cut
	slowStore        = 400 * time.Millisecond
)

// injector causes the faults of a plan in a cluster.
type injector struct {
	cluster *cluster.Cluster
	seed    uint64

	mu     sync.Mutex
	broken map[string]bool // VMs and targets in use by a fault, and storeName
	counts map[FaultKind]int
	errs   []error
}

const storeName = "platform"

func newInjector(c *cluster.Cluster, seed uint64) *injector {
	return &injector{cluster: c, seed: seed, broken: make(map[string]bool), counts: make(map[FaultKind]int)}
}

// run causes the planned faults and returns when all are healed.
func (j *injector) run(ctx context.Context, plan []plannedFault) {
	var group sync.WaitGroup
	defer group.Wait()
	started := time.Now()
	for _, f := range plan {
		select {
		case <-time.After(time.Until(started.Add(f.at))):
		case <-ctx.Done():
			return
		}
		group.Go(func() { j.cause(ctx, f) })
	}
}

// take reserves a VM or target for one fault. It fails when that is in use or
// when too many of its kind are.
func (j *injector) take(names []string, index, most int) (string, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	inUse := 0
	for _, name := range names {
		if j.broken[name] {
			inUse++
		}
	}
	name := names[index%len(names)]
	if inUse >= most || j.broken[name] {
		return "", false
	}
	j.broken[name] = true
	return name, true
}

func (j *injector) giveBack(name string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.broken, name)
}

func (j *injector) count(kind FaultKind, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[kind]++
	if err != nil {
		j.errs = append(j.errs, err)
	}
}

// cause causes one fault, waits, and heals it. A fault whose VM or target is
// in use already is left out.
func (j *injector) cause(ctx context.Context, f plannedFault) {
	switch f.kind {
	case FaultVMDeath, FaultVMIsolated, FaultVMDrain:
		j.causeAtVM(ctx, f)
	case FaultTargetDeath, FaultTargetFaulty, FaultTargetCuts, FaultTargetLeaves, FaultTargetLies:
		j.causeAtTarget(f)
	case FaultStoreRefuses, FaultStoreSilent, FaultStoreLoses, FaultStoreSlow, FaultStoreStale:
		j.causeAtStore(f)
	default:
		j.causeBetween(f)
	}
}

func (j *injector) causeAtVM(ctx context.Context, f plannedFault) {
	var names []string
	for _, vm := range j.cluster.VMs {
		names = append(names, vm.Host.Name)
	}
	name, ok := j.take(names, f.first, maxBrokenVMs)
	if !ok {
		return
	}
	defer j.giveBack(name)
	vm := j.cluster.VMs[f.first%len(j.cluster.VMs)]
	var err error
	switch f.kind {
	case FaultVMDeath:
		vm.Kill()
		time.Sleep(f.lasts)
		err = vm.Start(ctx)
	case FaultVMDrain:
		if err = vm.Drain(ctx); err == nil {
			time.Sleep(f.lasts)
			err = vm.Start(ctx)
		}
	case FaultVMIsolated:
		vm.Isolate()
		time.Sleep(f.lasts)
		vm.Rejoin()
	}
	j.count(f.kind, err)
}

func (j *injector) causeAtTarget(f plannedFault) {
	var names []string
	for _, t := range j.cluster.Targets {
		names = append(names, t.Name())
	}
	name, ok := j.take(names, f.first, maxBrokenTargets)
	if !ok {
		return
	}
	defer j.giveBack(name)
	t := j.cluster.Targets[f.first%len(j.cluster.Targets)]
	var err error
	switch f.kind {
	case FaultTargetDeath:
		if err = j.cluster.KillTarget(t); err == nil {
			time.Sleep(f.lasts)
			err = j.cluster.RestartTarget(t)
		}
	case FaultTargetLeaves:
		// Long enough for its quiet time to pass.
		j.cluster.DrainTarget(t, true)
		time.Sleep(f.lasts + j.cluster.Document.Drain.TargetQuietMS.Duration())
		j.cluster.DrainTarget(t, false)
	default:
		j.makeFaulty(t, f)
		time.Sleep(f.lasts)
		t.SetFaults(0)
		t.SetCutPlan(nil)
		t.SetReport(target.Report{})
		j.cluster.Note(cluster.TargetSound, "", name, string(f.kind))
	}
	j.count(f.kind, err)
}

func (j *injector) makeFaulty(t *cluster.Target, f plannedFault) {
	j.cluster.Note(cluster.TargetFaulty, "", t.Name(), string(f.kind))
	switch f.kind {
	case FaultTargetFaulty:
		t.SetFaults(faultyShare, target.Faults()...)
	case FaultTargetCuts:
		random := rand.New(rand.NewPCG(j.seed, uint64(f.first)))
		t.SetCutPlan(func() int64 { return 1 + random.Int64N(maxCutBytes) })
	case FaultTargetLies:
		t.SetReport(target.Report{
			Health: &edge.TargetHealth{Status: edge.TargetOK},
			Load:   &edge.TargetLoad{Slots: 10 * t.Slots},
		})
	}
}

func (j *injector) causeAtStore(f plannedFault) {
	if _, ok := j.take([]string{storeName}, 0, 1); !ok {
		return
	}
	defer j.giveBack(storeName)
	c := j.cluster
	c.Note(cluster.StoreDown, "", "", string(f.kind))
	switch f.kind {
	case FaultStoreRefuses:
		c.Store.SetOutage(true)
	case FaultStoreSilent:
		c.Platform.SetMode(standinplatform.Silent)
	case FaultStoreLoses:
		c.Store.SetHook(j.loseWrites(f))
	case FaultStoreSlow:
		c.Platform.SetLatency(slowStore)
	case FaultStoreStale:
		c.Store.Freeze()
	}
	time.Sleep(f.lasts)
	c.Store.SetOutage(false)
	c.Platform.SetMode(standinplatform.Normal)
	c.Store.SetHook(nil)
	c.Store.ReleaseLate()
	c.Platform.SetLatency(0)
	c.Store.Thaw()
	c.Note(cluster.StoreUp, "", "", string(f.kind))
	j.count(f.kind, nil)
}

// loseWrites makes some writes lose their request or their answer, or take
// effect late.
func (j *injector) loseWrites(f plannedFault) platformtest.Hook {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(j.seed, uint64(f.first)))
	lost := []platformtest.Fault{platformtest.FaultLostRequest, platformtest.FaultLostAnswer, platformtest.FaultLateEffect}
	return func(_ context.Context, c platformtest.Call) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if !c.Op.Writes() || random.Float64() > lossShare {
			return platformtest.FaultNone
		}
		return lost[random.IntN(len(lost))]
	}
}

// causeBetween breaks the ways between two hosts.
func (j *injector) causeBetween(f plannedFault) {
	c := j.cluster
	vm := c.VMs[f.first%len(c.VMs)]
	other := c.VMs[(f.first+1+f.second%(len(c.VMs)-1))%len(c.VMs)]
	t := c.Targets[f.second%len(c.Targets)]
	switch f.kind {
	case FaultSilentTarget:
		c.Note(cluster.ConnsSilenced, vm.Host.Name, t.Name(), "")
		c.Network.Silence(vm.Host, t.Host)
	case FaultSilentPeer:
		c.Note(cluster.ConnsSilenced, vm.Host.Name, other.Host.Name, "")
		c.Network.Silence(vm.Host, other.Host)
	case FaultSilentCaller:
		host := c.CallerHosts()[f.second%len(c.CallerHosts())]
		c.Note(cluster.ConnsSilenced, vm.Host.Name, host.Name, "")
		c.Network.Silence(vm.Host, host)
	case FaultSilentStore:
		c.Note(cluster.ConnsSilenced, vm.Host.Name, storeName, "")
		c.Network.Silence(vm.Host, c.PlatformHost())
	case FaultCutTarget:
		c.Note(cluster.ConnsCut, vm.Host.Name, t.Name(), "")
		c.Network.Cut(vm.Host, t.Host)
	case FaultCutPeer:
		c.Note(cluster.ConnsCut, vm.Host.Name, other.Host.Name, "")
		c.Network.Cut(vm.Host, other.Host)
	case FaultPartition, FaultPartitionHalf:
		j.partition(f, vm, other)
	}
	j.count(f.kind, nil)
}

func (j *injector) partition(f plannedFault, a, b *cluster.VM) {
	c := j.cluster
	c.Note(cluster.WayHeld, a.Host.Name, b.Host.Name, string(f.kind))
	c.Network.Hold(a.Host, b.Host)
	if f.kind == FaultPartition {
		c.Network.Hold(b.Host, a.Host)
	}
	time.Sleep(f.lasts)
	c.Network.Release(a.Host, b.Host)
	c.Network.Release(b.Host, a.Host)
	c.Note(cluster.WayReleased, a.Host.Name, b.Host.Name, string(f.kind))
}

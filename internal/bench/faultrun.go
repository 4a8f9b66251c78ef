package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/edge"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/standin/network"
	"masticturn/internal/standin/target"
	"masticturn/platform/storestandin"
)

// Bounds on what is broken at once, so that a deployment of ten VMs is left
// with enough of them, and strengths of the faults.
const (
	maxBrokenVMs     = 3
	maxBrokenTargets = 20
	targetsAtOnce    = 8
	targetStep       = 7    // between those, so that they are of several services
	faultyShare      = 0.3  // of the requests of a faulty target
	lossShare        = 0.4  // of the writes of a platform that loses them
	maxCutBytes      = 4096 // after which a connection is cut
	slowStore        = 400 * time.Millisecond
	drainTime        = 18 * time.Second // look-up's age, a caller's patience, and that of the VM with a silent caller
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

// drainWithin stops a VM as planned, for which the requests of this scenario
// leave enough time.
func drainWithin(ctx context.Context, vm *cluster.VM) error {
	ctx, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	return vm.Drain(ctx)
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
		err = vm.Kill()
		time.Sleep(f.lasts)
		err = trace.NewAggregate(err, vm.Start(ctx))
	case FaultVMDrain:
		err = drainWithin(ctx, vm)
		time.Sleep(f.lasts)
		err = trace.NewAggregate(err, vm.Start(ctx))
	case FaultVMIsolated:
		vm.Isolate()
		time.Sleep(f.lasts)
		vm.Rejoin()
	}
	j.count(f.kind, err)
}

// causeAtTarget breaks one target, or a number of them when only some of
// their requests are hit.
func (j *injector) causeAtTarget(f plannedFault) {
	switch f.kind {
	case FaultTargetDeath, FaultTargetLeaves:
		j.causeAtOneTarget(f, f.first)
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	for i := range targetsAtOnce {
		group.Go(func() { j.causeAtOneTarget(f, f.first+i*targetStep) })
	}
}

func (j *injector) causeAtOneTarget(f plannedFault, index int) {
	var names []string
	for _, t := range j.cluster.Targets {
		names = append(names, t.Name())
	}
	name, ok := j.take(names, index, maxBrokenTargets)
	if !ok {
		return
	}
	defer j.giveBack(name)
	t := j.cluster.Targets[index%len(j.cluster.Targets)]
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
		c.Platform.SetMode(storestandin.Silent)
	case FaultStoreLoses:
		c.Store.SetHook(j.loseWrites(f))
	case FaultStoreSlow:
		c.Platform.SetLatency(slowStore)
	case FaultStoreStale:
		c.Store.Freeze()
	}
	time.Sleep(f.lasts)
	c.Store.SetOutage(false)
	c.Platform.SetMode(storestandin.Normal)
	c.Store.SetHook(nil)
	c.Store.ReleaseDelayed()
	c.Platform.SetLatency(0)
	c.Store.Unfreeze()
	c.Note(cluster.StoreUp, "", "", string(f.kind))
	j.count(f.kind, nil)
}

// loseWrites makes some writes lose their request or their answer, or take
// effect late.
func (j *injector) loseWrites(f plannedFault) platformtest.Hook {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(j.seed, uint64(f.first)))
	lost := []platformtest.Fault{platformtest.FaultLostRequest, platformtest.FaultLostResponse, platformtest.FaultDelayedEffect}
	return func(_ context.Context, c platformtest.Call) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if !c.Op.IsWrite() || random.Float64() > lossShare {
			return platformtest.FaultNone
		}
		return lost[random.IntN(len(lost))]
	}
}

// causeBetween breaks the ways between a VM and others.
func (j *injector) causeBetween(f plannedFault) {
	c := j.cluster
	vm := c.VMs[f.first%len(c.VMs)]
	switch f.kind {
	case FaultSilentTarget:
		j.atEach(cluster.ConnsSilenced, vm, j.targetHosts(f.second))
	case FaultSilentPeer:
		j.atEach(cluster.ConnsSilenced, vm, j.peerHosts(vm))
	case FaultSilentCaller:
		j.atEach(cluster.ConnsSilenced, vm, c.CallerHosts())
	case FaultSilentStore:
		j.atEach(cluster.ConnsSilenced, vm, []network.Host{c.PlatformHost()})
	case FaultCutTarget:
		j.atEach(cluster.ConnsCut, vm, j.targetHosts(f.second))
	case FaultCutPeer:
		j.atEach(cluster.ConnsCut, vm, j.peerHosts(vm))
	case FaultPartition, FaultPartitionHalf:
		other := c.VMs[(f.first+1+f.second%(len(c.VMs)-1))%len(c.VMs)]
		j.partition(f, vm, other)
	}
	j.count(f.kind, nil)
}

// targetHosts returns the targets of one service.
func (j *injector) targetHosts(index int) []network.Host {
	services := j.cluster.Document.Services
	var hosts []network.Host
	for _, t := range j.cluster.Services[services[index%len(services)].Name] {
		hosts = append(hosts, t.Host)
	}
	return hosts
}

// peerHosts returns the other VMs.
func (j *injector) peerHosts(vm *cluster.VM) []network.Host {
	var hosts []network.Host
	for _, other := range j.cluster.VMs {
		if other != vm {
			hosts = append(hosts, other.Host)
		}
	}
	return hosts
}

// atEach silences or cuts the open connections of a VM with some hosts.
func (j *injector) atEach(what cluster.What, vm *cluster.VM, hosts []network.Host) {
	for _, host := range hosts {
		j.cluster.Note(what, vm.Host.Name, host.Name, "")
		if what == cluster.ConnsSilenced {
			j.cluster.Network.Silence(vm.Host, host)
		} else {
			j.cluster.Network.Cut(vm.Host, host)
		}
	}
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

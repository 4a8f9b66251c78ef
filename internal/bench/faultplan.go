package bench

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault that the scenario causes.
type FaultKind string

// The kinds of faults.
const (
	FaultVMDeath       FaultKind = "vm-death"          // a VM ends at once, and starts again
	FaultVMIsolated    FaultKind = "vm-isolated"       // a VM hears and says nothing for a while, as if paused
	FaultVMDrain       FaultKind = "vm-drain"          // a VM stops as planned, and starts again
	FaultTargetDeath   FaultKind = "target-death"      // a target ends at once, and starts again cold
	FaultTargetFaulty  FaultKind = "target-faulty"     // some answers of a target are cut, late, crossed and so on
	FaultTargetCuts    FaultKind = "target-cuts"       // a target's connections are cut after some bytes
	FaultTargetLeaves  FaultKind = "target-leaves"     // a target drains, and comes back
	FaultTargetLies    FaultKind = "target-lies"       // a target's health and load are lies
	FaultSilentTarget  FaultKind = "silent-target"     // open connections of a VM to a target go silent for good
	FaultSilentPeer    FaultKind = "silent-peer"       // those between two VMs
	FaultSilentCaller  FaultKind = "silent-caller"     // those of a caller to a VM
	FaultSilentStore   FaultKind = "silent-store"      // those of a VM to the platform
	FaultCutTarget     FaultKind = "cut-target"        // open connections of a VM to a target are reset
	FaultCutPeer       FaultKind = "cut-peer"          // those between two VMs
	FaultStoreRefuses  FaultKind = "store-refuses"     // the platform answers 'not done'
	FaultStoreSilent   FaultKind = "store-silent"      // the platform never answers
	FaultStoreLoses    FaultKind = "store-loses"       // the platform loses requests and answers of writes
	FaultStoreSlow     FaultKind = "store-slow"        // the platform is slow
	FaultStoreStale    FaultKind = "store-stale"       // the platform's reads are stale
	FaultPartition     FaultKind = "partition"         // two VMs hear nothing from each other
	FaultPartitionHalf FaultKind = "partition-one-way" // one VM hears nothing from another
)

// faultKinds lists all kinds, for choosing one by chance.
var faultKinds = [...]FaultKind{
	FaultVMDeath, FaultVMIsolated, FaultVMDrain,
	FaultTargetDeath, FaultTargetFaulty, FaultTargetCuts, FaultTargetLeaves, FaultTargetLies,
	FaultSilentTarget, FaultSilentPeer, FaultSilentCaller, FaultSilentStore,
	FaultCutTarget, FaultCutPeer,
	FaultStoreRefuses, FaultStoreSilent, FaultStoreLoses, FaultStoreSlow, FaultStoreStale,
	FaultPartition, FaultPartitionHalf,
}

// plannedFault is one fault of a plan. The numbers choose VMs and targets.
type plannedFault struct {
	at     time.Duration // since the load began
	lasts  time.Duration
	kind   FaultKind
	first  int
	second int
}

// Pace of the plan.
const (
	firstFault  = time.Second
	faultEvery  = 700 * time.Millisecond
	minLasting  = 500 * time.Millisecond
	maxLasting  = 3 * time.Second
	pairChance  = 0.5
	faultMargin = 4 * time.Second // before the load's end, so that all is healed then
)

// FaultKinds returns all kinds of faults.
func FaultKinds() []FaultKind { return slices.Clone(faultKinds[:]) }

// planFaults draws the faults of a load: single ones and pairs. Each kind
// comes once before any comes again, in an order of the seed's own.
func planFaults(seed uint64, load time.Duration, kinds []FaultKind) []plannedFault {
	random := rand.New(rand.NewPCG(seed, seed))
	var plan []plannedFault
	var left []FaultKind
	draw := func(at time.Duration) {
		if len(left) == 0 {
			left = append(left, kinds...)
			random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
		}
		plan = append(plan, plannedFault{
			at:     at,
			lasts:  minLasting + time.Duration(random.Int64N(int64(maxLasting-minLasting))),
			kind:   left[0],
			first:  random.IntN(1 << 16),
			second: random.IntN(1 << 16),
		})
		left = left[1:]
	}
	for at := firstFault; at < load-faultMargin; at += faultEvery {
		draw(at)
		if random.Float64() < pairChance {
			draw(at)
		}
	}
	return plan
}

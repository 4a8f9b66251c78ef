package capacity

import (
	"time"

	"masticturn/internal/steering"
)

const (
	roleGrants      = "grants"
	mechanismBroker = "one broker for each service and region; permits travel on peer connections, coalesced"
	siteSlots       = 4
)

// grantSlopes measures the role grants: the cost of a broker's decisions and of its pool.
func grantSlopes() []Slope {
	sizes := []int{14, 100, DesignSites, 1000}
	base := Slope{Role: roleGrants, SizeOf: "targets of one service in one region", Mechanism: mechanismBroker, DesignSize: DesignSites}
	return []Slope{
		measureSlope(withQuantity(base, "time of one decision with its release, ns"), sizes, decisionTime),
		measureSlope(withQuantity(base, "heap of a broker's pool, bytes"), sizes, func(n int) float64 {
			return heapBytes(func() *steering.Pool { return newPool(n) })
		}),
	}
}

// newPool returns a pool of n targets with all slots available.
func newPool(n int) *steering.Pool {
	cfg := steering.PoolConfig{
		Region:      regionName(0),
		Classes:     []steering.ClassSpec{{Name: "read", Weight: 1, MaxWait: time.Second}},
		ServiceTime: 20 * time.Millisecond,
		Policy:      steering.PolicyBroker,
	}
	for i := range n {
		cfg.Targets = append(cfg.Targets, steering.TargetSpec{
			Name: siteName(i), Zone: zoneName(i % DesignZones), Region: regionName(0), Slots: siteSlots,
		})
	}
	p := steering.NewPool(cfg, poolEpoch)
	p.EachTarget(func(t *steering.Target) { p.SetLimit(t, siteSlots) })
	return p
}

var poolEpoch = time.Unix(1_000_000, 0)

// decisionTime returns the time in nanoseconds of one decision and one release, with
// four fifths of the slots in use.
func decisionTime(n int) float64 {
	p, now := newPool(n), poolEpoch
	r := &steering.Request{Class: "read", Zone: zoneName(1), CallerRegion: regionName(0), Deadline: now.Add(time.Hour)}
	var held []*steering.Target
	acquire := func() {
		p.Arrive(r, now)
		held = append(held, p.TakeDecisions()[0].Target)
	}
	for range n * siteSlots * 4 / 5 {
		acquire()
	}
	return timePerCall(minMeasureTime, func(i int) {
		now = now.Add(time.Microsecond)
		k := i % len(held)
		t := held[k]
		held[k] = held[len(held)-1]
		held = held[:len(held)-1]
		p.Release(t, 20*time.Millisecond, now)
		acquire()
	})
}

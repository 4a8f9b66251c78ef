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

// grantSlopes measures the role grants: what one decision of a broker costs.
func grantSlopes() []Slope {
	sizes := []int{14, 100, DesignSites, 1000}
	base := Slope{Role: roleGrants, Over: "targets of one service in one region", Mechanism: mechanismBroker, DesignAt: DesignSites}
	return []Slope{
		slopeOf(of(base, "time of one decision with its release, ns"), sizes, choiceTime),
		slopeOf(of(base, "heap of a broker's pool, bytes"), sizes, func(n int) float64 {
			return heapOf(func() *steering.Pool { return poolOf(n) })
		}),
	}
}

// poolOf returns a pool of n targets with all their slots usable.
func poolOf(n int) *steering.Pool {
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

// choiceTime measures a decision and a release at four fifths of the slots.
func choiceTime(n int) float64 {
	p, now := poolOf(n), poolEpoch
	r := &steering.Request{Class: "read", Zone: zoneName(1), CallerRegion: regionName(0), Deadline: now.Add(time.Hour)}
	var held []*steering.Target
	take := func() {
		p.Arrive(r, now)
		held = append(held, p.TakeDecisions()[0].Target)
	}
	for range n * siteSlots * 4 / 5 {
		take()
	}
	return timePerCall(measureTime, func(i int) {
		now = now.Add(time.Microsecond)
		k := i % len(held)
		t := held[k]
		held[k] = held[len(held)-1]
		held = held[:len(held)-1]
		p.Release(t, 20*time.Millisecond, now)
		take()
	})
}

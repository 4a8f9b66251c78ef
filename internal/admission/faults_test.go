package admission

import (
	"testing"
	"time"

	"masticturn/internal/steering"
)

// capBroken returns by how much shifts exceed the cap in the worst window of
// any alignment, by the callers' own counts.
func capBroken(results []served, from string, fraction float64, window, total time.Duration) int {
	worst := 0
	for start := window; start+window <= total; start += 50 * time.Millisecond {
		before, shifted := 0, 0
		for _, s := range results {
			if s.from != from {
				continue
			}
			if s.at >= start-window && s.at < start {
				before++
			}
			if at := s.at + s.waited; s.shifted && at >= start && at < start+window {
				shifted++
			}
		}
		worst = max(worst, shifted-int(fraction*float64(before)))
	}
	return worst
}

func share(results []served, from, class string, since, until time.Duration) float64 {
	n, ok := 0, 0
	for _, s := range results {
		if s.from != from || s.class != class || s.at < since || s.at >= until {
			continue
		}
		n++
		if s.answered {
			ok++
		}
	}
	return float64(ok) / float64(max(n, 1))
}

func shiftedBetween(results []served, since, until time.Duration) int {
	n := 0
	for _, s := range results {
		if s.shifted && s.at >= since && s.at < until {
			n++
		}
	}
	return n
}

const second = time.Second

// bothRegions offers both classes in both regions, as parts of a region's
// capacity of slots·1/20 ms.
func bothRegions(slots int, east, west float64) []load {
	const service = 20 * time.Millisecond
	capacity := float64(slots) / service.Seconds()
	return []load{
		{"east", "read", constant(0.6 * east * capacity), service},
		{"east", "archive", constant(0.4 * east * capacity), service},
		{"west", "read", constant(0.6 * west * capacity), service},
		{"west", "archive", constant(0.4 * west * capacity), service},
	}
}

func TestRegionLossShiftsWithinCapAndHeadroom(t *testing.T) {
	doc := testDocument("broker", 6)
	runCluster(t, doc, 3, func(t *testing.T, c *cluster) {
		const total = 12 * second
		go c.keepMeasuring(200*time.Millisecond, total)
		go func() {
			time.Sleep(3 * second)
			c.fail("east", true)
			time.Sleep(5 * second)
			c.fail("east", false)
		}()
		results := c.offer(total, 3, bothRegions(12, 0.5, 0.3)...)
		if n := capBroken(results, "east", 0.5, second, total); n > 0 {
			t.Errorf("the cap was exceeded by %d requests", n)
		}
		if n := c.overloads(); n > 0 {
			t.Errorf("%d requests came to a full target", n)
		}
		if n := shiftedBetween(results, 4*second, 8*second); n < 300 {
			t.Errorf("only %d requests were shifted while the region was lost", n)
		}
		if got := share(results, "west", "read", 0, total); got < 0.995 {
			t.Errorf("the receiving region answered %.3f of its first class", got)
		}
		if got := share(results, "east", "read", 10*second, total); got < 0.995 {
			t.Errorf("after the return %.3f of the first class were answered", got)
		}
		t.Logf("east read answered while lost %.2f, shifted %d", share(results, "east", "read", 5*second, 8*second),
			shiftedBetween(results, 3*second, 8*second))
	})
}

func TestPartitionEndsShiftsWithTheCredits(t *testing.T) {
	runCluster(t, testDocument("broker", 6), 2, func(t *testing.T, c *cluster) {
		const total = 8 * second
		go c.keepMeasuring(200*time.Millisecond, total)
		go func() {
			time.Sleep(4 * second)
			for _, a := range c.names("east") {
				for _, b := range c.names("west") {
					c.hub.Partition(a, b)
				}
			}
		}()
		results := c.offer(total, 4, bothRegions(12, 1.3, 0.2)...)
		if n := shiftedBetween(results, 2*second, 4*second); n == 0 {
			t.Error("nothing was shifted before the partition")
		}
		if n := shiftedBetween(results, 4*second+creditTTL+500*time.Millisecond, total); n != 0 {
			t.Errorf("%d requests were shifted without a credit", n)
		}
		if n := c.overloads(); n > 0 {
			t.Errorf("%d requests came to a full target", n)
		}
		if got := share(results, "east", "read", 0, total); got < 0.99 {
			t.Errorf("the first class was answered %.3f", got)
		}
	})
}

func TestBrokerCrashUnderLoad(t *testing.T) {
	runCluster(t, testDocument("broker", 6), 3, func(t *testing.T, c *cluster) {
		const total = 8 * second
		go c.keepMeasuring(200*time.Millisecond, total)
		go func() {
			time.Sleep(3 * second)
			c.crash(brokerOf(c.members, scope{"plan", "east"}), 400*time.Millisecond)
		}()
		results := c.offer(total, 5, bothRegions(12, 0.6, 0.6)...)
		if n := c.overloads(); n > 0 {
			t.Errorf("%d requests came to a full target", n)
		}
		if got := share(results, "east", "read", 4*second, total); got < 0.999 {
			t.Errorf("after the change of brokers %.4f of the first class were answered", got)
		}
		// A third of the callers use the VM that crashes.
		if got := share(results, "east", "read", 3*second, 4*second); got < 0.85 {
			t.Errorf("during the change %.3f of the first class were answered", got)
		}
	})
}

func TestLossyNetworkLosesNoSlots(t *testing.T) {
	runCluster(t, testDocument("broker", 6), 3, func(t *testing.T, c *cluster) {
		for _, a := range c.names("east") {
			for _, b := range c.names("east") {
				c.hub.SetFault(a, b, peerFault(0.05, 0.05))
			}
		}
		const total = 5 * second
		go c.keepMeasuring(200*time.Millisecond, total)
		results := c.offer(total, 6, bothRegions(12, 0.5, 0.5)...)
		time.Sleep(5 * second)
		if n := c.overloads(); n > 0 {
			t.Errorf("%d requests came to a full target", n)
		}
		if got := share(results, "east", "read", 0, total); got < 0.99 {
			t.Errorf("%.3f of the first class were answered", got)
		}
		for name, v := range c.vms {
			if b := v.admitter.brokered.station("plan").broker; b != nil && b.core.pool.InFlight() != 0 {
				t.Errorf("%s still counts %d slots", name, b.core.pool.InFlight())
			}
		}
	})
}

// TestBrokerTailAgainstBaselines compares the first class's p99 at 95% of the
// targets' capacity.
func TestBrokerTailAgainstBaselines(t *testing.T) {
	p99 := make(map[steering.PolicyName]time.Duration)
	for _, policy := range steering.Policies() {
		runCluster(t, testDocument(string(policy), 10), 3, func(t *testing.T, c *cluster) {
			const total = 4 * second
			go c.keepMeasuring(500*time.Millisecond, total)
			results := c.offer(total, 7, bothRegions(20, 0.95, 0.95)...)
			p99[policy] = quantile(results, "read", 0.99)
			if policy != steering.PolicyBroker {
				return
			}
			if got := share(results, "east", "read", 0, total); got < 0.999 {
				t.Errorf("the broker answered %.4f of the first class", got)
			}
			if n := c.overloads(); n > 0 {
				t.Errorf("%d requests came to a full target", n)
			}
		})
	}
	t.Log(p99)
	for policy, other := range p99 {
		if policy != steering.PolicyBroker && float64(p99[steering.PolicyBroker]) > 0.8*float64(other) {
			t.Errorf("p99 %v, under %s %v", p99[steering.PolicyBroker], policy, other)
		}
	}
}

package admission

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func sortFloats(f []float64) { slices.Sort(f) }

func TestBrokerGivesEverySlotOnceAcrossVMs(t *testing.T) {
	runCluster(t, testDocument("broker", 3), 3, func(t *testing.T, c *cluster) {
		const slots = 6
		var permits []Permit
		for i := range slots {
			vm := c.vms[c.names("east")[i%3]]
			p, err := vm.admitter.Acquire(t.Context(), testRequest(vm.deps, "read", time.Minute))
			if err != nil {
				t.Fatal(err)
			}
			if !c.run(p.Target().Name) {
				t.Errorf("%s was given beyond its slots", p.Target().Name)
			}
			permits = append(permits, p)
		}
		got := make(chan Permit)
		vm := c.vms["east-vm2"]
		go func() {
			p, _ := vm.admitter.Acquire(t.Context(), testRequest(vm.deps, "read", time.Minute))
			got <- p
		}()
		synctest.Wait()
		permits[0].Release(answered)
		if p := <-got; p == nil || p.Target() != permits[0].Target() {
			t.Errorf("got %v, freed was %s", p, permits[0].Target().Name)
		}
	})
}

func TestBrokerLoadKeepsTargetsWithinSlots(t *testing.T) {
	runCluster(t, testDocument("broker", 4), 3, func(t *testing.T, c *cluster) {
		go c.keepMeasuring(200*time.Millisecond, 5*time.Second)
		results := c.offer(5*time.Second, 1, load{region: "east", class: "read", rate: constant(300), service: 20 * time.Millisecond})
		if n := c.overloads(); n != 0 {
			t.Errorf("%d requests came to a full target", n)
		}
		t.Logf("%d requests, p50 %v p99 %v", len(results), quantile(results, "read", 0.5), quantile(results, "read", 0.99))
	})
}

func TestPermitIsVoidAfterAPause(t *testing.T) {
	runCluster(t, testDocument("broker", 1), 2, func(t *testing.T, c *cluster) {
		vm := c.vms["east-vm1"]
		p, err := vm.admitter.Acquire(t.Context(), testRequest(vm.deps, "read", time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		checked := p.(Checked)
		time.Sleep(2 * pauseLimit)
		if !checked.Valid() {
			t.Error("void although the process ran")
		}
		vm.stop()
		<-vm.done
		time.Sleep(2 * pauseLimit)
		for range 2 {
			if checked.Valid() {
				t.Error("valid after the process stood still")
			}
		}
		p.Release(answered)
	})
}

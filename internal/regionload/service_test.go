package regionload

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/overload"
	"masticturn/internal/peer"
	"masticturn/internal/peer/peertest"
	"masticturn/internal/placement"
	"masticturn/internal/telemetry"
)

// memberList implements membership.Source.
type memberList struct {
	view *membership.View
	subs []func(*membership.View)
}

func (m *memberList) View() *membership.View { return m.view }

func (m *memberList) Subscribe(f func(*membership.View)) func() {
	m.subs = append(m.subs, f)
	return func() {}
}

// set replaces the member list.
func (m *memberList) set(v *membership.View) {
	m.view = v
	for _, f := range m.subs {
		f(v)
	}
}

// fleet is the services of all VMs of some regions, connected by a hub with 55 ms between VMs.
type fleet struct {
	hub     *peertest.Hub
	members *memberList
	vms     map[string]*Service
	roots   map[string]string // by region
}

// startFleet starts the services of size VMs in each region.
func startFleet(t *testing.T, regions, size int) *fleet {
	t.Helper()
	f := &fleet{hub: peertest.NewHub(1), members: &memberList{view: &membership.View{}}, vms: make(map[string]*Service), roots: make(map[string]string)}
	f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Delay: 55 * time.Millisecond})
	t.Cleanup(func() { time.Sleep(time.Second) }) // messages on their way arrive
	for r := range regions {
		region := fmt.Sprintf("region-%d", r)
		var names []string
		for i := range size {
			name := fmt.Sprintf("vm-%d-%02d", r, i)
			names = append(names, name)
			f.members.view.Members = append(f.members.view.Members, membership.Member{Name: name, Region: region, State: membership.Alive})
		}
		f.roots[region] = placement.TreeRoot(names)
	}
	for _, m := range f.members.view.Members {
		network := f.hub.Network(m.Name)
		for _, other := range f.members.view.Members {
			network.SetAddress(other.Name, peertest.Address(other.Name))
		}
		s := NewService(Deps{
			Region: m.Region, Network: network, Members: f.members, RootOf: placement.TreeRoot,
			Boot: kernel.NewMonotonicBootClock(), Logger: telemetry.Discard(),
		})
		if err := s.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Stop(context.Background()) })
		f.vms[m.Name] = s
	}
	return f
}

// loadsOf returns the loads of n services of a region.
func loadsOf(n int, demand float64) map[string]overload.RegionLoad {
	loads := make(map[string]overload.RegionLoad)
	for i := range n {
		loads[fmt.Sprintf("service-%d", i)] = overload.RegionLoad{
			Capacity: 123.456, Demand: map[int]float64{0: demand, 1: 20.5, 2: 30.25}, Busy: 99,
		}
	}
	return loads
}

// run lets time pass in which the roots publish the loads of their regions, but for those in silent.
func (f *fleet) run(length time.Duration, services int, silent ...string) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(placement.ReportInterval) {
		for region, root := range f.roots {
			if len(silent) == 0 || silent[0] != region {
				f.vms[root].Publish(loadsOf(services, 40))
			}
		}
	}
	synctest.Wait()
}

// Guards against loads that do not reach the roots of the other regions, or reach other VMs.
func TestRootsLearnTheLoadsOfOtherRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 4)
		f.run(time.Second, 1)
		for name, s := range f.vms {
			others := s.Others("service-0")
			want := 0
			if f.roots[s.deps.Region] == name {
				want = 2
			}
			if len(others) != want || others[s.deps.Region].Capacity != 0 {
				t.Errorf("%s knows %v, want %d other regions", name, others, want)
			}
			for _, l := range others {
				if l.Capacity != 123.456 || l.Demand[0] != 40 || l.Demand[2] != 30.25 || l.Busy != 99 {
					t.Errorf("load %+v", l)
				}
			}
			if len(s.Others("unknown")) != 0 {
				t.Error("an unknown service has loads")
			}
		}
	})
}

// Guards against believing the load of a region that is cut off, or whose root publishes nothing, as in an
// older build.
func TestLoadOfASilentRegionExpires(t *testing.T) {
	for name, cut := range map[string]bool{"cut off": true, "publishes nothing": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 3, 2)
				f.run(time.Second, 1)
				silent := ""
				if cut {
					f.hub.SetFault(f.roots["region-2"], peertest.Any, peertest.Fault{Partition: true})
				} else {
					silent = "region-2"
				}
				f.run(time.Second, 1, silent)
				s := f.vms[f.roots["region-0"]]
				if len(s.Others("service-0")) != 2 {
					t.Errorf("after a second known: %v, want both regions", s.Others("service-0"))
				}
				f.run(publishedTTL+loadTTL, 1, silent)
				if others := s.Others("service-0"); len(others) != 1 || others["region-1"].Capacity == 0 {
					t.Errorf("known: %v, want region-1 alone", others)
				}
			})
		})
	}
}

// Guards against a load that becomes unknown because single messages are lost.
func TestLostMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 2)
		f.run(time.Second, 1)
		f.hub.SetFault(peertest.Any, peertest.Any, peertest.Fault{Drop: 0.2, Delay: 55 * time.Millisecond, Jitter: 100 * time.Millisecond, Duplicate: 0.1})
		for range 40 {
			f.run(SendInterval, 1)
			if others := f.vms[f.roots["region-0"]].Others("service-0"); len(others) != 2 {
				t.Errorf("known: %v, want both regions", others)
			}
		}
	})
}

// Guards against a region whose load is unknown for long after the loss of its root, or of the root that
// receives loads.
func TestLossOfARoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3)
		f.run(time.Second, 1)
		for _, region := range []string{"region-0", "region-1"} {
			lost := f.roots[region]
			f.hub.Remove(lost)
			view := &membership.View{Version: f.members.view.Version + 1}
			var names []string
			for _, m := range f.members.view.Members {
				if m.Name != lost {
					view.Members = append(view.Members, m)
					if m.Region == region {
						names = append(names, m.Name)
					}
				}
			}
			f.roots[region] = placement.TreeRoot(names)
			f.members.set(view)
		}
		f.run(SendInterval+100*time.Millisecond, 1)
		for _, region := range []string{"region-0", "region-2"} {
			if others := f.vms[f.roots[region]].Others("service-0"); len(others) != 2 {
				t.Errorf("the root of %s knows %v, want both other regions", region, others)
			}
		}
	})
}

// Guards against believing a VM about a region in which it is not by the member list, also if it was
// when it sent the load.
func TestSenderMustBeInTheRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 2)
		s := f.vms[f.roots["region-0"]]
		for _, tt := range []struct {
			from, region string
			known        bool
		}{
			{"vm-1-00", "region-2", false},
			{"vm-1-00", "region-0", false},
			{"vm-0-00", "region-0", false},
			{"stranger", "region-1", false},
			{"vm-1-00", "region-1", true},
		} {
			payload, err := peer.Encode(&message{Region: tt.region, SentMS: 5, Services: map[string]wireLoad{"svc": {Capacity: 1000}}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.handle(t.Context(), tt.from, payload); (err == nil) != tt.known {
				t.Errorf("%s on %s: %v", tt.from, tt.region, err)
			}
		}
		if others := s.Others("svc"); len(others) != 1 || others["region-1"].Capacity != 1 {
			t.Errorf("known: %v, want region-1 alone", others)
		}
		f.members.set(&membership.View{Version: 2, Members: []membership.Member{{Name: "vm-1-00", Region: "region-2"}}})
		if others := s.Others("svc"); len(others) != 0 {
			t.Errorf("known: %v after the VM has changed its region", others)
		}
	})
}

// Guards against messages that take much of a VM's 14 KB/s for control traffic. Only the roots send them.
func TestBytesPerSecond(t *testing.T) {
	const (
		budget  = 14_000 // of a VM's control traffic, bytes/s
		size    = 6      // VMs in a region
		seconds = 10
	)
	for _, tt := range []struct{ regions, services, most int }{
		{3, 1, budget / 10}, {3, 6, budget / 5}, {9, 1, budget / 2}, {9, 6, budget / 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, tt.regions, size)
			f.run(time.Second, tt.services)
			before := f.hub.Stats()
			f.run(seconds*time.Second, tt.services)
			after := f.hub.Stats()
			bytes := after.Bytes - before.Bytes + messageOverheadBytes*(after.Messages-before.Messages)
			perRoot := bytes / tt.regions / seconds
			t.Logf("%d regions, %d services: each root sends %d bytes/s, %d per VM of its region", tt.regions, tt.services, perRoot, perRoot/size)
			if perRoot > tt.most {
				t.Errorf("%d regions, %d services: each root sends %d bytes/s, want %d at most", tt.regions, tt.services, perRoot, tt.most)
			}
			if others := f.vms[f.roots["region-0"]].Others("service-0"); len(others) != tt.regions-1 {
				t.Errorf("%d regions known", len(others))
			}
		})
	}
}

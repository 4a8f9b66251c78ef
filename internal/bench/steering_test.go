package bench

import (
	"fmt"
	"testing"
	"time"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/target"
)

// checkOf returns a check of one service with one target of 2 slots in each of
// two regions, and a cap of a tenth from a to b in windows of a second.
func checkOf(shifted, concurrent int) *steeringCheck {
	began := time.Unix(1000, 0)
	doc := &config.Document{
		Regions:   []config.Region{{Name: "a", Zones: []string{"a1"}}, {Name: "b", Zones: []string{"b1"}}},
		Classes:   []config.Class{{Name: "read"}},
		Services:  []config.Service{{Name: "s"}},
		ShiftCaps: []config.ShiftCap{{From: "a", To: "b", MaxFraction: 0.1, WindowMS: 1000}},
	}
	var tries []caller.Note
	var records []target.Record
	for i := range 1000 {
		at := began.Add(time.Duration(i) * 10 * time.Millisecond)
		id := fmt.Sprintf("caller-a1-%d-0", i)
		tries = append(tries, caller.Note{RequestID: id, Class: "read", Started: at})
		record := target.Record{Target: "ta", RequestID: id, Arrived: at, Finished: at.Add(time.Duration(concurrent) * 10 * time.Millisecond)}
		if i >= 200 && i%100 < shifted {
			record.Target = "tb"
			record.Finished = at
		}
		records = append(records, record)
	}
	c := &cluster.Cluster{Document: doc, Services: make(map[string][]*cluster.Target)}
	for name, region := range map[string]string{"ta": "a", "tb": "b"} {
		t, err := target.Start(target.Options{Name: name, Slots: 2})
		if err != nil {
			panic(err)
		}
		t.Kill()
		ct := &cluster.Target{Target: t, Service: "s", Region: region, Slots: 2}
		c.Targets = append(c.Targets, ct)
		c.Services["s"] = append(c.Services["s"], ct)
	}
	sc := steeringScenario{event: 10 * time.Second}
	return newSteeringCheck(&steeringLoad{cluster: c, sc: sc, began: began}, tries, records)
}

func TestSteeringCheckSeesBrokenCaps(t *testing.T) {
	if n := checkOf(10, 1).capExceeded(); n != 0 {
		t.Errorf("%d beyond a cap that was kept", n)
	}
	if n := checkOf(15, 1).capExceeded(); n < 35 {
		t.Errorf("%d beyond the cap, want about 5 in each of 8 windows", n)
	}
}

func TestSteeringCheckSeesOverload(t *testing.T) {
	if region, full := checkOf(0, 2).overloaded(); region != 0 || full != 0 {
		t.Errorf("%d and %d overloads with two at a time on two slots", region, full)
	}
	region, full := checkOf(0, 3).overloaded()
	if region < 900 || full < 900 {
		t.Errorf("%d and %d overloads with three at a time on two slots", region, full)
	}
}

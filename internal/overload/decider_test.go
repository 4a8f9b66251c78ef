package overload

import (
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// interval is the time between two decisions.
const interval = 125 * time.Millisecond

func demandOf(slots map[int]float64) *Demand {
	d := &Demand{Priorities: make(map[int]uint32)}
	for priority, s := range slots {
		d.Priorities[priority] = uint32(s * milliSlots)
	}
	return d
}

// decide repeats a decision on the same observation for a time and returns the last limits.
func decide(d *Decider, o Observation, from time.Time, length time.Duration) *Limits {
	var l *Limits
	for at := time.Duration(0); at <= length; at += interval {
		l, _ = d.Decide(o, nil, from.Add(at))
	}
	return l
}

func TestNoLimitsWhileThereIsRoom(t *testing.T) {
	o := Observation{Demand: demandOf(map[int]float64{0: 10, 2: 20}), Capacity: 48, Busy: 30}
	if l := decide(NewDecider("a"), o, start, time.Second); l != nil {
		t.Errorf("limits %+v with room for all", l)
	}
	if l := decide(NewDecider("a"), Observation{Demand: o.Demand}, start, time.Second); l != nil {
		t.Errorf("limits %+v though nothing is known of the targets", l)
	}
}

// Guards against limits being sent in turns where the demand is close to the capacity.
func TestLimitsStartCloseToTheCapacity(t *testing.T) {
	d := NewDecider("a")
	o := Observation{Demand: demandOf(map[int]float64{0: 10, 2: 33}), Capacity: 48, Running: 48}
	if l := decide(d, o, start, time.Second); l == nil || len(l.Admit) > 0 {
		t.Errorf("limits %+v, want empty ones", l)
	}
	o.Demand = demandOf(map[int]float64{0: 10, 2: 28})
	if l := decide(d, o, start.Add(time.Second), time.Second); l == nil {
		t.Error("limits end as soon as the demand falls")
	}
	o.Demand = demandOf(map[int]float64{0: 10, 2: 10})
	if l := decide(d, o, start.Add(2*time.Second), time.Second); l != nil {
		t.Errorf("limits %+v with room again", l)
	}
}

func TestLowPriorityGivesWay(t *testing.T) {
	o := Observation{Demand: demandOf(map[int]float64{0: 12, 2: 60}), Capacity: 48, Busy: 48, Running: 48}
	l := decide(NewDecider("a"), o, start, 5*time.Second)
	if _, limited := l.Admit[0]; limited || l.Admit[2] < 0.5 || l.Admit[2] > 0.6 {
		t.Errorf("limits %+v, want 0.5 to 0.6 of priority 2 only", l)
	}
}

// Guards against a high priority that comes in bursts finding its room taken each time.
func TestReserveOutlastsBurst(t *testing.T) {
	d := NewDecider("a")
	both := Observation{Demand: demandOf(map[int]float64{0: 20, 2: 60}), Capacity: 48, Busy: 48, Running: 48}
	low := Observation{Demand: demandOf(map[int]float64{0: 0.1, 2: 60}), Capacity: 48, Busy: 48, Running: 48}
	during := decide(d, both, start, 10*time.Second).Admit[2]
	soon := decide(d, low, start.Add(10*time.Second), time.Second).Admit[2]
	later := decide(d, low, start.Add(11*time.Second), 20*time.Second).Admit[2]
	if !(during < soon && soon < 0.65 && later > 0.75) {
		t.Errorf("admitted of the low priority: %.2f during the burst, %.2f after 1 s, %.2f after 20 s", during, soon, later)
	}
}

// Guards against queues that grow since the capacity is less than estimated.
func TestWaitingRequestsScaleCapacity(t *testing.T) {
	d := NewDecider("a")
	o := Observation{Demand: demandOf(map[int]float64{2: 60}), Capacity: 48, Busy: 48, Running: 48, Queued: 400}
	if f := decide(d, o, start, 5*time.Second).Admit[2]; math.Abs(f-minFactor*48/60) > 0.01 {
		t.Errorf("fraction %.3f, want 0.6 of the capacity at least", f)
	}
	o.Queued = 0
	if f := decide(d, o, start.Add(5*time.Second), 5*time.Second).Admit[2]; math.Abs(f-48.0/60) > 0.01 {
		t.Errorf("fraction %.3f, want the whole capacity once nothing waits", f)
	}
}

// Guards against requests for a few busy objects limiting a service that has room.
func TestWaitingForCertainTargetsDoesNotScaleCapacity(t *testing.T) {
	o := Observation{Demand: demandOf(map[int]float64{2: 42}), Capacity: 48, Busy: 20, Queued: 20}
	if l := decide(NewDecider("a"), o, start, 5*time.Second); l != nil && len(l.Admit) > 0 {
		t.Errorf("limits %+v though slots are free", l)
	}
}

func TestOnlyCustomersAboveTheirShareAreNamed(t *testing.T) {
	o := Observation{Demand: demandOf(map[int]float64{0: 66.6}), Capacity: 48, Busy: 48, Running: 48}
	o.Demand.Customers = map[int]map[uint32]uint32{0: {1: 45_000, 2: 5_400, 3: 5_400, 4: 5_400, 5: 5_400}}
	l := decide(NewDecider("a"), o, start, time.Second)
	if len(l.Customers[0]) != 1 || math.Abs(l.Customers[0][1]-26.4/45) > 0.01 {
		t.Errorf("limits %+v, want 0.58 of customer 1", l)
	}
}

// Guards against refusing what other regions have room for.
func TestOtherRegionsRoomCounts(t *testing.T) {
	d := NewDecider("a")
	o := Observation{Demand: demandOf(map[int]float64{0: 60}), Capacity: 48, Busy: 48, Running: 48}
	l, load := d.Decide(o, map[string]RegionLoad{"b": {Capacity: 48, Demand: map[int]float64{0: 20}}}, start)
	if l == nil || len(l.Admit) > 0 {
		t.Errorf("limits %+v, want empty ones", l)
	}
	if load.Capacity != 48 || load.Demand[0] != 60 || load.Busy != 48 {
		t.Errorf("load %+v", load)
	}
}

// Guards against observations of faulty VMs, and against orders of fractions that the plan rules out.
func TestDecisionsStayInRange(t *testing.T) {
	properties := gopter.NewProperties(testParameters())
	properties.Property("fractions are from 0 to 1 and fall with the priority", prop.ForAll(func(v []float64, waiting uint32) bool {
		d := NewDecider("a")
		now := start
		for i := 0; i+5 <= len(v); i += 5 {
			o := Observation{
				Demand: demandOf(map[int]float64{0: max(v[i], 0), 1: max(v[i+1], 0), 4: max(v[i+2], 0)}), Capacity: v[i+3], Busy: v[i+4],
				Queued: v[i+4],
			}
			o.Demand.Waiting = waiting
			l, load := d.Decide(o, nil, now)
			now = now.Add(time.Duration(v[i] * float64(10*time.Millisecond))) // also backward
			if d.factor < minFactor-1e-9 || d.factor > 1+1e-9 || load.Capacity < 0 {
				return false
			}
			if l == nil {
				continue
			}
			last := 1.0
			for _, priority := range []int{0, 1, 4} {
				f, ok := l.Admit[priority]
				if !ok {
					f = 1
				}
				if o.Demand.Priorities[priority] == 0 {
					continue
				}
				if !(f >= 0 && f <= last+1e-9) {
					return false
				}
				last = f
			}
		}
		return true
	}, gen.SliceOfN(40, gen.Float64Range(-20, 100)), gen.UInt32()))
	properties.TestingRun(t)
}

// Guards against decisions that admit more than the capacity and the floor of a quarter.
func TestDecisionsFitTheCapacity(t *testing.T) {
	properties := gopter.NewProperties(testParameters())
	properties.Property("admitted demand", prop.ForAll(func(v []float64) bool {
		o := Observation{Demand: demandOf(map[int]float64{0: v[0], 1: v[1], 4: v[2]}), Capacity: v[3], Busy: v[3]}
		l, _ := NewDecider("a").Decide(o, nil, start)
		admitted := 0.0
		for priority, demand := range demandSlots(o.Demand, 1) {
			f := 1.0
			if l != nil {
				if limit, ok := l.Admit[priority]; ok {
					f = limit
				}
			}
			admitted += f * demand
		}
		return admitted <= (1+floorFraction)*v[3]+1e-6 || l == nil && admitted <= closeFraction*v[3]
	}, gen.SliceOfN(4, gen.Float64Range(0.1, 100))))
	properties.TestingRun(t)
}

// Guards against run times that are measured too long leaving slots free for ever, and against slots that
// stay free for another reason admitting without bound.
func TestFreeSlotsCorrectTheDemand(t *testing.T) {
	for _, tt := range []struct{ work, want float64 }{{1, 0.8}, {0.9, 0.8 / 0.9}, {0.4, 0.8 / minWork}} {
		d := NewDecider("a")
		o := Observation{Demand: demandOf(map[int]float64{2: 60}), Capacity: 48, Busy: 48}
		f := 1.0
		for at := time.Duration(0); at <= 30*time.Second; at += interval {
			o.Running = min(tt.work*f*60, 48)
			l, _ := d.Decide(o, nil, start.Add(at))
			f = 1
			if len(l.Admit) > 0 {
				f = l.Admit[2]
			}
		}
		if math.Abs(f-tt.want) > 0.01 {
			t.Errorf("requests use %.1f of the computed demand: a fraction of %.3f, want %.3f", tt.work, f, tt.want)
		}
	}
}

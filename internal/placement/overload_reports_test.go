package placement

import (
	"testing"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/overload"
)

// customersReport returns a report with demand, with that of customers if wanted.
func customersReport(customers bool) *LoadReport {
	u := newUsage()
	u.Demand = &overload.Demand{Priorities: map[int]uint32{0: 500}}
	if customers {
		u.Demand.Customers = map[int]map[uint32]uint32{0: {7: 300}}
	}
	return &LoadReport{Services: map[string]*Usage{"svc": u}, TTL: time.Second}
}

// Guards against the demand of customers, which most reports leave out, being forgotten in between, or
// outliving the customers' requests.
func TestDemandOfCustomersIsKeptAndExpires(t *testing.T) {
	root := NewAggregator()
	root.SetPosition(TreePosition{Children: []string{"child"}})
	for _, s := range []struct {
		after     time.Duration
		customers bool
		want      bool
	}{
		{0, false, false},
		{ReportInterval, true, true},
		{2 * ReportInterval, false, true},
		{ReportInterval + customersTTL - 1, false, true},
		{ReportInterval + customersTTL, false, false},
		{ReportInterval + customersTTL + 1, false, false},
	} {
		now := start.Add(s.after)
		root.Receive("child", customersReport(s.customers), now)
		total := root.merge(&LoadReport{Services: map[string]*Usage{}}, now)
		if got := total.Services["svc"].Demand.Customers[0][7] == 300; got != s.want {
			t.Errorf("after %v: customers known %t, want %t", s.after, got, s.want)
		}
	}
}

func TestDemandOfCustomersIsSentNowAndThen(t *testing.T) {
	child := NewAggregator()
	child.SetPosition(TreePosition{Parent: "root"})
	sent := 0
	for at := time.Duration(0); at < 3*time.Second; at += ReportInterval {
		r := child.Next(func() *LoadReport {
			own := customersReport(true)
			for i := range uint32(400) {
				own.Services["svc"].Demand.Customers[0][i] = 5
			}
			return own
		}, start.Add(at)).Report
		if r.Services["svc"].Demand.Priorities[0] != 500 {
			t.Error("a report without the demand by priority")
		}
		if r.Services["svc"].Demand.Customers != nil {
			sent++
		}
	}
	if sent != 5 {
		t.Errorf("the demand of customers was sent %d times in 3 s, want 5", sent)
	}
}

// Guards against reports that change their rate without need, and against a parent that sends its larger
// reports as often as its children send theirs.
func TestReportIntervalFollowsNeed(t *testing.T) {
	a := NewAggregator()
	a.SetPosition(TreePosition{Parent: "root"})
	if a.Interval() != ReportInterval || a.Gather() != GatherDelay || a.tooSoon(start) {
		t.Error("the interval differs while there is room")
	}
	a.SetShort(true)
	if a.Interval() != minReportInterval || a.Gather() >= GatherDelay {
		t.Errorf("interval %v of small reports, gathered for %v", a.Interval(), a.Gather())
	}
	a.lastSize, a.lastSent = 100_000, start
	if a.Interval() != maxUpInterval || a.Gather() != GatherDelay || !a.tooSoon(start.Add(ReportInterval/2)) {
		t.Errorf("interval %v of large reports, gathered for %v", a.Interval(), a.Gather())
	}
}

// Guards against waits at full targets counting as run times, from which demand is computed.
func TestClassRunsLeaveOutWaits(t *testing.T) {
	p := newRulesPool(t, targetLayout{perRegion: map[string]int{"ros": 1}, slots: 4}, []int{0, 2})
	req := requestOf(0, "")
	observe := func(spare, waiting int, d time.Duration) {
		sel := p.newSelection(p.sortedTargets[0], req, 0, true, start)
		sel.spare = spare
		p.recordClassRun(sel, &Result{Latency: d, Load: &edge.Load{Waiting: waiting}}, start)
	}
	want := func(least, most time.Duration) {
		t.Helper()
		if d := p.overload.runs.expect(req); d < least || d > most {
			t.Errorf("run time %v, want %v to %v", d, least, most)
		}
	}
	want(0, 0)
	observe(0, 3, 900*time.Millisecond)
	want(900*time.Millisecond, 900*time.Millisecond) // nothing better is known
	for range 20 {
		observe(0, 3, 300*time.Millisecond)
	}
	want(300*time.Millisecond, 310*time.Millisecond)
	observe(3, 0, 150*time.Millisecond)
	want(150*time.Millisecond, 150*time.Millisecond)
	for range 20 {
		observe(0, 0, 700*time.Millisecond)
		observe(3, 1, 700*time.Millisecond)
	}
	want(150*time.Millisecond, 150*time.Millisecond)
}

// Guards against requests that wait drawing targets of other regions until they meet one, whose load this
// VM does not know, and against being held where this region has no target.
func TestWaitingRequestsStayInTheirRegion(t *testing.T) {
	p := newRulesPool(t, targetLayout{perRegion: map[string]int{"ros": 1, "bb": 30}, slots: 1}, []int{0, 2})
	p.applyLimits(&overload.Limits{}, time.Hour, start)
	local := p.targets["ros-0"]
	local.ownRequests = 1
	low := requestOf(2, "")
	low.staysInRegion = true
	for range 50 {
		if sel := p.Choose(low, start); sel != nil {
			t.Fatalf("sent to %s", sel.Target().Name)
		}
	}
	if !p.servesInRegion(low, start) {
		t.Error("the target of the region does not count")
	}
	local.Leaving = true
	if p.servesInRegion(low, start) {
		t.Error("a target that leaves counts")
	}
}

// Guards against a request of the highest priority waiting at a full candidate while other targets are free.
func TestHighestPriorityLooksFurther(t *testing.T) {
	p := newRulesPool(t, targetLayout{perRegion: map[string]int{"ros": 8}, slots: 2}, []int{0, 2})
	p.applyLimits(&overload.Limits{}, time.Hour, start)
	for _, target := range p.sortedTargets[1:] {
		target.ownRequests = 4
	}
	high, low := 0, 0
	for range 50 {
		if sel := p.Choose(requestOf(0, ""), start); sel != nil {
			high++
		}
		if sel := p.Choose(requestOf(2, ""), start); sel != nil {
			low++
		}
	}
	if high < 45 || low > 25 {
		t.Errorf("of 50 requests each, %d of the high and %d of the low priority find the free target", high, low)
	}
}

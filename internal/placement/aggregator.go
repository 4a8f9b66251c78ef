package placement

import (
	"slices"
	"time"

	"masticturn/internal/rendezvous"
)

// Load reports are aggregated over a tree of the region's VMs, which all VMs derive from
// the same member list. Each VM sends its own usage and that of its subtree to its parent;
// the root sends the total down. This costs two messages a VM and interval.
const (
	// ReportInterval is the interval of reports while there is usage.
	ReportInterval = 125 * time.Millisecond
	// GatherDelay is how long a VM collects its children's reports before it forwards them.
	GatherDelay = 40 * time.Millisecond
	// treeFanout is the number of children. Each gets the total, whose size grows with the
	// region.
	treeFanout = 2
	// totalBytesPerSecond bounds what a VM sends to pass the total down; larger totals are
	// sent less often.
	totalBytesPerSecond = 12_000
	// ttlIntervals is the TTL of a report in intervals, so that two may be lost;
	// maxReportTTL bounds a received one.
	ttlIntervals = 3
	maxReportTTL = 10 * time.Second
)

// LoadReport is the usage of all services' targets, by service.
type LoadReport struct {
	Services map[string]*Usage `msgpack:"s"`
	TTL      time.Duration     `msgpack:"l"` // how long it is valid
}

// Empty reports whether there is no usage.
func (r *LoadReport) Empty() bool { return len(r.Services) == 0 }

// Approximate sizes on the wire, in bytes.
const (
	reportHeaderBytes = 64 // with framing
	entryBytes        = 6
	keyBytes          = 6
)

// size returns the approximate size on the wire, in bytes.
func (r *LoadReport) size() int {
	n := reportHeaderBytes
	for _, u := range r.Services {
		n += entryBytes * len(u.Running)
		for _, keys := range u.Objects {
			n += entryBytes + keyBytes*len(keys)
		}
	}
	return n
}

// usage returns the usage of a service, creating it if needed.
func (r *LoadReport) usage(service string) *Usage {
	u := r.Services[service]
	if u == nil {
		u = newUsage()
		r.Services[service] = u
	}
	return u
}

// TreePosition is a VM's place in the aggregation tree.
type TreePosition struct {
	Parent   string // "" at the root
	Children []string
}

// TreePositionOf returns the position of a VM among the VMs of its region, itself
// included; false if it is not among them.
func TreePositionOf(self string, vms []string) (TreePosition, bool) {
	order := rendezvous.Top("what VMs have at targets", vms, len(vms), func(name string) string { return name })
	at := slices.Index(order, self)
	if at < 0 {
		return TreePosition{}, false
	}
	var p TreePosition
	if at > 0 {
		p.Parent = order[(at-1)/treeFanout]
	}
	first := min(treeFanout*at+1, len(order))
	p.Children = order[first:min(first+treeFanout, len(order))]
	return p, true
}

// childReport is the last report of a child.
type childReport struct {
	report *LoadReport
	at     time.Time
}

// Aggregator merges load reports and decides which ones to send. It does no I/O and is
// not safe for concurrent use.
type Aggregator struct {
	position   TreePosition
	children   map[string]childReport
	newObjects map[string]*Usage // of children, not yet forwarded, by service
	next       time.Time         // when the total is due
	quiet      bool              // the last report was empty
}

// NewAggregator returns an aggregator without a position, which sends nothing.
func NewAggregator() *Aggregator {
	return &Aggregator{children: make(map[string]childReport), newObjects: make(map[string]*Usage), quiet: true}
}

// SetPosition sets the VM's position.
func (t *Aggregator) SetPosition(p TreePosition) { t.position = p }

// Receive stores a child's report. It reports whether to forward it after GatherDelay.
// Reports of VMs that are no children by this VM's view are dropped, so that no cycle
// counts usage twice.
func (t *Aggregator) Receive(from string, r *LoadReport, now time.Time) bool {
	if !slices.Contains(t.position.Children, from) {
		return false
	}
	t.children[from] = childReport{r, now}
	for service, u := range r.Services {
		if u == nil {
			delete(r.Services, service)
			continue
		}
		if t.newObjects[service] == nil {
			t.newObjects[service] = newUsage()
		}
		t.newObjects[service].addObjects(u)
	}
	return t.position.Parent != ""
}

// Outgoing is a report to send.
type Outgoing struct {
	Report *LoadReport
	To     []string // empty: nothing is sent
	Total  bool     // the report is the region's total, which applies to the sender too
}

// Next returns the next report, towards the parent or, at the root, the total for the
// children. Own is called only if a report is due.
func (t *Aggregator) Next(own func() *LoadReport, now time.Time) Outgoing {
	top := t.position.Parent == ""
	if top && (len(t.position.Children) == 0 || now.Before(t.next)) {
		return Outgoing{}
	}
	r := t.merge(own(), now)
	if r.Empty() && t.quiet {
		return Outgoing{}
	}
	t.quiet = r.Empty()
	period := ReportInterval
	if top {
		period = max(period, time.Duration(r.size()*len(t.position.Children))*time.Second/totalBytesPerSecond)
		t.next = now.Add(period)
	}
	r.TTL = ttlIntervals * period
	if top {
		return Outgoing{r, t.position.Children, true}
	}
	return Outgoing{r, []string{t.position.Parent}, false}
}

// ChildrenBelow returns the children to which a total is forwarded; false if the sender
// is not the parent.
func (t *Aggregator) ChildrenBelow(from string) ([]string, bool) {
	return t.position.Children, from != "" && from == t.position.Parent
}

// merge adds the children's reports to the own one.
func (t *Aggregator) merge(r *LoadReport, now time.Time) *LoadReport {
	for vm, h := range t.children {
		if now.Sub(h.at) > min(h.report.TTL, maxReportTTL) || !slices.Contains(t.position.Children, vm) {
			delete(t.children, vm)
			continue
		}
		for service, u := range h.report.Services {
			r.usage(service).addRunning(u)
		}
	}
	for service, u := range t.newObjects {
		r.usage(service).addObjects(u)
	}
	clear(t.newObjects)
	return r
}

package placement

import (
	"maps"
	"slices"
	"time"

	"masticturn/internal/rendezvous"
)

// Load reports are aggregated over a tree of the region's VMs, which each VM computes from
// the member list. Each VM sends the usage of its subtree to its parent, and the root sends
// the total down the tree. This takes two messages per VM and interval.
const (
	// ReportInterval is the interval of reports while there is usage.
	ReportInterval = 125 * time.Millisecond
	// GatherDelay is how long a VM collects its children's reports before it sends its own.
	GatherDelay = 40 * time.Millisecond
	// treeFanout is the maximum number of children of a VM. It is small because the VM sends
	// each of them the total, whose size grows with the region.
	treeFanout = 2
	// totalBytesPerSecond bounds the rate at which a VM sends totals to its children. Larger
	// totals are sent less often.
	totalBytesPerSecond = 12_000
	// reportTTLIntervals is the TTL of a report in intervals. With 3, two reports in a row
	// may be lost.
	reportTTLIntervals = 3
	// maxReportTTL bounds the TTL of a received report.
	maxReportTTL = 10 * time.Second
)

// LoadReport is the usage of the targets of all services.
type LoadReport struct {
	Services map[string]*Usage `msgpack:"s"` // by name of the service
	TTL      time.Duration     `msgpack:"l"` // how long the report is valid
}

// Empty reports whether no service has usage.
func (r *LoadReport) Empty() bool { return len(r.Services) == 0 }

// Approximate encoded sizes, in bytes.
const (
	reportHeaderBytes = 64 // including the frame of the message
	targetEntryBytes  = 6
	objectKeyBytes    = 6
	speedEntryBytes   = 10
	regionEntryBytes  = 16
)

// size returns the approximate encoded size, in bytes.
func (r *LoadReport) size() int {
	n := reportHeaderBytes
	for _, u := range r.Services {
		n += targetEntryBytes*len(u.Running) + speedEntryBytes*len(u.Speeds) + regionEntryBytes*(len(u.Split)+len(u.Spare))
		n += u.Demand.Size() + u.Limits.Size()
		for _, keys := range u.Objects {
			n += targetEntryBytes + objectKeyBytes*len(keys)
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

// TreePosition is a VM's position in the aggregation tree.
type TreePosition struct {
	Parent   string // "" at the root
	Children []string
}

// TreePositionOf returns the position of a VM in the tree of the VMs of its region. It
// returns false if vms does not include the VM.
func TreePositionOf(self string, vms []string) (TreePosition, bool) {
	order := rendezvous.Top(treeKey, vms, len(vms), func(name string) string { return name })
	i := slices.Index(order, self)
	if i < 0 {
		return TreePosition{}, false
	}
	var p TreePosition
	if i > 0 {
		p.Parent = order[(i-1)/treeFanout]
	}
	first := min(treeFanout*i+1, len(order))
	p.Children = order[first:min(first+treeFanout, len(order))]
	return p, true
}

// TreeRoot returns the root of the tree of the given VMs; "" if there are none.
func TreeRoot(vms []string) string {
	for _, name := range rendezvous.Top(treeKey, vms, 1, func(name string) string { return name }) {
		return name
	}
	return ""
}

// treeKey is the key by which the VMs of a tree are ordered.
const treeKey = "what VMs have at targets"

// childReport is the last report received from a child.
type childReport struct {
	report      *LoadReport
	receivedAt  time.Time
	customersAt time.Time // when the demand of customers in it was received; zero: there is none
}

// Aggregator merges load reports and decides which ones to send. It does no I/O and is
// not safe for concurrent use.
type Aggregator struct {
	position   TreePosition
	children   map[string]childReport
	newObjects map[string]*Usage // reported by children and not yet forwarded, by service
	newSpeeds  speedBuffers      // runs of the subtree that have not been forwarded
	nextTotal  time.Time         // when the root sends the next total
	lastEmpty  bool              // the last report was empty
	short      bool              // a service is short of capacity
	lastSize   int               // of the last report, in bytes
	lastSent   time.Time
	// nextCustomers is when the parent is next told the demand of customers.
	nextCustomers time.Time

	// decide sets the decisions of the region's root in a total that is about to be sent; nil: there are
	// none.
	decide func(total *LoadReport, now time.Time)
}

// NewAggregator returns an Aggregator. It sends nothing until it has a position.
func NewAggregator() *Aggregator {
	return &Aggregator{children: make(map[string]childReport), newObjects: make(map[string]*Usage), newSpeeds: make(speedBuffers), lastEmpty: true}
}

// SetPosition sets the VM's position in the tree.
func (a *Aggregator) SetPosition(p TreePosition) { a.position = p }

// alone reports whether the VM has neither a parent nor children. It sends and receives no reports.
func (a *Aggregator) alone() bool { return a.position.Parent == "" && len(a.position.Children) == 0 }

// SetDecide sets the function by which the root sets its decisions in a total that is about to be sent.
func (a *Aggregator) SetDecide(decide func(total *LoadReport, now time.Time)) { a.decide = decide }

// Receive stores a child's report and reports whether to forward it after GatherDelay.
// Reports from VMs that are not children of this one by its own member list are dropped, so
// that usage is not counted twice when differing member lists form a cycle.
func (a *Aggregator) Receive(from string, r *LoadReport, now time.Time) bool {
	if !slices.Contains(a.position.Children, from) {
		return false
	}
	a.children[from] = newChildReport(r, a.children[from], now)
	for service, u := range r.Services {
		if u == nil {
			delete(r.Services, service)
			continue
		}
		if a.newObjects[service] == nil {
			a.newObjects[service] = newUsage()
		}
		a.newObjects[service].addObjects(u)
		a.newSpeeds.add(service, u.Speeds, now)
	}
	return a.position.Parent != ""
}

// OutgoingReport is a report to send.
type OutgoingReport struct {
	Report *LoadReport
	To     []string // empty: nothing is sent
	Total  bool     // the report is the region's total, which the sender applies too
}

// Next returns the next report: this VM's and its subtree's usage for the parent or, at the
// root, the total for the children. own returns this VM's usage and is called only if a
// report is due.
func (a *Aggregator) Next(own func() *LoadReport, now time.Time) OutgoingReport {
	isRoot := a.position.Parent == ""
	if isRoot && (len(a.position.Children) == 0 || now.Before(a.nextTotal)) || !isRoot && a.tooSoon(now) {
		return OutgoingReport{}
	}
	r := a.merge(own(), now)
	if isRoot && a.decide != nil {
		a.decide(r, now)
	}
	if !isRoot {
		a.thinCustomers(r, now)
	}
	if r.Empty() && a.lastEmpty {
		return OutgoingReport{}
	}
	a.lastEmpty = r.Empty()
	a.lastSize, a.lastSent = r.size(), now
	period := a.Interval()
	if isRoot {
		period = max(min(period, ReportInterval), time.Duration(a.lastSize*len(a.position.Children))*time.Second/totalBytesPerSecond)
		a.nextTotal = now.Add(period)
	}
	r.TTL = reportTTLIntervals * max(period, ReportInterval)
	if isRoot {
		return OutgoingReport{r, a.position.Children, true}
	}
	return OutgoingReport{r, []string{a.position.Parent}, false}
}

// RemoveDemands removes the demands from a total, which only the root needs.
func (r *LoadReport) RemoveDemands() {
	maps.DeleteFunc(r.Services, func(_ string, u *Usage) bool {
		hadDemand := u.Demand != nil
		u.Demand = nil
		return hadDemand && u.Empty()
	})
}

// TotalRecipients returns the children to which a total received from a VM is forwarded; false
// if that VM is not the parent.
func (a *Aggregator) TotalRecipients(from string) ([]string, bool) {
	return a.position.Children, from != "" && from == a.position.Parent
}

// merge adds the children's reports to this VM's report. Reports that have expired, or come
// from VMs that are no longer children, are dropped.
func (a *Aggregator) merge(r *LoadReport, now time.Time) *LoadReport {
	for vm, child := range a.children {
		if now.Sub(child.receivedAt) > min(child.report.TTL, maxReportTTL) || !slices.Contains(a.position.Children, vm) {
			delete(a.children, vm)
			continue
		}
		for service, u := range child.report.Services {
			r.usage(service).addRunning(u)
			r.usage(service).addDemand(u)
		}
	}
	for service, u := range a.newObjects {
		r.usage(service).addObjects(u)
	}
	clear(a.newObjects)
	a.newSpeeds.forward(r, now)
	return r
}

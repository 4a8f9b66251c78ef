package placement

import (
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
)

// size returns the approximate encoded size, in bytes.
func (r *LoadReport) size() int {
	n := reportHeaderBytes
	for _, u := range r.Services {
		n += targetEntryBytes*len(u.Running) + speedEntryBytes*len(u.Speeds)
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
	order := rendezvous.Top("what VMs have at targets", vms, len(vms), func(name string) string { return name })
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

// childReport is the last report received from a child.
type childReport struct {
	report     *LoadReport
	receivedAt time.Time
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
}

// NewAggregator returns an Aggregator. It sends nothing until it has a position.
func NewAggregator() *Aggregator {
	return &Aggregator{children: make(map[string]childReport), newObjects: make(map[string]*Usage), newSpeeds: make(speedBuffers), lastEmpty: true}
}

// SetPosition sets the VM's position in the tree.
func (a *Aggregator) SetPosition(p TreePosition) { a.position = p }

// Receive stores a child's report and reports whether to forward it after GatherDelay.
// Reports from VMs that are not children of this one by its own member list are dropped, so
// that usage is not counted twice when differing member lists form a cycle.
func (a *Aggregator) Receive(from string, r *LoadReport, now time.Time) bool {
	if !slices.Contains(a.position.Children, from) {
		return false
	}
	a.children[from] = childReport{r, now}
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
	if isRoot && (len(a.position.Children) == 0 || now.Before(a.nextTotal)) {
		return OutgoingReport{}
	}
	r := a.merge(own(), now)
	if r.Empty() && a.lastEmpty {
		return OutgoingReport{}
	}
	a.lastEmpty = r.Empty()
	period := ReportInterval
	if isRoot {
		period = max(period, time.Duration(r.size()*len(a.position.Children))*time.Second/totalBytesPerSecond)
		a.nextTotal = now.Add(period)
	}
	r.TTL = reportTTLIntervals * period
	if isRoot {
		return OutgoingReport{r, a.position.Children, true}
	}
	return OutgoingReport{r, []string{a.position.Parent}, false}
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
		}
	}
	for service, u := range a.newObjects {
		r.usage(service).addObjects(u)
	}
	clear(a.newObjects)
	a.newSpeeds.forward(r, now)
	return r
}

package cluster

import (
	"time"

	"masticturn/internal/standin/promise"
)

// What is what happened to a VM, a target or a way between them.
type What string

// The events of a cluster.
const (
	VMStarted       What = "vm-started"
	VMKilled        What = "vm-killed"
	VMDrains        What = "vm-drains"
	VMDrained       What = "vm-drained"
	VMIsolated      What = "vm-isolated"
	VMRejoined      What = "vm-rejoined"
	TargetKilled    What = "target-killed"
	TargetRestarted What = "target-restarted"
	TargetLeaves    What = "target-leaves"
	TargetReturns   What = "target-returns"
	TargetFaulty    What = "target-faulty"
	TargetSound     What = "target-sound"
	ConnsSilenced   What = "connections-silenced"
	ConnsCut        What = "connections-cut"
	WayHeld         What = "way-held"
	WayReleased     What = "way-released"
	StoreDown       What = "store-down"
	StoreUp         What = "store-up"
)

// Event is something that happened to the cluster.
type Event struct {
	At     time.Time `json:"at"`
	What   What      `json:"what"`
	VM     string    `json:"vm,omitempty"`
	Target string    `json:"target,omitempty"`
	Detail string    `json:"detail,omitempty"`
}

// note records an event as happening now.
func (c *Cluster) note(e Event) {
	e.At = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// Note records an event that a scenario caused.
func (c *Cluster) Note(what What, vm, target, detail string) {
	c.note(Event{What: what, VM: vm, Target: target, Detail: detail})
}

// Events returns what happened so far.
func (c *Cluster) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Event(nil), c.events...)
}

// Check counts the broken promises so far. It needs KeepLogs.
func (c *Cluster) Check() promise.Report {
	in := promise.Input{
		Tries:      c.Notes.Tries(),
		Executions: c.Log.Records(),
		Quiet:      c.Document.Drain.TargetQuietMS.Duration(),
	}
	spans := spansOf(c.Events())
	in.Drains, in.Away, in.Leaving, in.Faults = spans.drains, spans.away, spans.leaving, spans.faults
	return promise.Check(in)
}

// spans are the intervals that a list of events describes.
type spans struct {
	drains  []promise.Interval
	away    []promise.Interval
	leaving []promise.Interval
	faults  []promise.Fault
}

// brokenFor is how long after a fault of connections requests may still break
// because of it: the longest patience of a daemon with a silent connection.
const brokenFor = 30 * time.Second

func spansOf(events []Event) spans {
	var s spans
	for i, e := range events {
		rest := events[i+1:]
		switch e.What {
		case VMDrains:
			s.drains = append(s.drains, promise.Interval{Name: e.VM, From: e.At, To: until(rest, VMDrained, e)})
			s.away = append(s.away, promise.Interval{Name: e.VM, From: e.At, To: until(rest, VMStarted, e)})
		case TargetLeaves:
			s.leaving = append(s.leaving, promise.Interval{Name: e.Target, From: e.At, To: until(rest, TargetReturns, e)})
		case VMKilled:
			s.faults = append(s.faults, promise.Fault{VM: e.VM, From: e.At, To: until(rest, VMStarted, e)})
		case VMIsolated:
			s.faults = append(s.faults, promise.Fault{VM: e.VM, From: e.At, To: until(rest, VMRejoined, e)})
		case TargetKilled:
			s.faults = append(s.faults, promise.Fault{Target: e.Target, From: e.At, To: until(rest, TargetRestarted, e)})
		case ConnsCut, ConnsSilenced:
			s.faults = append(s.faults, promise.Fault{VM: e.VM, Target: e.Target, From: e.At, To: e.At.Add(brokenFor)})
		}
	}
	return s
}

// until returns when an event of the same VM or target ends it; zero when it
// does not end.
func until(events []Event, what What, start Event) time.Time {
	for _, e := range events {
		if e.What == what && e.VM == start.VM && e.Target == start.Target {
			return e.At
		}
	}
	return time.Time{}
}

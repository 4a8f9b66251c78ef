package cluster

import (
	"fmt"
	"slices"
	"time"

	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/target"
)

// TraceLine is one line of what happened to a request.
type TraceLine struct {
	AtMS float64 `json:"at_ms"` // since the first line
	Who  string  `json:"who"`
	Text string  `json:"text"`
	at   time.Time
}

// traceMargin is how long before and after a request the events of its VM and
// targets are shown.
const traceMargin = 3 * time.Second

// Trace tells what callers and targets saw of the request with an id, of the
// other tries with its key, and what happened meanwhile.
func (c *Cluster) Trace(id string) []TraceLine {
	t := &tracer{ids: map[string]bool{id: true}, involved: make(map[string]bool)}
	tries, records := c.Notes.Tries(), c.Log.Records()
	t.followKeys(id, tries)
	for i := range tries {
		t.addTry(&tries[i])
	}
	for i := range records {
		t.addRecord(&records[i])
	}
	t.addEvents(c.Events())
	return t.sorted()
}

type tracer struct {
	ids      map[string]bool
	involved map[string]bool // VMs and targets
	lines    []TraceLine
}

func (t *tracer) add(at time.Time, who, format string, args ...any) {
	if at.IsZero() {
		return
	}
	t.lines = append(t.lines, TraceLine{Who: who, Text: fmt.Sprintf(format, args...), at: at})
}

// followKeys adds the ids of the other tries with the same key.
func (t *tracer) followKeys(id string, tries []caller.Note) {
	key := ""
	for i := range tries {
		if tries[i].RequestID == id {
			key = tries[i].Key
		}
	}
	for i := range tries {
		if key != "" && tries[i].Key == key {
			t.ids[tries[i].RequestID] = true
		}
	}
}

func (t *tracer) addTry(n *caller.Note) {
	if !t.ids[n.RequestID] {
		return
	}
	t.involved[n.VM] = true
	t.add(n.Started, "caller", "%s: sends %s %s (%s) with key %q to %s", n.RequestID, n.Method, n.Path, n.Shape, n.Key, n.VM)
	t.add(n.Ended, "caller", "%s: told %s, status %d, replayed %v, content %q, step %q, peer %q: %s",
		n.RequestID, n.Told, n.Status, n.Replayed, n.Content, n.Step, n.Peer, n.Detail)
}

func (t *tracer) addRecord(r *target.Record) {
	if !t.ids[r.RequestID] {
		return
	}
	t.involved[r.Target] = true
	t.add(r.Arrived, r.Target, "%s: arrived, fault %s", r.RequestID, r.Fault)
	t.add(r.Started, r.Target, "%s: began to run", r.RequestID)
	t.add(r.Finished, r.Target, "%s: %s, %d bytes of body", r.RequestID, r.Ending, r.BodyBytes)
}

// addEvents adds what happened to the VMs and targets involved, around the
// lines so far.
func (t *tracer) addEvents(events []Event) {
	lines := t.sorted()
	if len(lines) == 0 {
		return
	}
	from, to := lines[0].at.Add(-traceMargin), lines[len(lines)-1].at.Add(traceMargin)
	for _, e := range events {
		if e.At.Before(from) || e.At.After(to) {
			continue
		}
		if t.involved[e.VM] || t.involved[e.Target] || e.What == StoreDown || e.What == StoreUp {
			t.add(e.At, "cluster", "%s %s %s %s", e.What, e.VM, e.Target, e.Detail)
		}
	}
}

func (t *tracer) sorted() []TraceLine {
	slices.SortStableFunc(t.lines, func(a, b TraceLine) int { return a.at.Compare(b.at) })
	for i := range t.lines {
		t.lines[i].AtMS = float64(t.lines[i].at.Sub(t.lines[0].at)) / float64(time.Millisecond)
	}
	return t.lines
}

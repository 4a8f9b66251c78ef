// Package promise counts broken promises by joining what callers noted with
// what targets logged. It reads nothing of the daemons.
package promise

import (
	"cmp"
	"fmt"
	"time"

	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/target"
)

// Kind is a kind of broken promise.
type Kind string

// The kinds of broken promises.
const (
	ExecutedTwice  Kind = "executed_twice"   // a request that may not be repeated was run more than once
	FalseNotRun    Kind = "false_not_run"    // the caller was told 'not run', but it was run
	PartialAsWhole Kind = "partial_as_whole" // a part of an answer was given as the whole
	Crossed        Kind = "crossed"          // the answer was to another request
	AnsweredUnrun  Kind = "answered_unrun"   // the caller was told 'answered', but no target ran it
	LostUpload     Kind = "lost_upload"      // the caller was told 'answered', but the body did not arrive whole
	CutByDrain     Kind = "cut_by_drain"     // a planned stop of a VM cut the request
	RefusedByDrain Kind = "refused_by_drain" // a VM stopped as planned before the last look-up naming it had expired
	WorkToLeaving  Kind = "work_to_leaving"  // a target got new work after its quiet time
)

// Interval is a time during which something was so for a VM or a target. A
// zero To means until the end.
type Interval struct {
	Name string
	From time.Time
	To   time.Time
}

func (i Interval) contains(at time.Time) bool {
	return !at.Before(i.From) && (i.To.IsZero() || !at.After(i.To))
}

// overlaps reports whether the interval shares a moment with from..to.
func (i Interval) overlaps(from, to time.Time) bool {
	return !to.Before(i.From) && (i.To.IsZero() || !from.After(i.To))
}

// Fault is another reason for broken connections: during the interval, those
// of requests through VM, or of requests that reached Target, or both when
// both are set.
type Fault struct {
	VM     string
	Target string
	From   time.Time
	To     time.Time // zero: until the end
}

func (f Fault) explains(n *caller.Note, records []*target.Record) bool {
	if f.VM != "" && f.VM != n.VM {
		return false
	}
	if !(Interval{From: f.From, To: f.To}).overlaps(n.Started, n.Ended) {
		return false
	}
	if f.Target == "" {
		return true
	}
	for _, r := range records {
		if r.Target == f.Target {
			return true
		}
	}
	return false
}

// Input is what the check joins.
type Input struct {
	Tries      []caller.Note
	Executions []target.Record
	Drains     []Interval    // planned stops of VMs, from the request to stop until the process ended
	Away       []Interval    // the same, until the VM was started again
	Faults     []Fault       // other reasons for broken connections
	Leaving    []Interval    // targets, from the first sign of leaving
	Quiet      time.Duration // how long after the first sign a leaving target may still get work
}

// Violation is one broken promise.
type Violation struct {
	Kind      Kind   `json:"kind"`
	RequestID string `json:"request_id"`
	Detail    string `json:"detail"`
}

// Report counts broken promises.
type Report struct {
	ExecutedTwice  int         `json:"executed_twice"`
	FalseNotRun    int         `json:"false_not_run"`
	PartialAsWhole int         `json:"partial_as_whole"`
	Crossed        int         `json:"crossed"`
	AnsweredUnrun  int         `json:"answered_unrun"`
	LostUpload     int         `json:"lost_upload"`
	CutByDrain     int         `json:"cut_by_drain"`
	RefusedByDrain int         `json:"refused_by_drain"`
	WorkToLeaving  int         `json:"work_to_leaving"`
	Total          int         `json:"total"`
	Examples       []Violation `json:"examples,omitempty"` // some of them
}

// maxExamples bounds Report.Examples, for each kind.
const maxExamples = 5

// Check counts the broken promises.
func Check(in Input) Report {
	c := newCheck(in)
	for i := range in.Tries {
		c.checkTry(&in.Tries[i])
	}
	c.checkExecutedTwice()
	c.checkLeaving()
	return c.report
}

type check struct {
	in         Input
	byID       map[string][]*target.Record
	byKey      map[string][]*target.Record
	repeatable map[string]bool // request ids that may run twice
	keyed      map[string]bool // request ids with a key
	examples   map[Kind]int
	report     Report
}

func newCheck(in Input) *check {
	c := &check{
		in:         in,
		byID:       make(map[string][]*target.Record),
		byKey:      make(map[string][]*target.Record),
		repeatable: make(map[string]bool),
		keyed:      make(map[string]bool),
		examples:   make(map[Kind]int),
	}
	keys := make(map[string]string) // by request id; a daemon need not pass keys on
	for i := range in.Tries {
		n := &in.Tries[i]
		keys[n.RequestID] = n.Key
		c.repeatable[n.RequestID] = n.Repeatable
	}
	for i := range in.Executions {
		r := &in.Executions[i]
		c.byID[r.RequestID] = append(c.byID[r.RequestID], r)
		if key := cmp.Or(keys[r.RequestID], r.Key); key != "" {
			c.byKey[key] = append(c.byKey[key], r)
			c.keyed[r.RequestID] = true
		}
	}
	return c
}

func (c *check) broken(count *int, kind Kind, id, format string, args ...any) {
	*count++
	c.report.Total++
	if c.examples[kind]++; c.examples[kind] <= maxExamples {
		c.report.Examples = append(c.report.Examples, Violation{kind, id, fmt.Sprintf(format, args...)})
	}
}

func (c *check) checkTry(n *caller.Note) {
	switch n.Content {
	case caller.ContentPartial:
		c.broken(&c.report.PartialAsWhole, PartialAsWhole, n.RequestID, "%s", n.Detail)
	case caller.ContentForeign:
		c.broken(&c.report.Crossed, Crossed, n.RequestID, "%s", n.Detail)
	}
	switch n.Told {
	case caller.ToldNotRun:
		c.checkNotRun(n)
		c.checkRefused(n)
	case caller.ToldAnswered:
		c.checkAnswered(n)
	case caller.ToldNothing:
		c.checkCut(n)
	}
}

func (c *check) checkNotRun(n *caller.Note) {
	for _, r := range c.byID[n.RequestID] {
		if r.Executed() {
			c.broken(&c.report.FalseNotRun, FalseNotRun, n.RequestID, "%s ran it (%s); told by %s at step %s", r.Target, r.Ending, n.VM, n.Step)
			return
		}
	}
}

// checkAnswered looks for the run behind a good answer. A recorded answer may
// be that of another try with the same key.
func (c *check) checkAnswered(n *caller.Note) {
	if n.Content == caller.ContentNone {
		return // an error status of the target's own
	}
	records := c.byID[n.RequestID]
	if n.Replayed {
		records = c.byKey[n.Key]
	}
	done := false
	for _, r := range records {
		if r.Ending != target.Done {
			continue
		}
		done = true
		if r.BodyBytes == n.BodyBytes && r.BodyOwn {
			return
		}
	}
	if done {
		c.broken(&c.report.LostUpload, LostUpload, n.RequestID, "no target received the %d bytes of the body whole", n.BodyBytes)
		return
	}
	c.broken(&c.report.AnsweredUnrun, AnsweredUnrun, n.RequestID, "no target ran it to its end; told by %s", n.VM)
}

// checkCut finds requests that broke off while their VM drained, when nothing
// else explains it.
func (c *check) checkCut(n *caller.Note) {
	if n.GaveUp || !overlapsAny(c.in.Drains, n) {
		return
	}
	records := c.byID[n.RequestID]
	for _, r := range records {
		if r.Fault != target.NoFault {
			return
		}
	}
	for _, f := range c.in.Faults {
		if f.explains(n, records) {
			return
		}
	}
	c.broken(&c.report.CutByDrain, CutByDrain, n.RequestID, "%s drained; the caller saw: %s", n.VM, n.Detail)
}

// checkRefused finds requests that met a closed listener because their VM had
// stopped as planned, though a look-up that was still valid named it.
func (c *check) checkRefused(n *caller.Note) {
	if !n.Refused || n.GaveUp || !overlapsAny(c.in.Away, n) {
		return
	}
	for _, f := range c.in.Faults {
		if f.explains(n, nil) {
			return
		}
	}
	c.broken(&c.report.RefusedByDrain, RefusedByDrain, n.RequestID, "%s had stopped; the caller saw: %s", n.VM, n.Detail)
}

// overlapsAny reports whether the try overlaps an interval of its VM.
func overlapsAny(intervals []Interval, n *caller.Note) bool {
	for _, i := range intervals {
		if i.Name == n.VM && i.overlaps(n.Started, n.Ended) {
			return true
		}
	}
	return false
}

func (c *check) checkExecutedTwice() {
	for key, records := range c.byKey {
		c.checkOnce("key "+key, records)
	}
	for id, records := range c.byID {
		if !c.keyed[id] && !c.repeatable[id] {
			c.checkOnce("id "+id, records)
		}
	}
}

// checkOnce counts a request that began to run more than once, at whatever
// targets and however it ended there.
func (c *check) checkOnce(what string, records []*target.Record) {
	var runs []*target.Record
	for _, r := range records {
		if r.Executed() {
			runs = append(runs, r)
		}
	}
	if len(runs) > 1 {
		c.broken(&c.report.ExecutedTwice, ExecutedTwice, runs[1].RequestID, "%s ran %d times: first at %s (%s), then at %s (%s)",
			what, len(runs), runs[0].Target, runs[0].Ending, runs[1].Target, runs[1].Ending)
	}
}

func (c *check) checkLeaving() {
	for _, i := range c.in.Leaving {
		i.From = i.From.Add(c.in.Quiet)
		for j := range c.in.Executions {
			r := &c.in.Executions[j]
			if r.Target == i.Name && i.contains(r.Arrived) {
				c.broken(&c.report.WorkToLeaving, WorkToLeaving, r.RequestID, "%s got it %v after its quiet time", r.Target, r.Arrived.Sub(i.From))
			}
		}
	}
}

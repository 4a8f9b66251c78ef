// Package losses attributes late and missing answers to causes using the VMs' logs. Each loss has
// exactly one cause, so the losses by cause add up to the total.
package losses

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"masticturn/internal/logtrace"
)

// Numbers of the log events that are evaluated.
const (
	eventStarted      = 1001
	eventFailed       = 5001
	eventAnswered     = 5006
	eventPlaced       = 8401
	eventRefused      = 8402
	eventLinesDropped = 1011
)

// request is one try of a caller, as logged by the VM that received it.
type request struct {
	id, vm, rule, class string
	arrived             time.Time // at the VM
	objective           time.Duration
	caller              string // address without the port, because callers retry on new connections
	object              string
	retryAfter          time.Duration // sent in the response
	duration            time.Duration // from arrival at the VM to the end
	targetLatency       time.Duration // from the last attempt to the response header
	attempts            int
	answered            bool
	status              int
	step                string
	notRun              bool
	placements          []placement
	firstTry            *request // nil if this is the caller's first try
	nextTry             *request // nil if this is the caller's last try
}

// placement is one decision to send a request to a target, as logged by the VM.
type placement struct {
	at     time.Time
	target string
	region string // of the target
	known  bool   // the VM knew that the target knows the object
	full   bool   // the VM estimated that all slots were in use
	waited time.Duration
}

// lastPlacement returns the latest placement, or nil if the request was not sent to any target.
func (r *request) lastPlacement() *placement {
	if len(r.placements) == 0 {
		return nil
	}
	return &r.placements[len(r.placements)-1]
}

// Log holds the requests found in the log lines of all VMs.
type Log struct {
	requests     []*request
	regions      map[string]string // by VM
	droppedLines int               // lines dropped by VMs
}

// Read collects the requests from log lines.
func Read(lines []logtrace.Line) *Log {
	log := &Log{regions: make(map[string]string)}
	byID := make(map[string]*request)
	requestFor := func(l *logtrace.Line) *request {
		id := l.Text("request_id")
		r := byID[id]
		if r == nil {
			r = &request{id: id, vm: l.VM}
			byID[id] = r
		}
		return r
	}
	for i := range lines {
		l := &lines[i]
		switch l.Event {
		case eventStarted:
			log.regions[l.VM] = l.Text("region")
		case eventLinesDropped:
			log.droppedLines += countDroppedLines(l)
		case eventPlaced:
			r := requestFor(l)
			r.object = l.Text("object")
			r.placements = append(r.placements, parsePlacement(l))
		case eventRefused:
			requestFor(l).object = l.Text("object")
		case eventAnswered, eventFailed:
			requestFor(l).applyFinalLine(l)
		}
	}
	for _, r := range byID {
		if !r.arrived.IsZero() { // zero if the final line was dropped
			log.requests = append(log.requests, r)
		}
	}
	slices.SortFunc(log.requests, func(a, b *request) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
	})
	log.linkRetries()
	return log
}

// retryGrace is how long after Retry-After a request still counts as a retry.
const retryGrace = time.Second

// linkRetries links each request without a good answer to the caller's retry: the first later request from
// the same address for the same rule and object that arrives no later than retryGrace after Retry-After.
func (log *Log) linkRetries() {
	type retryKey struct{ caller, rule, object string }
	waiting := make(map[retryKey][]*request)
	for _, r := range log.requests {
		key := retryKey{r.caller, r.rule, r.object}
		for i, previous := range waiting[key] {
			wait := r.arrived.Sub(previous.arrived.Add(previous.duration))
			if wait >= 0 && wait <= previous.retryAfter+retryGrace {
				previous.nextTry, r.firstTry = r, cmp.Or(previous.firstTry, previous)
				waiting[key] = slices.Delete(waiting[key], i, i+1)
				break
			}
		}
		if !r.served() {
			waiting[key] = append(waiting[key], r)
		}
	}
}

// served reports whether the caller got a successful answer.
func (r *request) served() bool { return r.answered && r.status < 300 }

// countDroppedLines returns the number of dropped request lines that a log line reports.
func countDroppedLines(l *logtrace.Line) int {
	counts, _ := l.Fields["lines"].(map[string]any)
	n := 0
	for _, event := range []string{"5001", "5006", "8401"} {
		if count, ok := counts[event].(float64); ok {
			n += int(count)
		}
	}
	dropped, _ := l.Fields["dropped"].(float64)
	return n + int(dropped)
}

func parsePlacement(l *logtrace.Line) placement {
	known, _ := l.Fields["known"].(bool)
	return placement{
		at:     l.At,
		target: l.Text("peer"),
		region: l.Text("region"),
		known:  known,
		full:   l.Number("own")+l.Number("others") >= l.Number("slots"),
		waited: l.Millis("waited_ms"),
	}
}

// applyFinalLine sets the fields that the request's final log line carries.
func (r *request) applyFinalLine(l *logtrace.Line) {
	r.duration = l.Millis("took_ms")
	r.arrived = l.At.Add(-r.duration)
	r.rule, r.class = l.Text("rule"), l.Text("class")
	r.objective = l.Millis("objective_ms")
	r.caller, _, _ = strings.Cut(l.Text("caller"), ":")
	r.retryAfter = l.Millis("retry_after_ms")
	r.targetLatency = l.Millis("sent_ms")
	r.attempts = int(l.Number("attempts"))
	r.status = int(l.Number("status"))
	r.answered = l.Event == eventAnswered
	r.step = l.Text("step")
	r.notRun = l.Text("outcome") == "not-run"
}

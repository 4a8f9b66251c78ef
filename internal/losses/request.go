// Package losses attributes late and missing answers to causes from the VMs' logs. Each loss has one
// cause, so that the table adds up.
package losses

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"masticturn/internal/logtrace"
)

// Events and fields of log lines about requests.
const (
	eventStarted  = 1001
	eventFailed   = 5001
	eventAnswered = 5006
	eventPlaced   = 8401
	eventRefused  = 8402
	eventLeftOut  = 1011
)

// request is one attempt of a caller, as logged by its VM.
type request struct {
	id, vm, rule, class string
	arrived             time.Time // at the VM
	objective           time.Duration
	caller              string // address without the port: callers come back on new connections
	object              string
	retryAfter          time.Duration // of the answer
	took                time.Duration // from its arrival to its end here
	sent                time.Duration // from its last sending to the answer's head
	attempts            int
	answered            bool
	status              int
	step                string
	notRun              bool
	places              []place
	first               *request // the caller's first try; nil: this is it
	next                *request // the caller's next try; nil: this was the last one
}

// place is one decision to send a request to a target.
type place struct {
	at     time.Time
	target string
	region string // of the target
	known  bool   // the VM knew that the target knows the object
	full   bool   // all slots were in use by the VM's estimate
	waited time.Duration
}

// last returns where the request was sent last; nil when nowhere.
func (r *request) last() *place {
	if len(r.places) == 0 {
		return nil
	}
	return &r.places[len(r.places)-1]
}

// Log holds the requests in the lines of all VMs.
type Log struct {
	requests []*request
	regions  map[string]string // of VMs
	leftOut  int               // lines dropped by VMs
}

// Read collects the requests in log lines.
func Read(lines []logtrace.Line) *Log {
	log := &Log{regions: make(map[string]string)}
	byID := make(map[string]*request)
	of := func(l *logtrace.Line) *request {
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
		case eventLeftOut:
			log.leftOut += leftOut(l)
		case eventPlaced:
			r := of(l)
			r.object = l.Text("object")
			r.places = append(r.places, placeOf(l))
		case eventRefused:
			of(l).object = l.Text("object")
		case eventAnswered, eventFailed:
			of(l).end(l)
		}
	}
	for _, r := range byID {
		if !r.arrived.IsZero() { // else its last line was left out
			log.requests = append(log.requests, r)
		}
	}
	slices.SortFunc(log.requests, func(a, b *request) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
	})
	log.link()
	return log
}

// backWithin is how much later than Retry-After a retry may come.
const backWithin = time.Second

// link connects refused requests with the caller's retry: the first one from the same address about
// the same object after Retry-After.
func (log *Log) link() {
	type who struct{ caller, rule, object string }
	waiting := make(map[who][]*request)
	for _, r := range log.requests {
		key := who{r.caller, r.rule, r.object}
		for i, before := range waiting[key] {
			wait := r.arrived.Sub(before.arrived.Add(before.took))
			if wait >= 0 && wait <= before.retryAfter+backWithin {
				before.next, r.first = r, cmp.Or(before.first, before)
				waiting[key] = slices.Delete(waiting[key], i, i+1)
				break
			}
		}
		if !r.served() {
			waiting[key] = append(waiting[key], r)
		}
	}
}

// served reports whether the caller got a good answer.
func (r *request) served() bool { return r.answered && r.status < 300 }

// leftOut returns how many lines about requests a line says were left out.
func leftOut(l *logtrace.Line) int {
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

func placeOf(l *logtrace.Line) place {
	known, _ := l.Fields["known"].(bool)
	return place{
		at:     l.At,
		target: l.Text("peer"),
		region: l.Text("region"),
		known:  known,
		full:   l.Number("own")+l.Number("others") >= l.Number("slots"),
		waited: l.Millis("waited_ms"),
	}
}

// end takes in a request's last line.
func (r *request) end(l *logtrace.Line) {
	r.took = l.Millis("took_ms")
	r.arrived = l.At.Add(-r.took)
	r.rule, r.class = l.Text("rule"), l.Text("class")
	r.objective = l.Millis("objective_ms")
	r.caller, _, _ = strings.Cut(l.Text("caller"), ":")
	r.retryAfter = l.Millis("retry_after_ms")
	r.sent = l.Millis("sent_ms")
	r.attempts = int(l.Number("attempts"))
	r.status = int(l.Number("status"))
	r.answered = l.Event == eventAnswered
	r.step = l.Text("step")
	r.notRun = l.Text("outcome") == "not-run"
}

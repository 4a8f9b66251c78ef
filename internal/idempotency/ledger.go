package idempotency

import (
	"container/list"
	"time"

	"masticturn/internal/outcome"
)

// recordOverhead is the approximate size of a record without its response, in bytes:
// key, map entry and list element.
const recordOverhead = 512

// State is the state of a key in a ledger.
type State uint8

// The states of a key.
const (
	StateFree     State = iota // not run
	StateRunning               // held by a run
	StateAnswered              // run and answered
	StateUnknown               // run with an unknown outcome
)

// Verdict is the result of claiming a key or of querying a run.
type Verdict uint8

// The verdicts.
const (
	VerdictRun             Verdict = iota + 1 // the claim is granted; for a query: the run did not and will not happen
	VerdictBusy                               // another run holds the key
	VerdictReplay                             // the recorded response is returned
	VerdictResponseDropped                    // run and answered, but the response is no longer kept
	VerdictUnknown                            // run with an unknown outcome
	VerdictMismatch                           // the key was used for a different request
	VerdictExpired                            // the ticket is too old to know whether the key was run
	VerdictInvalid                            // the ticket was never issued
	VerdictFull                               // no memory for another key; it was not run
	VerdictOwnerGone                          // the instance that owned the key no longer exists
)

// LedgerLimits bounds the size of a ledger and sets the retention of its records.
type LedgerLimits struct {
	MaxBytes       int64         // size of all records with their responses
	Retention      time.Duration // minimum retention after the end of a run
	TicketLifetime time.Duration // lifetime of a ticket; records are kept at least until their ticket expires
}

// ledger records the keys that this process instance owns or runs. It is not safe for
// concurrent use and does no I/O. Times are durations since the process started, by the
// monotonic clock.
type ledger struct {
	records      map[string]*entry
	byAge        *list.List // of *entry, oldest first
	withResponse *list.List // of *entry with a response, oldest first
	bytes        int64
}

// entry is the record of one key.
type entry struct {
	key         string
	token       string // of the run that holds it
	fingerprint Fingerprint
	state       State
	response    *Response
	keepUntil   time.Duration
	done        chan struct{} // closed when the run ends

	ageElement, responseElement *list.Element
}

func newLedger() *ledger {
	return &ledger{records: make(map[string]*entry), byAge: list.New(), withResponse: list.New()}
}

// claim claims a key for a run. It is idempotent per token, so that a claim whose
// response was lost can be sent again.
func (l *ledger) claim(now time.Duration, key, token string, fp Fingerprint, issued time.Duration, limits LedgerLimits) (Verdict, *entry) {
	l.expire(now)
	if e := l.records[key]; e != nil {
		return e.verdict(token, fp), e
	}
	switch {
	case issued > now || issued < 0:
		return VerdictInvalid, nil
	case now-issued > limits.TicketLifetime:
		return VerdictExpired, nil
	}
	e := l.add(now, key, token, fp, issued+limits.TicketLifetime, limits)
	if e == nil {
		return VerdictFull, nil
	}
	return VerdictRun, e
}

func (e *entry) verdict(token string, fp Fingerprint) Verdict {
	switch {
	case e.fingerprint != fp:
		return VerdictMismatch
	case e.state == StateRunning && e.token == token:
		return VerdictRun
	case e.state == StateRunning:
		return VerdictBusy
	case e.state == StateUnknown:
		return VerdictUnknown
	case e.response == nil:
		return VerdictResponseDropped
	}
	return VerdictReplay
}

// add records a running key. It returns nil if there is no memory for it.
func (l *ledger) add(now time.Duration, key, token string, fp Fingerprint, keepUntil time.Duration, limits LedgerLimits) *entry {
	if old := l.records[key]; old != nil {
		l.remove(old)
	}
	l.evictResponses(recordOverhead, limits.MaxBytes)
	if l.bytes+recordOverhead > limits.MaxBytes {
		return nil
	}
	e := &entry{
		key: key, token: token, fingerprint: fp, state: StateRunning,
		keepUntil: max(keepUntil, now+limits.Retention), done: make(chan struct{}),
	}
	e.ageElement = l.byAge.PushBack(e)
	l.records[key] = e
	l.bytes += recordOverhead
	return e
}

// finish records the outcome of a run. It ignores tokens that do not hold the key.
func (l *ledger) finish(now time.Duration, key, token string, o outcome.Outcome, a *Response, limits LedgerLimits) {
	e := l.records[key]
	if e == nil || e.token != token || e.state != StateRunning {
		return
	}
	close(e.done)
	e.keepUntil = max(e.keepUntil, now+limits.Retention)
	switch o {
	case outcome.NotRun:
		l.remove(e)
	case outcome.Answered:
		e.state = StateAnswered
		l.storeResponse(e, a, limits)
	default:
		e.state = StateUnknown
	}
}

// storeResponse stores a response and evicts the oldest ones if needed.
func (l *ledger) storeResponse(e *entry, a *Response, limits LedgerLimits) {
	if a == nil {
		return
	}
	l.evictResponses(a.Size(), limits.MaxBytes)
	if l.bytes+a.Size() > limits.MaxBytes {
		return
	}
	e.response = a
	e.responseElement = l.withResponse.PushBack(e)
	l.bytes += a.Size()
}

// evictResponses evicts the oldest responses until size more bytes fit. It keeps the records,
// so that their keys are not run again.
func (l *ledger) evictResponses(size, limit int64) {
	for l.bytes+size > limit && l.withResponse.Len() > 0 {
		l.dropResponse(l.withResponse.Front().Value.(*entry))
	}
}

func (l *ledger) dropResponse(e *entry) {
	l.bytes -= e.response.Size()
	l.withResponse.Remove(e.responseElement)
	e.response, e.responseElement = nil, nil
}

func (l *ledger) remove(e *entry) {
	if e.response != nil {
		l.dropResponse(e)
	}
	l.byAge.Remove(e.ageElement)
	delete(l.records, e.key)
	l.bytes -= recordOverhead
}

// expire removes expired records, oldest first.
func (l *ledger) expire(now time.Duration) {
	for front := l.byAge.Front(); front != nil; front = l.byAge.Front() {
		e := front.Value.(*entry)
		if now <= e.keepUntil {
			return
		}
		if e.state == StateRunning {
			close(e.done)
		}
		l.remove(e)
	}
}

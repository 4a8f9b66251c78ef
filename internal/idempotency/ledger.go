package idempotency

import (
	"container/list"
	"time"

	"masticturn/internal/outcome"
)

// recordOverhead is what one record costs besides its answer, in bytes: key,
// map entry, list element.
const recordOverhead = 512

// State is the state of a key in a ledger.
type State uint8

// The states of a key.
const (
	StateFree     State = iota // it was never run, or surely not
	StateRunning               // a run holds it
	StateAnswered              // it was run and answered
	StateLost                  // it was run and nobody knows how it ended
)

// Verdict is the answer of a ledger to a claim.
type Verdict uint8

// The verdicts on a claim.
const (
	VerdictRun      Verdict = iota + 1 // the key is the claimer's to run
	VerdictBusy                        // another run holds it; ask again when it ended
	VerdictReplay                      // the recorded answer is given
	VerdictDropped                     // it was answered, and the answer is no longer kept
	VerdictLost                        // it was run and nobody knows how it ended
	VerdictMismatch                    // the key was used for another request
	VerdictExpired                     // the ticket is too old to know whether the key was run
	VerdictInvalid                     // the ticket was never issued
	VerdictFull                        // there is no room; the key was not run
	VerdictGone                        // the instance that owned the key is no more
)

// Bounds bounds what a ledger keeps.
type Bounds struct {
	Bytes  int64         // all records with their answers
	Keep   time.Duration // from a run's end, at least this long
	Ticket time.Duration // life of a ticket; no record is dropped before its ticket expired
}

// ledger holds the keys owned by this process instance. It is not safe for
// concurrent use and does no I/O. Times are durations since the process
// started, by the monotonic clock.
type ledger struct {
	records map[string]*entry
	order   *list.List // of *entry, oldest first
	answers *list.List // of *entry with an answer, oldest first
	bytes   int64
}

// entry is one key.
type entry struct {
	key         string
	token       string // of the run that holds it
	fingerprint Fingerprint
	state       State
	answer      *Answer
	keepUntil   time.Duration
	done        chan struct{} // closed when the run ends

	inOrder, inAnswers *list.Element
}

func newLedger() *ledger {
	return &ledger{records: make(map[string]*entry), order: list.New(), answers: list.New()}
}

// claim claims a key for a run. The same token claiming again gets the same
// verdict, so that a claim whose answer was lost may be sent again.
func (l *ledger) claim(now time.Duration, key, token string, fp Fingerprint, issued time.Duration, b Bounds) (Verdict, *entry) {
	l.expire(now)
	if e := l.records[key]; e != nil {
		return e.verdict(token, fp), e
	}
	switch {
	case issued > now || issued < 0:
		return VerdictInvalid, nil
	case now-issued > b.Ticket:
		return VerdictExpired, nil
	}
	e := l.add(now, key, token, fp, issued+b.Ticket, b)
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
	case e.state == StateLost:
		return VerdictLost
	case e.answer == nil:
		return VerdictDropped
	}
	return VerdictReplay
}

// add notes a running key; nil when there is no room.
func (l *ledger) add(now time.Duration, key, token string, fp Fingerprint, keepUntil time.Duration, b Bounds) *entry {
	if old := l.records[key]; old != nil {
		l.remove(old)
	}
	l.makeRoom(recordOverhead, b.Bytes)
	if l.bytes+recordOverhead > b.Bytes {
		return nil
	}
	e := &entry{
		key: key, token: token, fingerprint: fp, state: StateRunning,
		keepUntil: max(keepUntil, now+b.Keep), done: make(chan struct{}),
	}
	e.inOrder = l.order.PushBack(e)
	l.records[key] = e
	l.bytes += recordOverhead
	return e
}

// finish ends a run. A token that no longer holds the key changes nothing.
func (l *ledger) finish(now time.Duration, key, token string, o outcome.Outcome, a *Answer, b Bounds) {
	e := l.records[key]
	if e == nil || e.token != token || e.state != StateRunning {
		return
	}
	close(e.done)
	e.keepUntil = max(e.keepUntil, now+b.Keep)
	switch o {
	case outcome.NotRun:
		l.remove(e)
	case outcome.Answered:
		e.state = StateAnswered
		l.keep(e, a, b)
	default:
		e.state = StateLost
	}
}

// keep stores an answer, at the cost of the oldest ones.
func (l *ledger) keep(e *entry, a *Answer, b Bounds) {
	if a == nil {
		return
	}
	l.makeRoom(a.Size(), b.Bytes)
	if l.bytes+a.Size() > b.Bytes {
		return
	}
	e.answer = a
	e.inAnswers = l.answers.PushBack(e)
	l.bytes += a.Size()
}

// makeRoom drops the oldest answers until size more bytes fit. The records
// stay: a key whose answer was dropped is still never run again.
func (l *ledger) makeRoom(size, limit int64) {
	for l.bytes+size > limit && l.answers.Len() > 0 {
		l.dropAnswer(l.answers.Front().Value.(*entry))
	}
}

func (l *ledger) dropAnswer(e *entry) {
	l.bytes -= e.answer.Size()
	l.answers.Remove(e.inAnswers)
	e.answer, e.inAnswers = nil, nil
}

func (l *ledger) remove(e *entry) {
	if e.answer != nil {
		l.dropAnswer(e)
	}
	l.order.Remove(e.inOrder)
	delete(l.records, e.key)
	l.bytes -= recordOverhead
}

// expire forgets records that are past their time, oldest first.
func (l *ledger) expire(now time.Duration) {
	for front := l.order.Front(); front != nil; front = l.order.Front() {
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

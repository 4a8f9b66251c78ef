package emulation

import (
	"fmt"
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/digest"
	"masticturn/internal/placement"
	"masticturn/internal/quarantine"
)

const (
	// crashDelay is how long a CrashRequest runs before its target crashes, restartDuration how
	// long the target is down.
	crashDelay      = 80 * time.Millisecond
	restartDuration = 1500 * time.Millisecond
)

// crashRequest is a CrashRequest with the ID that all its repetitions share.
type crashRequest struct {
	CrashRequest
	id int
}

func (s *simulation) newRequest(region string) *request {
	s.requests++
	return &request{region: region, sentAt: s.now, id: s.requests}
}

// forEachTarget calls do for the targets that an event affects.
func (s *simulation) forEachTarget(e Event, do func(*target)) {
	n := 0
	for _, t := range s.targets {
		if t.region == e.Region && !t.removed && n < e.Count {
			do(t)
			n++
		}
	}
}

// scheduleCrashRequests schedules all arrivals of a request that crashes targets.
func (s *simulation) scheduleCrashRequests(c *crashRequest) {
	s.requests++
	c.id = s.requests
	for at := c.At; at < c.At+c.Length; at += c.Every {
		s.after(at, func() {
			q := s.newRequest(s.workload.Regions[s.rng.IntN(len(s.workload.Regions))].Name)
			q.crash = c
			q.object = fmt.Sprintf("%s-crash-%d", q.region, c.id)
			s.after(s.workload.Deadline, func() { s.expire(q) })
			s.arriveAtVM(q)
		})
	}
}

// digest returns the digest of a request. Repetitions of a crashRequest have the same digest.
func (q *request) digest() digest.Digest {
	id := q.id
	if q.crash != nil {
		id = q.crash.id
	}
	return digest.HeadOf("GET", "", fmt.Sprint(id)).Sum(nil)
}

// mayRun reports whether the VM's ledger allows a request to run. A suspect request may run only
// once at a time.
func (s *simulation) mayRun(q *request) bool {
	if q.vm.ledger.Len() == 0 {
		return true
	}
	switch q.vm.ledger.Assess(q.digest(), s.now).Verdict {
	case quarantine.Suspect:
		return !s.isInFlight(q.crash)
	case quarantine.Quarantined:
		return false
	}
	return true
}

// isInFlight reports whether a request that crashes targets is in flight. It returns false for
// nil.
func (s *simulation) isInFlight(c *crashRequest) bool {
	for a := range s.inFlight {
		if c != nil && a.req.crash == c {
			return true
		}
	}
	return false
}

// crashTarget crashes a target and fails all its running and queued requests.
func (s *simulation) crashTarget(a *attempt) {
	t := a.target
	if a.done || t.down {
		return
	}
	s.tally.crashes++
	t.down = true
	t.restarts++
	for other := range s.inFlight {
		if other.target == t && (other.running || contains(t.queue, other)) {
			s.failByCrash(other)
		}
	}
	t.running, t.queue = 0, nil
	t.clearCache()
	s.after(restartDuration, func() { t.down = false })
}

func contains(list []*attempt, a *attempt) bool {
	for _, other := range list {
		if other == a {
			return true
		}
	}
	return false
}

// failByCrash fails a request whose target has crashed. Its VM learns of the closed connection
// after the network delay.
func (s *simulation) failByCrash(a *attempt) {
	began, ended := a.sentAt, s.now
	instance := quarantine.TargetID(fmt.Sprint(a.target.name, a.target.restarts))
	s.after(s.delay(a.target.region, a.req.region), func() {
		v, d := a.vm, a.req.digest()
		if v.ledger.Crashed(d, digest.Digest{}, quarantine.Crash{Target: instance, Began: began, Ended: ended}, s.now) {
			s.broadcastRecord(v, d)
		}
		s.handleBrokenConn(a, placement.Result{Failed: true})
	})
}

// broadcastRecord sends a VM's quarantine record of a request to all other VMs.
func (s *simulation) broadcastRecord(from *vm, d digest.Digest) {
	report, _ := from.ledger.Report(d, s.now)
	for _, to := range s.vms {
		if to != from {
			s.after(s.delay(from.region, to.region), func() { to.ledger.Merge(report, s.now) })
		}
	}
}

// handleBrokenConn ends an attempt whose connection was closed or refused. The request is sent to
// another target unless the VM's quarantine ledger forbids it (see mayRun).
func (s *simulation) handleBrokenConn(a *attempt, result placement.Result) {
	if a.done {
		return
	}
	a.done = true
	delete(s.inFlight, a)
	a.vm.connsTo(a.target.name).drop()
	a.vm.pool.Release(a.entry.Selected, result, s.now)
	if s.mayRun(a.req) {
		s.tryNextTarget(a)
		return
	}
	s.finish(a.req, outcomeFailed)
}

// deliverBackoff delivers a refusal with Retry-After to the VM.
func (s *simulation) deliverBackoff(a *attempt, retryAfter time.Duration) {
	if a.done {
		return
	}
	a.done = true
	delete(s.inFlight, a)
	s.tally.backoffUntil[vmTarget{a.vm, a.target}] = s.now.Add(retryAfter)
	a.vm.connsTo(a.target.name).release(s.now)
	a.vm.pool.RecordNotice(a.target.name, admission.Notice{Backoff: retryAfter}, s.now)
	a.vm.pool.Release(a.entry.Selected, placement.Result{Shed: true}, s.now)
	s.tryNextTarget(a)
}

// handleAnswer applies the leaving notice of an answer, and clears the request in the ledger, as
// its target did not crash.
func (s *simulation) handleAnswer(a *attempt, leaving bool) {
	if leaving {
		a.vm.pool.RecordNotice(a.target.name, admission.Notice{Leaving: true}, s.now)
		if _, ok := s.tally.leavingSince[vmTarget{a.vm, a.target}]; !ok {
			s.tally.leavingSince[vmTarget{a.vm, a.target}] = s.now
		}
	}
	if a.vm.ledger.Len() > 0 && a.vm.ledger.Clear(a.req.digest(), s.now) {
		s.broadcastRecord(a.vm, a.req.digest())
	}
}

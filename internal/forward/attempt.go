package forward

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/outcome"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// connectTimeout bounds the opening of a connection.
const connectTimeout = time.Second

// attempt is one try at one target.
type attempt struct {
	x        *exchange
	parent   context.Context // of the request
	ctx      context.Context
	cancel   context.CancelCauseFunc
	number   int      // 1 is the first one of the request
	exclude  []string // targets that were tried
	hedged   bool     // it is the second attempt of a hedge
	fresh    bool     // it opens its connection, as an idle one was stale
	hedge    *hedge   // nil when there is none
	permit   admission.Permit
	target   *config.TargetIndex
	conn     *targetconn.Conn
	keep     bool // the connection may be kept after the exchange
	watch    *watchdog
	stream   *upload
	resp     *http.Response
	sentAt   time.Time
	opening  time.Duration // of the connection; 0: it was open
	load     *edge.Load    // that the target reported; nil: none
	draining bool
	backoff  time.Duration // Retry-After of the target; 0: none
	released bool
}

func (x *exchange) newAttempt(parent context.Context, number int, exclude []string) *attempt {
	a := &attempt{x: x, parent: parent, number: number, exclude: exclude}
	a.ctx, a.cancel = context.WithCancelCause(parent)
	return a
}

// attempt makes one attempt, or a hedged pair, and releases its resources.
func (x *exchange) attempt(ctx context.Context) attemptEnd {
	a := x.newAttempt(ctx, x.dispatch.attempts, x.tried)
	a.fresh = x.fresh
	defer a.cancel(nil)
	end := a.head()
	x.recordTried(a, &end)
	if a.hedge != nil {
		if second, secondEnd := a.hedge.join(end.Fault); second != nil {
			a.lose(&end)
			x.dispatch.hedged(end)
			defer second.cancel(nil)
			x.recordTried(second, &secondEnd)
			a, end = second, secondEnd
		}
	}
	if end.Fault == FaultNone {
		end = a.relay()
	}
	a.finish(&end)
	return end
}

// recordTried excludes an attempt's target from further ones, unless the connection was stale.
func (x *exchange) recordTried(a *attempt, end *attemptEnd) {
	x.fresh = x.fresh || end.Stale
	if a.target != nil && !end.Stale {
		x.tried = append(x.tried, a.target.Name)
	}
}

// head runs the attempt up to the checked head of the answer.
func (a *attempt) head() attemptEnd {
	if end := a.prepare(); end.Fault != FaultNone {
		return end
	}
	a.watch = a.newWatchdog()
	if end := a.send(); end.Fault != FaultNone {
		return end
	}
	return a.check()
}

// prepare acquires a slot and a connection. A slot lost meanwhile, as after a pause of this process,
// is replaced before anything is sent.
func (a *attempt) prepare() attemptEnd {
	for {
		if end := a.admit(); end.Fault != FaultNone {
			return end
		}
		if end := a.connect(); end.Fault != FaultNone {
			return end
		}
		if end := a.screenAgain(); end.Fault != FaultNone {
			return end
		}
		checked, ok := a.permit.(admission.Checked)
		if !ok || checked.Valid() {
			return attemptEnd{}
		}
		a.conn.Drop()
		a.permit.Release(admission.Result{Outcome: outcome.NotRun, Step: outcome.StepConnect, InFlight: -1, Canceled: true})
		a.conn, a.permit, a.target = nil, nil, nil
	}
}

// finish releases the attempt's resources.
func (a *attempt) finish(end *attemptEnd) {
	if a.watch != nil {
		a.watch.stop()
	}
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if a.target != nil {
		end.Peer = a.target.Name
	}
	a.recordBroken(end)
	a.releaseConn(end)
}

func (a *attempt) admit() attemptEnd {
	x := a.x
	permit, err := x.h.deps.Admission.Acquire(a.ctx, &admission.Request{
		ID:           x.id,
		Service:      x.match.Service,
		Class:        x.match.Class,
		Tenant:       x.match.Route.Tenant,
		CallerRegion: x.region,
		Bytes:        max(x.r.ContentLength, 0),
		Deadline:     x.deadline,
		Arrived:      x.startedAt,
		Rule:         x.match.Rule,
		ObjectKey:    x.objectKey(),
		Exclude:      a.exclude,
		Retry:        a.number > 1,
	})
	if err != nil {
		return attemptEnd{Step: outcome.StepAdmit, Fault: a.faultOr(FaultRefused), Err: err}
	}
	a.permit = permit
	a.target = permit.Target()
	x.h.regions.recordPlaced(a.target.Region)
	return attemptEnd{}
}

// connect acquires a connection. A non-idempotent request needs one in very recent use or a new one:
// any other may be stale, which would leave its outcome unknown.
func (a *attempt) connect() attemptEnd {
	use := targetconn.UseAny
	switch {
	case !a.x.repeatable:
		use = targetconn.UseRecent
	case a.fresh:
		use = targetconn.UseFresh
	}
	ctx, cancel := context.WithTimeout(a.ctx, connectTimeout)
	defer cancel()
	rule := connectionRuleOf(a.x.snap, a.target)
	a.keep = rule.keep
	conn, err := a.x.h.conns.Get(ctx, a.target, rule.limit, use)
	if err != nil {
		return attemptEnd{
			Step:       outcome.StepConnect,
			Fault:      a.faultOr(FaultRefused),
			NoListener: errors.Is(err, syscall.ECONNREFUSED),
			Err:        err,
		}
	}
	a.conn = conn
	a.opening = conn.OpenedIn()
	if a.number > 1 {
		a.x.h.deps.Logger.Log(eventRetried, telemetry.Value("request_id", a.x.id), telemetry.Peer(a.target.Name),
			telemetry.Value("digest", a.x.digestText()), telemetry.Value("attempt", a.number),
			telemetry.Value("after", a.x.dispatch.last.Fault.String()))
	}
	a.x.h.budget.attemptedAt(a.target.Name, &a.x.snap.Document.Retry)
	return attemptEnd{}
}

// send sends the request and waits for the answer's head.
func (a *attempt) send() attemptEnd {
	req := a.outgoing()
	a.sentAt = a.x.h.deps.Clock.Now()
	a.x.h.regions.recordSent(a.target.Region)
	if a.target.Region != a.x.h.deps.VM.Region {
		a.x.h.recordRemote(a.x)
	}
	a.watch.start(a.stream != nil)
	a.armHedge()
	resp, err := a.conn.RoundTrip(req)
	if err != nil {
		return a.sendFailed(err)
	}
	a.watch.receiving()
	a.resp = resp
	return attemptEnd{}
}

func (a *attempt) sendFailed(err error) attemptEnd {
	step := outcome.StepWait
	if watchPhase(a.watch.phase.Load()) == watchSend {
		step = outcome.StepSend
	}
	end := attemptEnd{Step: step, Fault: a.faultOr(FaultBroken), Err: err}
	end.Sent = !a.conn.Untouched()
	if !end.Sent {
		end.Step = outcome.StepSend
	}
	a.blameCaller(&end)
	end.Stale = end.Fault == FaultBroken && a.conn.Stale(a.x.h.deps.Clock.Now().Sub(a.sentAt))
	return end
}

// blameCaller corrects the fault if the caller's body failed.
func (a *attempt) blameCaller(end *attemptEnd) {
	if a.stream == nil {
		return
	}
	err := a.stream.failure()
	switch {
	case err == nil:
		return
	case errors.Is(err, errBodyTooLarge):
		end.Fault, end.Status = FaultCallerSlow, http.StatusRequestEntityTooLarge
	case a.stream.timedOut():
		end.Fault = FaultCallerSlow
	default:
		end.Fault = FaultCallerGone
	}
	end.Err = err
}

// consumed reports whether the caller's body was read and not kept. Otherwise it passes the right to
// read it to the next attempt.
func (a *attempt) consumed() bool {
	if a.stream == nil {
		return false
	}
	next, ok := a.stream.revoke()
	if ok {
		a.x.stream = next
	}
	return !ok
}

// faultOr returns the fault that ended the attempt's context, or another.
func (a *attempt) faultOr(otherwise Fault) Fault {
	if cause := context.Cause(a.ctx); cause != nil {
		return faultOf(cause, FaultCallerGone)
	}
	return otherwise
}

// releaseConn releases connection and slot.
func (a *attempt) releaseConn(end *attemptEnd) {
	if end.Fault != FaultNone && a.conn != nil {
		a.conn.Drop()
		end.Consumed = end.Consumed || a.consumed()
	}
	switch end.Fault {
	case FaultSilent:
		a.x.h.conns.Suspect(a.target)
	case FaultCrossed:
		a.x.h.conns.Distrust(a.target)
	}
	a.release(end)
}

// release releases the slot, once.
func (a *attempt) release(end *attemptEnd) {
	if a.permit == nil || a.released {
		return
	}
	a.released = true
	inFlight, _ := a.reportedLoad()
	r := admission.Result{
		Outcome:     outcome.Answered,
		Step:        outcome.StepComplete,
		Connect:     a.opening,
		Latency:     a.x.h.deps.Clock.Now().Sub(a.sentAt),
		ShedByPeer:  end.Fault == FaultShed,
		Misdirected: end.Misdirected,
		NoListener:  end.NoListener,
		Draining:    a.draining,
		Backoff:     a.backoff,
		InFlight:    inFlight,
		Load:        a.load,
		Canceled:    end.Stale || end.Fault == FaultCallerGone || end.Fault == FaultCallerSlow,
	}
	if a.resp != nil {
		r.Status = a.resp.StatusCode
	}
	if end.Fault != FaultNone {
		r.Step = end.Step
		r.Outcome = outcome.Unknown
		if !end.Sent || end.Fault == FaultShed {
			r.Outcome = outcome.NotRun
		}
	}
	a.permit.Release(r)
}

// newWatchdog returns the watchdog of an attempt. It reserves half of the remaining time for another
// attempt if one is allowed.
func (a *attempt) newWatchdog() *watchdog {
	x := a.x
	stream, target := x.stream, a.target.Name
	silent := attemptEnd{Step: outcome.StepWait, Fault: FaultSilent, Sent: true, Consumed: stream != nil}
	mayRetry := !a.hedged && !x.snap.Document.Retry.Patient && x.dispatch.mayRetry(silent)
	return &watchdog{
		cancel:      a.cancel,
		firstByte:   x.deadline.Sub(x.h.deps.Clock.Now()) / 2,
		idle:        x.snap.Document.Limits.IdleTimeoutMS.Duration(),
		giveUp:      func() bool { return mayRetry && x.retryAllowed(target) },
		callerWaits: func() bool { return stream != nil && stream.waiting.Load() },
	}
}

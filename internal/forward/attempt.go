package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/measure"
	"masticturn/internal/outcome"
	"masticturn/internal/targetconn"
)

// connectTimeout bounds the opening of a connection: some round trips between
// the regions that are farthest apart.
const connectTimeout = time.Second

// attempt is one try at one target.
type attempt struct {
	x        *exchange
	ctx      context.Context
	permit   admission.Permit
	target   *config.TargetIndex
	conn     *targetconn.Conn
	watch    *watchdog
	stream   *upload
	resp     *http.Response
	sentAt   time.Time
	inFlight int // load the target reported; -1 unknown
	draining bool
	released bool
}

// attempt makes one attempt and gives back what it held.
func (x *exchange) attempt(ctx context.Context) attemptEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{x: x, ctx: ctx, inFlight: -1}
	end := a.run(cancel)
	if a.target != nil {
		end.Peer = a.target.Name
	}
	a.giveBack(&end)
	return end
}

func (a *attempt) run(cancel context.CancelCauseFunc) attemptEnd {
	if end := a.admit(); end.Fault != FaultNone {
		return end
	}
	if end := a.connect(); end.Fault != FaultNone {
		return end
	}
	a.watch = a.x.newWatchdog(cancel, a.target.Name)
	defer a.watch.stop()
	if end := a.send(); end.Fault != FaultNone {
		return end
	}
	defer a.resp.Body.Close()
	if end := a.check(); end.Fault != FaultNone {
		return end
	}
	return a.relay()
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
		Exclude:      x.tried,
		Retry:        x.dispatch.attempts > 1,
	})
	if err != nil {
		return attemptEnd{Step: outcome.StepAdmit, Fault: a.faultOr(FaultRefused), Err: err}
	}
	a.permit = permit
	a.target = permit.Target()
	x.tried = append(x.tried, a.target.Name)
	return attemptEnd{}
}

// connect gets a connection. A request that may not be repeated goes on a
// fresh one: a reused one may have been closed by the target a moment ago,
// which would leave the request's outcome unknown.
func (a *attempt) connect() attemptEnd {
	use := targetconn.UseAny
	if !a.x.repeatable {
		use = targetconn.UseFresh
	}
	ctx, cancel := context.WithTimeout(a.ctx, connectTimeout)
	defer cancel()
	conn, err := a.x.h.conns.Get(ctx, a.target, connectionShare(a.x.snap, a.target), use)
	if err != nil {
		return attemptEnd{Step: outcome.StepConnect, Fault: a.faultOr(FaultRefused), Err: err}
	}
	a.conn = conn
	a.x.h.budget.attemptedAt(a.target.Name, a.x.snap.Document.Retry.BudgetFraction)
	return attemptEnd{}
}

// connectionShare returns how many of a target's connections this VM may have,
// so that all VMs together keep the target's limit.
func connectionShare(s *config.Snapshot, t *config.TargetIndex) int {
	return t.Connections / max(s.Document.Fleet.MaxVMs, 1)
}

// send sends the request and waits for the answer's head.
func (a *attempt) send() attemptEnd {
	req := a.outgoing()
	a.sentAt = a.x.h.deps.Clock.Now()
	a.watch.start(a.stream != nil)
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
	return end
}

// blameCaller corrects the fault when the caller's body is what failed.
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

// outgoing makes the request to the target. The caller's header map is used as
// it is for the first attempt and copied for further ones, as the connection
// of an earlier one may still read it.
func (a *attempt) outgoing() *http.Request {
	x := a.x
	header := x.r.Header
	if x.dispatch.attempts > 1 {
		header = header.Clone()
	}
	left := x.deadline.Sub(x.h.deps.Clock.Now()).Milliseconds()
	setOne(header, edge.HeaderTargetRequestID, x.id)
	setOne(header, edge.HeaderTargetDeadlineMS, strconv.FormatInt(max(left, 1), 10))
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // none is added by the library
	}
	req := &http.Request{
		Method:     x.r.Method,
		URL:        a.url(),
		Host:       x.r.Host,
		Header:     header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Body:       http.NoBody,
	}
	switch {
	case x.stream != nil:
		a.stream = x.stream
		a.stream.watch = a.watch
		req.Body = a.stream
		req.ContentLength = x.r.ContentLength
		req.Trailer = x.r.Trailer
	case len(x.body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(x.body))
		req.ContentLength = int64(len(x.body))
	}
	return req.WithContext(a.ctx)
}

func (a *attempt) url() *url.URL {
	from := a.x.r.URL
	return &url.URL{
		Scheme:     "http",
		Host:       a.target.Address,
		Path:       from.Path,
		RawPath:    from.RawPath,
		RawQuery:   from.RawQuery,
		ForceQuery: from.ForceQuery,
	}
}

// check looks at the answer's head before a byte goes to the caller.
func (a *attempt) check() attemptEnd {
	h := a.resp.Header
	a.observe(h)
	end := attemptEnd{Step: outcome.StepReceive, Sent: true, Consumed: a.consumed()}
	if id := first(h, edge.HeaderTargetRequestID); id != "" && id != a.x.id {
		end.Fault = FaultCrossed
		end.Err = fmt.Errorf("the answer carries request id %q", id)
		return end
	}
	if a.resp.StatusCode == http.StatusServiceUnavailable {
		return a.unavailable(end)
	}
	if a.resp.StatusCode == http.StatusSwitchingProtocols {
		end.Fault = FaultShort
		end.Err = errors.New("the target switched protocols unasked")
		return end
	}
	if a.resp.ContentLength < 0 && len(a.resp.TransferEncoding) == 0 && a.resp.Body != http.NoBody {
		end.Fault = FaultShort
		end.Err = errors.New("the answer has neither a length nor chunks, so that its end can't be told from a cut")
		return end
	}
	return attemptEnd{}
}

// unavailable handles a 503: shed by protocol, or an answer like any other,
// which is relayed unless another attempt is possible.
func (a *attempt) unavailable(end attemptEnd) attemptEnd {
	h := a.resp.Header
	end.RetryAfter = parseRetryAfter(first(h, "Retry-After"), a.x.h.deps.Clock.Now())
	if first(h, edge.HeaderTargetNotRun) == "1" {
		end.Fault = FaultShed
		end.Err = errors.New("the target answered that it did not run the request")
		return end
	}
	end.Fault = FaultUnavailable
	if a.x.dispatch.mayRetry(end) && a.x.h.budget.available(a.target.Name) {
		return end
	}
	return attemptEnd{}
}

// observe reads the target's own word on its load.
func (a *attempt) observe(h http.Header) {
	var slots int
	a.inFlight, slots = parseLoad(first(h, edge.HeaderTargetLoad))
	a.draining = first(h, edge.HeaderTargetDraining) == "1"
	shed := first(h, edge.HeaderTargetNotRun) == "1"
	if !a.draining && !shed {
		return
	}
	a.x.h.deps.Measure.Observe(measure.Observation{
		Target:   a.target.Name,
		Draining: a.draining,
		Shed:     shed,
		InFlight: a.inFlight,
		Slots:    slots,
	})
}

// consumed reports whether the caller's body was read and is not kept. When it
// was not read, the next attempt may read it and this one no longer can.
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

// giveBack ends the attempt's hold on connection and slot.
func (a *attempt) giveBack(end *attemptEnd) {
	if end.Fault != FaultNone && a.conn != nil {
		a.conn.Drop()
		end.Consumed = end.Consumed || a.consumed()
	}
	if end.Fault == FaultSilent {
		a.x.h.conns.Suspect(a.target)
	}
	a.release(end)
}

// release gives the slot back, once.
func (a *attempt) release(end *attemptEnd) {
	if a.permit == nil || a.released {
		return
	}
	a.released = true
	r := admission.Result{
		Outcome:    outcome.Answered,
		Step:       outcome.StepComplete,
		Latency:    a.x.h.deps.Clock.Now().Sub(a.sentAt),
		ShedByPeer: end.Fault == FaultShed,
		Draining:   a.draining,
		InFlight:   a.inFlight,
		Canceled:   end.Fault == FaultCallerGone || end.Fault == FaultCallerSlow,
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

// newWatchdog returns the watchdog of an attempt. While another attempt is
// allowed, half of what is left of the deadline is kept for it.
func (x *exchange) newWatchdog(cancel context.CancelCauseFunc, target string) *watchdog {
	left := x.deadline.Sub(x.h.deps.Clock.Now())
	stream := x.stream
	silent := attemptEnd{Step: outcome.StepWait, Fault: FaultSilent, Sent: true, Consumed: stream != nil}
	mayRetry := x.dispatch.mayRetry(silent)
	return &watchdog{
		cancel:      cancel,
		firstByte:   left / 2,
		idle:        x.snap.Document.Limits.IdleTimeoutMS.Duration(),
		giveUp:      func() bool { return mayRetry && x.h.budget.available(target) },
		callerWaits: func() bool { return stream != nil && stream.waiting.Load() },
	}
}

// retryRule returns the rule of this request.
func (x *exchange) retryRule(c *config.Retry) retryRule {
	return retryRule{
		repeatable:  x.repeatable,
		maxAttempts: c.MaxAttempts,
		deadline:    x.deadline,
		spend:       x.h.budget.spend,
		backoff:     x.backoff(c),
	}
}

// backoff returns the waits between attempts: doubled each time, with jitter.
func (x *exchange) backoff(c *config.Retry) func() time.Duration {
	var b *backoff.ExponentialBackOff
	return func() time.Duration {
		if b == nil {
			b = backoff.NewExponentialBackOff()
			b.InitialInterval = max(c.BackoffMS.Duration(), time.Millisecond)
			b.Multiplier = 2
		}
		return b.NextBackOff()
	}
}

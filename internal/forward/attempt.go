package forward

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/outcome"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

// connectTimeout limits the time to open a connection.
const connectTimeout = time.Second

// attempt is one attempt to send a request to one target.
type attempt struct {
	x           *exchange
	requestCtx  context.Context // of the request
	ctx         context.Context
	cancel      context.CancelCauseFunc
	number      int      // 1 for the first attempt of the request
	exclude     []string // names of targets already tried
	hedged      bool     // this is the second attempt of a hedge
	newConnOnly bool     // don't use an idle connection, as one was stale
	undelivered bool     // another VM could not connect to the target for this attempt
	hedge       *hedge   // nil if there is none
	permit      admission.Permit
	target      *config.TargetIndex
	conn        *targetconn.Conn
	keepConn    bool // the connection may be reused after the exchange
	watchdog    *watchdog
	stream      *upload
	resp        *http.Response
	trailers    []string // names of the response's trailers; its map is written while the body is received
	sentAt      time.Time
	connectTime time.Duration // time to open the connection; 0: it was already open, or goes through another VM
	carrier     string        // VM through which the connection goes; empty: it is direct
	tunnelID    string
	load        *edge.Load // load reported by the target; nil: none
	draining    bool
	backoff     time.Duration // Retry-After of the target; 0: none
	released    bool
}

func (x *exchange) newAttempt(parent context.Context, number int, exclude []string) *attempt {
	a := &attempt{x: x, requestCtx: parent, number: number, exclude: exclude}
	a.ctx, a.cancel = context.WithCancelCause(parent)
	return a
}

// attempt makes one attempt, with a hedge if one starts, and releases its resources.
func (x *exchange) attempt(ctx context.Context) attemptResult {
	a := x.newAttempt(ctx, x.dispatch.attempts, x.tried)
	a.newConnOnly = x.newConnOnly
	defer a.cancel(nil)
	result := a.roundTrip()
	x.recordTried(a, &result)
	if a.hedge != nil {
		if second, secondResult := a.hedge.resolve(result.Fault); second != nil {
			a.discard(&result)
			x.dispatch.recordHedgeWon(result)
			defer second.cancel(nil)
			x.recordTried(second, &secondResult)
			a, result = second, secondResult
		}
	}
	if result.Fault == FaultNone {
		result = a.relay()
	}
	a.finish(&result)
	return result
}

// recordTried excludes an attempt's target from further attempts, unless the connection was stale.
func (x *exchange) recordTried(a *attempt, result *attemptResult) {
	x.newConnOnly = x.newConnOnly || result.Stale
	x.carrier, x.tunnelID = a.carrier, a.tunnelID
	if a.target != nil && !result.Stale {
		x.tried = append(x.tried, a.target.Name)
	}
}

// roundTrip sends the request and checks the head of the response.
func (a *attempt) roundTrip() attemptResult {
	if result := a.acquire(); result.Fault != FaultNone {
		return result
	}
	a.watchdog = a.newWatchdog()
	if result := a.send(); result.Fault != FaultNone {
		return result
	}
	return a.checkHead()
}

// acquire acquires a slot and a connection. If the slot is lost in the meantime, for example because
// this process was paused, another one is acquired before anything is sent.
func (a *attempt) acquire() attemptResult {
	for {
		if result := a.admit(); result.Fault != FaultNone {
			return result
		}
		if result := a.checkStopping(); result.Fault != FaultNone {
			return result // without a connect, as the attempt may be canceled already
		}
		if result := a.connect(); result.Fault != FaultNone {
			return result
		}
		if result := a.recheckQuarantine(); result.Fault != FaultNone {
			return result
		}
		if result := a.checkStopping(); result.Fault != FaultNone {
			return result
		}
		checked, ok := a.permit.(admission.Checked)
		if !ok || checked.Valid() {
			return attemptResult{}
		}
		a.conn.Drop()
		a.permit.Release(admission.Result{Outcome: outcome.NotRun, Step: outcome.StepConnect, InFlight: -1, Canceled: true})
		a.conn, a.permit, a.target = nil, nil, nil
	}
}

// finish releases the attempt's resources.
func (a *attempt) finish(result *attemptResult) {
	if a.watchdog != nil {
		a.watchdog.stop()
	}
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if a.target != nil {
		result.Peer = a.target.Name
	}
	a.probeIfBroken(result)
	a.releaseConn(result)
}

func (a *attempt) admit() attemptResult {
	x := a.x
	defer x.h.unadmitted.add(a)()
	if x.h.sendingStopped.Load() {
		return stoppedResult()
	}
	permit, err := x.h.deps.Admission.Acquire(a.ctx, &admission.Request{
		ID:           x.id,
		Service:      x.match.Service,
		Class:        x.match.Class,
		Tenant:       x.match.Route.Tenant,
		Customer:     x.customerName(),
		CallerRegion: x.region,
		Bytes:        max(x.r.ContentLength, 0),
		Deadline:     x.deadline,
		Arrived:      x.startedAt,
		Rule:         x.match.Rule,
		ObjectKey:    x.objectKey(),
		Exclude:      a.exclude,
		Retry:        a.number > 1,
	})
	if err != nil && context.Cause(a.ctx) == errStopping {
		return stoppedResult()
	}
	if err != nil {
		return attemptResult{Step: outcome.StepAdmit, Fault: a.contextFault(FaultRefused), Err: err}
	}
	a.permit = permit
	a.target = permit.Target()
	x.h.regions.recordPlaced(a.target.Region)
	return attemptResult{}
}

// connect acquires a connection. A request that is not repeatable needs a new or very recently used
// one: any other may be stale, which would leave the outcome unknown.
func (a *attempt) connect() attemptResult {
	use := targetconn.UseAny
	switch {
	case !a.x.repeatable:
		use = targetconn.UseRecent
	case a.newConnOnly:
		use = targetconn.UseNew
	}
	ctx, cancel := context.WithTimeout(a.ctx, connectTimeout)
	defer cancel()
	policy := connectionPolicyOf(a.x.snap, a.target)
	a.keepConn = policy.keep
	conn, err := a.x.h.conns.Get(ctx, a.target, policy.limit, use, a.reach())
	if err != nil {
		return attemptResult{
			Step:       outcome.StepConnect,
			Fault:      a.contextFault(FaultRefused),
			NoListener: errors.Is(err, syscall.ECONNREFUSED),
			Err:        err,
		}
	}
	a.conn = conn
	a.connectTime = conn.ConnectTime()
	if !conn.Reused() && !conn.Relayed() {
		a.x.h.regions.recordConnected(a.target.Region)
	}
	a.carrier, a.tunnelID = conn.Carrier()
	if a.number > 1 {
		a.x.h.deps.Logger.Log(eventRequestRetried, telemetry.Value("request_id", a.x.id), telemetry.Peer(a.target.Name),
			telemetry.Value("digest", a.x.digestText()), telemetry.Value("attempt", a.number),
			telemetry.Value("after", a.x.dispatch.last.Fault.String()))
	}
	a.x.h.retryBudget.depositForTarget(a.target.Name, &a.x.snap.Document.Retry)
	return attemptResult{}
}

// maxRelayedBodyBytes is the size of the largest body of a request that is sent before the VM that carries it has
// connected to the target. Larger ones take several round trips, beside which one more matters little.
const maxRelayedBodyBytes = 16 << 10

// reach returns through which VMs the attempt's request may be sent.
func (a *attempt) reach() targetconn.Reach {
	x := a.x
	r := targetconn.Reach{
		Relay:      x.stream == nil && len(x.body) <= maxRelayedBodyBytes && !a.undelivered, // a streamed body can't be sent again
		Repeatable: x.repeatable,
	}
	if x.match.Rule != nil {
		r.Regions = x.match.Rule.AllowedRegions
	}
	return r
}

// send sends the request and waits for the head of the response.
func (a *attempt) send() attemptResult {
	req := a.newRequest()
	a.sentAt = a.x.h.deps.Clock.Now()
	a.x.h.regions.recordSent(a.target.Region)
	if a.target.Region != a.x.h.deps.VM.Region {
		a.x.h.recordRemote(a.x)
	}
	a.watchdog.start(a.stream != nil)
	a.armHedge()
	defer a.awaitResponse()()
	resp, err := a.conn.RoundTrip(a.ctx, req)
	if err != nil && !a.undelivered && a.conn.Undelivered() {
		return a.resendDirectly()
	}
	if isMalformed(err) {
		return attemptResult{Step: outcome.StepReceive, Fault: FaultMalformed, Sent: true, Err: err}
	}
	if err != nil {
		return a.sendFailure(err)
	}
	a.watchdog.responseProgress()
	a.resp = resp
	a.trailers = slices.Collect(maps.Keys(resp.Trailer))
	return attemptResult{}
}

// resendDirectly sends a request that did not reach the target through another VM on a connection of this VM.
func (a *attempt) resendDirectly() attemptResult {
	a.undelivered = true
	a.conn.Drop()
	a.watchdog.stop()
	if result := a.connect(); result.Fault != FaultNone {
		return result
	}
	if result := a.checkStopping(); result.Fault != FaultNone {
		return result
	}
	a.watchdog = a.newWatchdog()
	return a.send()
}

// isMalformed reports whether the target's response is not valid.
func isMalformed(err error) bool {
	var malformed *targetconn.MalformedError
	return errors.As(err, &malformed)
}

func (a *attempt) sendFailure(err error) attemptResult {
	step := outcome.StepWait
	if watchPhase(a.watchdog.phase.Load()) == watchSend {
		step = outcome.StepSend
	}
	result := attemptResult{Step: step, Fault: a.contextFault(FaultConnectionBroken), Err: err}
	// Seal returns true if no byte of the request was written.
	result.Sent = !a.conn.Seal()
	if !result.Sent {
		result.Step = outcome.StepSend
	}
	a.applyUploadError(&result)
	result.Stale = result.Fault == FaultConnectionBroken && a.conn.DetectStale(a.x.h.deps.Clock.Now().Sub(a.sentAt))
	return result
}

// applyUploadError replaces the fault if reading the caller's body failed.
func (a *attempt) applyUploadError(result *attemptResult) {
	if a.stream == nil {
		return
	}
	err := a.stream.err()
	switch {
	case err == nil:
		return
	case errors.Is(err, errBodyTooLarge):
		result.Fault, result.Status = FaultCallerSlow, http.StatusRequestEntityTooLarge
	case a.stream.timedOut():
		result.Fault = FaultCallerSlow
	default:
		result.Fault = FaultCallerGone
	}
	result.Err = err
}

// revokeUpload stops this attempt from reading the caller's body and reports whether a part was
// already read and not buffered. If not, the next attempt can read the body.
func (a *attempt) revokeUpload() bool {
	if a.stream == nil {
		return false
	}
	next, ok := a.stream.revoke()
	if ok {
		a.x.stream = next
	}
	return !ok
}

// contextFault returns the fault that canceled the attempt's context, or else otherwise.
func (a *attempt) contextFault(otherwise Fault) Fault {
	if cause := context.Cause(a.ctx); cause != nil {
		return faultOf(cause, FaultCallerGone)
	}
	return otherwise
}

// releaseConn releases the connection and the slot.
func (a *attempt) releaseConn(result *attemptResult) {
	if result.Fault != FaultNone && a.conn != nil {
		a.conn.Drop()
		result.Consumed = result.Consumed || a.revokeUpload()
	}
	switch result.Fault {
	case FaultTargetTimeout:
		a.x.h.conns.DropIdle(a.target)
	case FaultMismatched:
		a.x.h.conns.RestrictReuse(a.target)
	}
	a.release(result)
}

// release releases the slot. Further calls have no effect.
func (a *attempt) release(result *attemptResult) {
	if a.permit == nil || a.released {
		return
	}
	a.released = true
	inFlight, _ := a.reportedLoad()
	r := admission.Result{
		Outcome:     outcome.Answered,
		Step:        outcome.StepComplete,
		Connect:     a.connectTime,
		Latency:     a.x.h.deps.Clock.Now().Sub(a.sentAt),
		ShedByPeer:  result.Fault == FaultShed,
		Misdirected: result.Misdirected,
		NoListener:  result.NoListener,
		Draining:    a.draining,
		Backoff:     a.backoff,
		InFlight:    inFlight,
		Load:        a.load,
		Canceled:    result.Stale || result.Fault == FaultCallerGone || result.Fault == FaultCallerSlow,
	}
	if a.resp != nil {
		r.Status = a.resp.StatusCode
	}
	if result.Fault != FaultNone {
		r.Step = result.Step
		r.Outcome = outcome.Unknown
		if !result.Sent || result.Fault == FaultShed {
			r.Outcome = outcome.NotRun
		}
	}
	a.permit.Release(r)
}

// newWatchdog returns the watchdog of an attempt. The target has half of the remaining time to send its
// first byte, so that the other half is left for another attempt if one is allowed.
func (a *attempt) newWatchdog() *watchdog {
	x := a.x
	stream, target := x.stream, a.target.Name
	timedOut := attemptResult{Step: outcome.StepWait, Fault: FaultTargetTimeout, Sent: true, Consumed: stream != nil}
	mayRetry := !a.hedged && !x.snap.Document.Retry.Patient && x.dispatch.mayRetry(timedOut)
	return &watchdog{
		cancel:           a.cancel,
		firstByteTimeout: x.deadline.Sub(x.h.deps.Clock.Now()) / 2,
		idleTimeout:      x.snap.Document.Limits.IdleTimeoutMS.Duration(),
		abandon:          func() bool { return mayRetry && x.retryAllowed(target) },
		waitingForCaller: func() bool { return stream != nil && stream.waitingForCaller.Load() },
	}
}

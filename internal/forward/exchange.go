package forward

import (
	"context"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/customer"
	"masticturn/internal/digest"
	"masticturn/internal/idempotency"
	"masticturn/internal/outcome"
	"masticturn/internal/quarantine"
	"masticturn/internal/relaybuf"
	"masticturn/internal/telemetry"
)

// exchange is the state of one caller's request.
type exchange struct {
	h         *Handler
	w         http.ResponseWriter
	r         *http.Request
	rc        *http.ResponseController
	startedAt time.Time // when handling began
	// receivedAt is when the request was received. It is before startedAt if the request has waited for the
	// answer to the one before it.
	receivedAt time.Time

	keysCurrent bool // API keys of snap are accepted
	snap        *config.Snapshot
	match       config.Match
	customer    *customer.Customer // nil: the route needs none
	id          string
	repeatable  bool
	deadline    time.Time
	region      string // of the caller

	headDigest    digest.Head
	requestDigest digest.Digest // zero if the body is streamed and was not read ahead
	body          []byte        // whole body, if it is small
	stream        *upload       // larger body; nil if there is none
	reservedBytes int64         // memory reserved to read the body ahead, in bytes
	claim         idempotency.Claim
	// relayReservation is the memory reserved for the response; nil before it is reserved.
	relayReservation *relaybuf.Reservation
	recorder         *responseRecorder // nil if there is no claim
	lease            *quarantine.Lease // nil: the request needs none
	probeDone        <-chan struct{}   // closed once it is known whether the last target crashed; nil: no probe

	dispatch      dispatch
	tried         []string
	servedRegion  string        // region of the target that answered
	status        int           // of the target's response
	targetLatency time.Duration // from sending the request to the head of the response
	headWritten   bool          // the response head was sent to the caller
	callerGone    bool          // the caller disconnected while its run with an idempotency key continues
	newConnOnly   bool          // a connection was stale, so further attempts open new ones
	carrier       string        // VM through which the last attempt went; empty: it was direct
	tunnelID      string
}

// serve handles the request from parsing to the final response.
func (x *exchange) serve() {
	defer x.releaseQuarantine()
	defer func() { x.relayReservation.Release() }()
	err := x.prepare()
	if err == nil && x.claim != nil && x.claim.Replay() != nil {
		x.replay(x.claim.Replay())
		return
	}
	if err == nil {
		err = x.run()
	}
	x.complete(err)
}

// prepare runs the steps from parsing to the claim of the idempotency key.
func (x *exchange) prepare() *outcome.Error {
	if err := x.parse(); err != nil {
		return err
	}
	if err := x.route(); err != nil {
		return err
	}
	if err := x.identifyCustomer(); err != nil {
		return err
	}
	if err := x.checkRateLimit(); err != nil {
		return err
	}
	if err := x.chooseService(); err != nil {
		return err
	}
	if err := x.reserveRelayMemory(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	return x.claimIdempotencyKey()
}

// notRunError returns the error of a request that was not run.
func notRunError(step outcome.Step, status int, reason string) *outcome.Error {
	return &outcome.Error{Outcome: outcome.NotRun, Step: step, Status: status, Reason: reason}
}

func (x *exchange) parse() *outcome.Error {
	x.rc = http.NewResponseController(x.w)
	d := x.h.deps.Dialect
	x.id = headerValue(x.r.Header, d.RequestID)
	if d.GenerateRequestID && !validRequestID(x.id) {
		x.id = newRequestID()
	}
	if !x.r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunked encoding, so a truncated response would go undetected.
		return notRunError(outcome.StepParse, http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	if x.h.refusing.Load() {
		return stoppingError(outcome.StepParse)
	}
	x.keysCurrent = x.h.keysAreCurrent()
	x.snap = x.h.deps.Config.Current()
	if x.snap == nil {
		err := notRunError(outcome.StepParse, http.StatusServiceUnavailable, "this VM has no document yet")
		err.RetryAfter = time.Second
		return err
	}
	return nil
}

// leavingRetryAfter is the Retry-After while this VM leaves, jittered to spread the callers.
const leavingRetryAfter = 50 * time.Millisecond

// stoppingError returns the error of a request that this VM does not run because it is about to stop.
func stoppingError(step outcome.Step) *outcome.Error {
	err := notRunError(step, http.StatusServiceUnavailable, "this VM is about to stop")
	err.RetryAfter = leavingRetryAfter
	return err
}

func newRequestID() string {
	var raw [16]byte
	for i := range 2 {
		v := rand.Uint64()
		for j := range 8 {
			raw[8*i+j] = byte(v >> (8 * j))
		}
	}
	return hex.EncodeToString(raw[:])
}

func (x *exchange) route() *outcome.Error {
	m, ok := x.snap.MatchRequest(x.r.Host, x.r.Method, x.r.URL.Path)
	if !ok || m.Class == nil {
		return notRunError(outcome.StepRoute, http.StatusNotFound, "no service is routed at this path and method")
	}
	x.match = m
	x.repeatable = m.Repeatable && headerValue(x.r.Header, x.h.deps.Dialect.NoRetry) != "1"
	x.region = x.h.callerPlace(x.r).Region
	x.h.regions.recordReceived(x.region)
	x.deadline = x.receivedAt.Add(x.timeout())
	if x.r.ContentLength > x.maxBody() {
		return notRunError(outcome.StepRoute, http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	if m.Route.RequireKey && headerValue(x.r.Header, x.h.deps.Dialect.IdempotencyKey) == "" {
		return notRunError(outcome.StepRoute, http.StatusBadRequest, "the "+x.h.deps.Dialect.IdempotencyKey+" header is required here")
	}
	return nil
}

// chooseService picks one of the rule's services if routing has not.
func (x *exchange) chooseService() *outcome.Error {
	if x.match.Service == nil {
		x.match.Service = x.h.splitter.service(x.snap, x.match.Rule)
	}
	if x.match.Service == nil {
		return notRunError(outcome.StepRoute, http.StatusServiceUnavailable, "the service of this route is not known")
	}
	return nil
}

// timeout returns totalTimeout less a margin for sending the final response, at most the route's limit.
func (x *exchange) timeout() time.Duration {
	t := x.totalTimeout()
	t -= min(t/timeoutMarginDivisor, maxTimeoutMargin)
	if bound := x.match.Route.MaxTimeoutMS.Duration(); bound > 0 {
		return min(t, bound)
	}
	return t
}

// objectKey returns the object key of the request; "" if there is none, or if the rule has no affinity
// because its targets cache no objects.
func (x *exchange) objectKey() string {
	if r := x.match.Rule; r != nil && !r.Affinity {
		return ""
	}
	return headerValue(x.r.Header, x.h.deps.Dialect.ObjectKey)
}

func (x *exchange) totalTimeout() time.Duration {
	ms, err := strconv.ParseInt(headerValue(x.r.Header, x.h.deps.Dialect.CallerTimeoutMS), 10, 64)
	if err == nil && ms > 0 {
		return min(time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond, maxTimeout)
	}
	if t := x.match.Route.TimeoutMS; t > 0 {
		return t.Duration()
	}
	if t := x.match.Class.TimeoutMS; t > 0 {
		return t.Duration()
	}
	return defaultTimeout
}

func (x *exchange) maxBody() int64 {
	if n := x.match.Route.MaxBodyBytes; n > 0 {
		return n
	}
	return x.snap.Document.Limits.MaxBodyBytes
}

// readBody reads a small body before a slot is acquired, and prepares streaming for any other.
func (x *exchange) readBody() *outcome.Error {
	x.headDigest = x.computeHeadDigest()
	length := x.r.ContentLength
	if length == 0 {
		x.requestDigest = x.headDigest.Sum(nil)
		return nil
	}
	limits := &x.snap.Document.Limits
	x.stream = &upload{
		body:        x.r.Body,
		rc:          x.rc,
		clock:       x.h.deps.Clock,
		idleTimeout: limits.IdleTimeoutMS.Duration(),
		remaining:   x.maxBody(),
		hasher:      x.headDigest.NewHasher(),
	}
	if length < 0 || length > limits.ReplayBodyBytes || len(x.r.Trailer) > 0 {
		return nil
	}
	body, err := readBuffered(x.stream, length)
	if err != nil {
		return notRunError(outcome.StepParse, http.StatusRequestTimeout, "the body could not be read")
	}
	x.body, x.stream = body, nil
	x.requestDigest = x.headDigest.Sum(body)
	return nil
}

// claimIdempotencyKey claims the idempotency key of a request that is not repeatable.
func (x *exchange) claimIdempotencyKey() *outcome.Error {
	key := headerValue(x.r.Header, x.h.deps.Dialect.IdempotencyKey)
	if key == "" || x.repeatable {
		return nil
	}
	if x.h.deps.Keys == nil {
		return notRunError(outcome.StepClaim, http.StatusNotImplemented, "idempotency keys are not served here")
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, errDeadline)
	defer cancel()
	claim, err := x.h.deps.Keys.Claim(ctx, &idempotency.Request{
		Service:     x.match.Service.Name,
		Key:         key,
		Fingerprint: idempotency.FingerprintOf(x.r.Method, x.r.URL.RequestURI(), x.body),
		Deadline:    x.deadline,
	})
	if err != nil {
		return outcome.From(err, outcome.StepClaim)
	}
	x.claim = claim
	x.recorder = &responseRecorder{limit: x.snap.Document.Limits.RecordedAnswerBytes}
	return nil
}

// run makes attempts until the request is answered or has failed.
func (x *exchange) run() *outcome.Error {
	parent := x.r.Context()
	if x.claim != nil {
		// A run with an idempotency key continues if the caller disconnects: the response is recorded.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadlineCause(parent, x.deadline, errDeadline)
	defer cancel()
	x.h.stripHeaders(x.r.Header)
	x.h.stripInternal(x.r.Trailer)
	retry := &x.snap.Document.Retry
	x.h.retryBudget.depositForService(x.match.Service.Name, retry)
	x.dispatch.policy = x.retryPolicy(retry)
	for {
		x.dispatch.startAttempt()
		result := x.attempt(ctx)
		d := x.dispatch.decide(result, x.h.deps.Clock.Now())
		x.h.faults.logDropped(x, &result)
		switch d.action {
		case actionDone:
			return nil
		case actionFail:
			return d.err
		case actionAbort:
			x.abort(d.err)
		case actionRetry:
			x.awaitProbe(ctx)
			if err := x.waitBeforeRetry(ctx, d.wait); err != nil {
				return err
			}
		}
	}
}

// waitBeforeRetry waits before the next attempt; it fails if the request ends first.
func (x *exchange) waitBeforeRetry(ctx context.Context, wait time.Duration) *outcome.Error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return x.dispatch.failure(attemptResult{Step: outcome.StepAdmit, Fault: faultOf(context.Cause(ctx), FaultCallerGone)})
	}
}

// abort aborts the caller's connection, so that a partial response is not taken for a complete one.
func (x *exchange) abort(err *outcome.Error) {
	x.recordMetrics(err)
	x.h.faults.logFailed(x, err)
	if x.claim != nil {
		x.claim.Finish(err.Outcome, nil)
	}
	panic(http.ErrAbortHandler)
}

// complete records the result, ends the claim and sends an error response if there is an error.
func (x *exchange) complete(err *outcome.Error) {
	x.recordMetrics(err)
	if err == nil {
		x.logAnswered()
	}
	if x.claim != nil {
		x.finishClaim(err)
	}
	if err != nil {
		x.h.faults.logFailed(x, err)
		writeError(x.w, x.id, err, x.h.deps.Dialect)
	}
}

func (x *exchange) logAnswered() {
	x.h.deps.Logger.Log(eventRequestAnswered, append(x.logFields(),
		telemetry.Peer(x.tried[len(x.tried)-1]),
		telemetry.Value("status", x.status),
		telemetry.Value("sent_ms", x.targetLatency.Milliseconds()))...)
}

// logFields returns the fields of the request's final log line.
func (x *exchange) logFields() []telemetry.Field {
	fields := []telemetry.Field{
		telemetry.Value("request_id", x.id),
		telemetry.Value("caller", x.r.RemoteAddr),
		telemetry.Value("attempts", x.dispatch.attempts),
		telemetry.Value("took_ms", x.h.deps.Clock.Now().Sub(x.startedAt).Milliseconds()),
	}
	if x.carrier != "" {
		fields = append(fields, telemetry.Value("carrier", x.carrier), telemetry.Value("tunnel", x.tunnelID))
	}
	if x.snap == nil {
		return fields
	}
	fields = append(fields, telemetry.GenerationOf(uint64(x.snap.Generation)))
	if r := x.match.Rule; r != nil {
		fields = append(fields,
			telemetry.Value("rule", r.Name),
			telemetry.Value("class", r.Class),
			telemetry.Value("objective_ms", int64(r.ObjectiveMS)),
			telemetry.Value("left_ms", x.totalTimeout().Milliseconds()))
	}
	if x.customer != nil {
		fields = append(fields, telemetry.Value("customer", x.customer.Name))
	}
	return fields
}

func (x *exchange) finishClaim(err *outcome.Error) {
	if err != nil {
		x.claim.Finish(err.Outcome, nil)
		return
	}
	x.claim.Finish(outcome.Answered, x.recorder.answer())
}

// faultOf returns the fault of an error or of the cause of a canceled context.
func faultOf(err error, otherwise Fault) Fault {
	switch {
	case errors.Is(err, errDeadline):
		return FaultDeadline
	case errors.Is(err, errTargetTimeout):
		return FaultTargetTimeout
	case errors.Is(err, errCallerSlow):
		return FaultCallerSlow
	case errors.Is(err, context.Canceled):
		return FaultCallerGone
	}
	return otherwise
}

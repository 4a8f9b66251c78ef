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
	"masticturn/internal/telemetry"
)

// exchange is one caller's request in progress.
type exchange struct {
	h         *Handler
	w         http.ResponseWriter
	r         *http.Request
	rc        *http.ResponseController
	startedAt time.Time

	keysCurrent bool // keys of snap may be used
	snap        *config.Snapshot
	match       config.Match
	customer    *customer.Customer // nil: none is needed
	id          string
	repeatable  bool
	deadline    time.Time
	region      string // of the caller

	head   digest.Head
	whole  digest.Digest // of the request, where its body is small
	body   []byte        // the whole body when it is small
	stream *upload       // otherwise; nil when there is no body
	kept   int64         // bytes of the body that were read ahead
	claim  idempotency.Claim
	record *recording       // nil when there is no claim
	pass   *quarantine.Pass // nil: it runs as any other
	probed <-chan struct{}  // closed once it is known whether the last run's target crashed; nil: there is none

	dispatch dispatch
	tried    []string
	served   string        // region of the target that answered
	status   int           // of its answer
	sentFor  time.Duration // from sending the request there to the answer's head
	written  bool          // the answer's head went to the caller
	gone     bool          // the caller left while its keyed run goes on
	fresh    bool          // a connection was stale: further attempts open theirs
}

// serve runs all steps of the request.
func (x *exchange) serve() {
	defer x.releaseScreen()
	err := x.prepare()
	if err == nil && x.claim != nil && x.claim.Replay() != nil {
		x.replay(x.claim.Replay())
		return
	}
	if err == nil {
		err = x.run()
	}
	x.finish(err)
}

// prepare covers the steps from parsing to the claim.
func (x *exchange) prepare() *outcome.Error {
	if err := x.parse(); err != nil {
		return err
	}
	if err := x.route(); err != nil {
		return err
	}
	if err := x.identify(); err != nil {
		return err
	}
	if err := x.takeLimit(); err != nil {
		return err
	}
	if err := x.chooseService(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	if err := x.screen(); err != nil {
		return err
	}
	return x.claimKey()
}

// refuse is the error of a request that was not run.
func refuse(step outcome.Step, status int, reason string) *outcome.Error {
	return &outcome.Error{Outcome: outcome.NotRun, Step: step, Status: status, Reason: reason}
}

func (x *exchange) parse() *outcome.Error {
	x.rc = http.NewResponseController(x.w)
	d := x.h.deps.Dialect
	x.id = first(x.r.Header, d.RequestID)
	if d.InventRequestID && !validRequestID(x.id) {
		x.id = newRequestID()
	}
	if !x.r.ProtoAtLeast(1, 1) {
		// A cut of a streamed answer would go undetected.
		return refuse(outcome.StepParse, http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed")
	}
	if x.h.refusing.Load() {
		err := refuse(outcome.StepParse, http.StatusServiceUnavailable, "this VM is about to stop")
		err.RetryAfter = leavingRetryAfter
		return err
	}
	x.keysCurrent = x.h.keysAreCurrent()
	x.snap = x.h.deps.Config.Current()
	if x.snap == nil {
		err := refuse(outcome.StepParse, http.StatusServiceUnavailable, "this VM has no document yet")
		err.RetryAfter = time.Second
		return err
	}
	return nil
}

// leavingRetryAfter is the Retry-After while this VM leaves, jittered to spread the callers.
const leavingRetryAfter = 50 * time.Millisecond

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
		return refuse(outcome.StepRoute, http.StatusNotFound, "no service is routed at this path and method")
	}
	x.match = m
	x.repeatable = m.Repeatable && first(x.r.Header, x.h.deps.Dialect.NoRetry) != "1"
	x.region = x.h.place(x.r).Region
	x.deadline = x.startedAt.Add(x.timeout())
	if x.r.ContentLength > x.maxBody() {
		return refuse(outcome.StepRoute, http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	if m.Route.RequireKey && first(x.r.Header, x.h.deps.Dialect.IdempotencyKey) == "" {
		return refuse(outcome.StepRoute, http.StatusBadRequest, "the "+x.h.deps.Dialect.IdempotencyKey+" header is required here")
	}
	return nil
}

// chooseService chooses among the services of a rule.
func (x *exchange) chooseService() *outcome.Error {
	if x.match.Service == nil {
		x.match.Service = x.h.splits.service(x.snap, x.match.Rule)
	}
	if x.match.Service == nil {
		return refuse(outcome.StepRoute, http.StatusServiceUnavailable, "the service of this route is not known")
	}
	return nil
}

// timeout is the caller's timeout, or the default of the route or class, less a margin for the
// final answer.
func (x *exchange) timeout() time.Duration {
	t := x.totalTimeout()
	t -= min(t/marginFraction, maxMargin)
	if bound := x.match.Route.MaxTimeoutMS.Duration(); bound > 0 {
		return min(t, bound)
	}
	return t
}

// objectKey returns the object of the request; "" if there is none or targets cache none.
func (x *exchange) objectKey() string {
	if r := x.match.Rule; r != nil && !r.Affinity {
		return ""
	}
	return first(x.r.Header, x.h.deps.Dialect.ObjectKey)
}

func (x *exchange) totalTimeout() time.Duration {
	ms, err := strconv.ParseInt(first(x.r.Header, x.h.deps.Dialect.CallerTimeoutMS), 10, 64)
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

// readBody reads a small body before a slot is acquired, and prepares to stream a larger one.
func (x *exchange) readBody() *outcome.Error {
	x.head = x.headDigest()
	length := x.r.ContentLength
	if length == 0 {
		x.whole = x.head.Sum(nil)
		return nil
	}
	limits := &x.snap.Document.Limits
	x.stream = &upload{
		body:  x.r.Body,
		rc:    x.rc,
		clock: x.h.deps.Clock,
		idle:  limits.IdleTimeoutMS.Duration(),
		left:  x.maxBody(),
		sum:   x.head.NewHasher(),
	}
	if length < 0 || length > limits.ReplayBodyBytes || len(x.r.Trailer) > 0 {
		return nil
	}
	body, err := readSmall(x.stream, length)
	if err != nil {
		return refuse(outcome.StepParse, http.StatusRequestTimeout, "the body could not be read")
	}
	x.body, x.stream = body, nil
	x.whole = x.head.Sum(body)
	return nil
}

// claimKey claims the idempotency key of a non-idempotent request.
func (x *exchange) claimKey() *outcome.Error {
	key := first(x.r.Header, x.h.deps.Dialect.IdempotencyKey)
	if key == "" || x.repeatable {
		return nil
	}
	if x.h.deps.Keys == nil {
		return refuse(outcome.StepClaim, http.StatusNotImplemented, "idempotency keys are not served here")
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
	x.record = &recording{limit: x.snap.Document.Limits.RecordedAnswerBytes}
	return nil
}

// run makes attempts until the request is answered or given up.
func (x *exchange) run() *outcome.Error {
	parent := x.r.Context()
	if x.claim != nil {
		// A keyed run continues without its caller, as the answer is kept.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadlineCause(parent, x.deadline, errDeadline)
	defer cancel()
	x.h.stripHeaders(x.r.Header)
	x.h.stripInternal(x.r.Trailer)
	retry := &x.snap.Document.Retry
	x.h.budget.attempted(x.match.Service.Name, retry)
	x.dispatch.rule = x.retryRule(retry)
	for {
		x.dispatch.begin()
		end := x.attempt(ctx)
		d := x.dispatch.end(end, x.h.deps.Clock.Now())
		x.h.faults.note(x, &end)
		switch d.verdict {
		case verdictDone:
			return nil
		case verdictFail:
			return d.err
		case verdictAbort:
			x.abort(d.err)
		case verdictRetry:
			x.awaitProbe(ctx)
			if err := x.pause(ctx, d.wait); err != nil {
				return err
			}
		}
	}
}

// pause waits before the next attempt.
func (x *exchange) pause(ctx context.Context, wait time.Duration) *outcome.Error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return x.dispatch.failure(attemptEnd{Step: outcome.StepAdmit, Fault: faultOf(context.Cause(ctx), FaultCallerGone)})
	}
}

// abort breaks the caller's connection, so that a partial answer is not taken for complete.
func (x *exchange) abort(err *outcome.Error) {
	x.observe(err)
	x.h.faults.failed(x, err)
	if x.claim != nil {
		x.claim.Finish(err.Outcome, nil)
	}
	panic(http.ErrAbortHandler)
}

// finish answers with an error, ends the claim and counts.
func (x *exchange) finish(err *outcome.Error) {
	x.observe(err)
	if err == nil {
		x.logAnswered()
	}
	if x.claim != nil {
		x.finishClaim(err)
	}
	if err != nil {
		x.h.faults.failed(x, err)
		writeError(x.w, x.id, err, x.h.deps.Dialect)
	}
}

func (x *exchange) logAnswered() {
	x.h.deps.Logger.Log(eventAnswered, append(x.logFields(),
		telemetry.Peer(x.tried[len(x.tried)-1]),
		telemetry.Value("status", x.status),
		telemetry.Value("sent_ms", x.sentFor.Milliseconds()))...)
}

// logFields are the fields of a request's last line.
func (x *exchange) logFields() []telemetry.Field {
	fields := []telemetry.Field{
		telemetry.Value("request_id", x.id),
		telemetry.Value("caller", x.r.RemoteAddr),
		telemetry.Value("attempts", x.dispatch.attempts),
		telemetry.Value("took_ms", x.h.deps.Clock.Now().Sub(x.startedAt).Milliseconds()),
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
	x.claim.Finish(outcome.Answered, x.record.answer())
}

// faultOf returns the fault by the cause of a canceled context or an error.
func faultOf(err error, otherwise Fault) Fault {
	switch {
	case errors.Is(err, errDeadline):
		return FaultDeadline
	case errors.Is(err, errTargetSilent):
		return FaultSilent
	case errors.Is(err, errCallerSlow):
		return FaultCallerSlow
	case errors.Is(err, context.Canceled):
		return FaultCallerGone
	}
	return otherwise
}

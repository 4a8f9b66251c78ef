package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/digest"
	"masticturn/internal/outcome"
	"masticturn/internal/quarantine"
	"masticturn/internal/telemetry"
)

const (
	// probeTimeout bounds the wait of a retry for the probe of the last target.
	probeTimeout = 300 * time.Millisecond
	// maxReadAhead bounds the memory of bodies read ahead, in bytes.
	maxReadAhead = 32 << 20
	// readAheadPiece is the step in which that memory is reserved, in bytes.
	readAheadPiece = 64 << 10
	// readAheadRetryAfter is the retry advice if it is used up.
	readAheadRetryAfter = 500 * time.Millisecond
)

// subject returns the request's identity as far as it is known.
func (x *exchange) subject() quarantine.Subject {
	var s quarantine.Subject
	s.Whole, _ = x.digest()
	if x.r.ContentLength != 0 {
		s.Head = x.head.Key()
	}
	if x.stream != nil {
		if lead := x.stream.lead.Load(); lead != nil {
			s.Lead = *lead
		}
	}
	return s
}

// screen rejects requests that crash targets.
func (x *exchange) screen() *outcome.Error {
	screen := x.h.deps.Screen
	if screen == nil || !screen.Active() {
		return nil
	}
	if x.stream != nil && screen.HasHead(x.head.Key()) {
		if err := x.readAhead(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, errDeadline)
	defer cancel()
	pass, refusal := screen.Enter(ctx, x.subject())
	if refusal != nil {
		return x.rejectHeld(refusal)
	}
	x.pass = pass
	return nil
}

// rejectHeld is the error of a held request. In quarantine its status is one that
// clients do not retry.
func (x *exchange) rejectHeld(r *quarantine.Refusal) *outcome.Error {
	x.h.deps.Logger.Log(eventHeldBack,
		telemetry.Value("request_id", x.id),
		telemetry.Value("digest", r.Digest.String()),
		telemetry.Value("verdict", r.Verdict.String()),
		telemetry.Value("crashes", r.Crashes),
		telemetry.Value("age_ms", r.Age.Milliseconds()),
		telemetry.Value("trials", r.Trials))
	if r.Verdict == quarantine.Quarantined {
		return refuse(outcome.StepScreen, http.StatusBadRequest, "targets have crashed while running this request; it is in quarantine")
	}
	err := refuse(outcome.StepScreen, http.StatusServiceUnavailable, "targets have crashed while running this request; another run is in progress")
	err.RetryAfter = r.RetryAfter
	return err
}

// screenAgain screens a request that may have become suspect while it waited.
func (a *attempt) screenAgain() attemptEnd {
	x := a.x
	if x.h.deps.Screen == nil || x.pass.Exclusive() {
		return attemptEnd{}
	}
	refusal := x.h.deps.Screen.Barred(x.subject())
	if refusal == nil {
		return attemptEnd{}
	}
	err := x.rejectHeld(refusal)
	a.permit.Release(admission.Result{Outcome: outcome.NotRun, Step: outcome.StepScreen, InFlight: -1, Canceled: true})
	a.released = true
	return attemptEnd{Step: outcome.StepScreen, Fault: FaultHeld, Err: err, Status: err.Status, RetryAfter: err.RetryAfter}
}

// recordAnswered records that a target answered the request.
func (x *exchange) recordAnswered() {
	if s := x.h.deps.Screen; s != nil && s.Active() {
		s.Answered(x.subject())
	}
}

// awaitProbe waits for the probe of the last target if the request has crashed others.
func (x *exchange) awaitProbe(ctx context.Context) {
	if s := x.h.deps.Screen; s == nil || x.probed == nil || !s.Active() || !s.Has(x.subject()) {
		return
	}
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	select {
	case <-x.probed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// releaseScreen releases the request's lease and body memory.
func (x *exchange) releaseScreen() {
	x.h.bodies.free(x.kept)
	if !x.pass.Exclusive() {
		return
	}
	if x.probed == nil {
		x.pass.Release()
		return
	}
	go func(pass *quarantine.Pass, probed <-chan struct{}) {
		<-probed
		pass.Release()
	}(x.pass, x.probed)
}

// readAhead reads the body of a request whose head is on record, up to the part that
// counts for its digest.
func (x *exchange) readAhead() *outcome.Error {
	var read bytes.Buffer
	for read.Len() < digest.MaxBodyBytes {
		if !x.h.bodies.reserve(readAheadPiece) {
			err := refuse(outcome.StepScreen, http.StatusServiceUnavailable, "too many bodies are read ahead")
			err.RetryAfter = readAheadRetryAfter
			return err
		}
		x.kept += readAheadPiece
		_, err := io.CopyN(&read, x.stream, readAheadPiece)
		if errors.Is(err, io.EOF) {
			x.adoptBody(read.Bytes())
			return nil
		}
		if err != nil {
			return x.bodyFailed(err)
		}
	}
	x.whole = x.stream.sum.Sum()
	x.stream = x.stream.replay(read.Bytes())
	return nil
}

// adoptBody keeps a body that was read whole. One with trailers is still streamed.
func (x *exchange) adoptBody(body []byte) {
	x.whole = *x.stream.whole.Load()
	if len(x.r.Trailer) > 0 {
		x.stream = x.stream.replay(body)
		return
	}
	x.body, x.stream = body, nil
}

// bodyFailed is the error of a body that could not be read ahead.
func (x *exchange) bodyFailed(err error) *outcome.Error {
	if errors.Is(err, errBodyTooLarge) {
		return refuse(outcome.StepScreen, http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	return refuse(outcome.StepScreen, http.StatusRequestTimeout, "the body could not be read")
}

// bodyBudget bounds the memory of bodies read ahead. Its zero value is unused.
type bodyBudget struct{ used atomic.Int64 }

func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= maxReadAhead {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) free(n int64) { b.used.Add(-n) }

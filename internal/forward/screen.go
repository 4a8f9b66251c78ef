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
	// probePatience is how long another attempt waits for the word whether the last
	// one's target crashed.
	probePatience = 300 * time.Millisecond
	// readAheadBytes bounds the bodies that are read ahead at one time.
	readAheadBytes = 32 << 20
	// readAheadPiece is by how much the memory for a body grows.
	readAheadPiece = 64 << 10
	// readAheadPause is when a caller may come back where there is no memory.
	readAheadPause = 500 * time.Millisecond
)

// subject is what is known of the request's identity.
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

// screen asks whether the request may run.
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
		return x.heldBack(refusal)
	}
	x.pass = pass
	return nil
}

// heldBack is the error of a request that may not run. One in quarantine gets a
// status after which clients do not ask again.
func (x *exchange) heldBack(r *quarantine.Refusal) *outcome.Error {
	x.h.deps.Logger.Log(eventHeldBack,
		telemetry.Value("request_id", x.id),
		telemetry.Value("digest", r.Digest.String()),
		telemetry.Value("verdict", r.Verdict.String()),
		telemetry.Value("crashes", r.Crashes),
		telemetry.Value("age_ms", r.Age.Milliseconds()),
		telemetry.Value("trials", r.Trials))
	if r.Verdict == quarantine.Quarantined {
		return refuse(outcome.StepScreen, http.StatusBadRequest, "targets have crashed under this request; it is in quarantine")
	}
	err := refuse(outcome.StepScreen, http.StatusServiceUnavailable, "targets have crashed under this request; another run of it is under way")
	err.RetryAfter = r.RetryAfter
	return err
}

// barred holds a request back of which more has become known while it waited.
func (a *attempt) barred() attemptEnd {
	x := a.x
	if x.h.deps.Screen == nil || x.pass.Alone() {
		return attemptEnd{}
	}
	refusal := x.h.deps.Screen.Barred(x.subject())
	if refusal == nil {
		return attemptEnd{}
	}
	err := x.heldBack(refusal)
	a.permit.Release(admission.Result{Outcome: outcome.NotRun, Step: outcome.StepScreen, InFlight: -1, Canceled: true})
	a.released = true
	return attemptEnd{Step: outcome.StepScreen, Fault: FaultHeld, Err: err, Status: err.Status, RetryAfter: err.RetryAfter}
}

// noteAnswered takes in that a target answered the request.
func (x *exchange) noteAnswered() {
	if s := x.h.deps.Screen; s != nil && s.Active() {
		s.Answered(x.subject())
	}
}

// awaitProbe waits a little for the word whether the last run's target crashed, where
// others have under the request.
func (x *exchange) awaitProbe(ctx context.Context) {
	if s := x.h.deps.Screen; s == nil || x.probed == nil || !s.Active() || !s.Has(x.subject()) {
		return
	}
	timer := time.NewTimer(probePatience)
	defer timer.Stop()
	select {
	case <-x.probed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// leaveScreen gives back what the request held to be screened.
func (x *exchange) leaveScreen() {
	x.h.bodies.free(x.kept)
	if !x.pass.Alone() {
		return
	}
	if x.probed == nil {
		x.pass.Return()
		return
	}
	go func(pass *quarantine.Pass, probed <-chan struct{}) {
		<-probed
		pass.Return()
	}(x.pass, x.probed)
}

// readAhead reads the body of a request that can't be told from one on record by its
// head. What is longer than counts for its identity is streamed.
func (x *exchange) readAhead() *outcome.Error {
	var read bytes.Buffer
	for read.Len() < digest.BodyMost {
		if !x.h.bodies.take(readAheadPiece) {
			err := refuse(outcome.StepScreen, http.StatusServiceUnavailable, "too many bodies are read ahead")
			err.RetryAfter = readAheadPause
			return err
		}
		x.kept += readAheadPiece
		_, err := io.CopyN(&read, x.stream, readAheadPiece)
		if errors.Is(err, io.EOF) {
			x.keepBody(read.Bytes())
			return nil
		}
		if err != nil {
			return x.bodyFailed(err)
		}
	}
	x.whole = x.stream.sum.Whole()
	x.stream = x.stream.after(read.Bytes())
	return nil
}

// keepBody takes over a body that was read whole. One with trailers is streamed still.
func (x *exchange) keepBody(body []byte) {
	x.whole = *x.stream.whole.Load()
	if len(x.r.Trailer) > 0 {
		x.stream = x.stream.after(body)
		return
	}
	x.body, x.stream = body, nil
}

// bodyFailed is the error of a body that could not be read before it was sent on.
func (x *exchange) bodyFailed(err error) *outcome.Error {
	if errors.Is(err, errBodyTooLarge) {
		return refuse(outcome.StepScreen, http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	return refuse(outcome.StepScreen, http.StatusRequestTimeout, "the body could not be read")
}

// bodyBudget bounds the memory of bodies that are read ahead. Its zero value is empty.
type bodyBudget struct{ used atomic.Int64 }

func (b *bodyBudget) take(n int64) bool {
	if b.used.Add(n) <= readAheadBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *bodyBudget) free(n int64) { b.used.Add(-n) }

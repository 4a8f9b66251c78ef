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
	// probeWaitTimeout limits how long a retry waits for the probe of the last target.
	probeWaitTimeout = 300 * time.Millisecond
	// maxReadAheadBytes limits the memory of all bodies that are read ahead.
	maxReadAheadBytes = 32 << 20
	// readAheadChunkBytes is the unit in which that memory is reserved.
	readAheadChunkBytes = 64 << 10
	// readAheadRetryAfter is the Retry-After if that memory is used up.
	readAheadRetryAfter = 500 * time.Millisecond
)

// subject returns the digests of the request that are known so far.
func (x *exchange) subject() quarantine.RequestDigests {
	var s quarantine.RequestDigests
	s.Whole, _ = x.digest()
	if x.r.ContentLength != 0 {
		s.Head = x.headDigest.Key()
	}
	if x.stream != nil {
		if lead := x.stream.leadDigest.Load(); lead != nil {
			s.Prefix = *lead
		}
	}
	return s
}

// checkQuarantine rejects requests that are suspect or quarantined because they crashed targets.
func (x *exchange) checkQuarantine() *outcome.Error {
	screen := x.h.deps.Screen
	if screen == nil || !screen.Active() {
		return nil
	}
	if x.stream != nil && screen.HasHead(x.headDigest.Key()) {
		if err := x.readAhead(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, errDeadline)
	defer cancel()
	lease, refusal := screen.Admit(ctx, x.subject())
	if refusal != nil {
		return x.quarantineError(refusal)
	}
	x.lease = lease
	return nil
}

// quarantineError logs a request held back by the quarantine and returns its error. A quarantined
// request gets a status that clients do not retry.
func (x *exchange) quarantineError(r *quarantine.Refusal) *outcome.Error {
	x.h.deps.Logger.Log(eventRequestHeldBack,
		telemetry.Value("request_id", x.id),
		telemetry.Value("digest", r.Digest.String()),
		telemetry.Value("verdict", r.Verdict.String()),
		telemetry.Value("crashes", r.Crashes),
		telemetry.Value("age_ms", r.Age.Milliseconds()),
		telemetry.Value("trials", r.FailedTrials))
	if r.Verdict == quarantine.Quarantined {
		return notRunError(outcome.StepScreen, http.StatusBadRequest, "targets have crashed while running this request; it is in quarantine")
	}
	err := notRunError(outcome.StepScreen, http.StatusServiceUnavailable, "targets have crashed while running this request; another run is in progress")
	err.RetryAfter = r.RetryAfter
	return err
}

// recheckQuarantine repeats the check for a request that may have become suspect while it waited for
// a slot and a connection.
func (a *attempt) recheckQuarantine() attemptResult {
	x := a.x
	if x.h.deps.Screen == nil || x.lease.Held() {
		return attemptResult{}
	}
	refusal := x.h.deps.Screen.Recheck(x.subject())
	if refusal == nil {
		return attemptResult{}
	}
	err := x.quarantineError(refusal)
	a.permit.Release(admission.Result{Outcome: outcome.NotRun, Step: outcome.StepScreen, InFlight: -1, Canceled: true})
	a.released = true
	return attemptResult{Step: outcome.StepScreen, Fault: FaultQuarantined, Err: err, Status: err.Status, RetryAfter: err.RetryAfter}
}

// recordAnswered tells the quarantine that a target answered the request.
func (x *exchange) recordAnswered() {
	if s := x.h.deps.Screen; s != nil && s.Active() {
		s.Answered(x.subject())
	}
}

// awaitProbe waits for the probe of the last target if the request is on record for crashes.
func (x *exchange) awaitProbe(ctx context.Context) {
	if s := x.h.deps.Screen; s == nil || x.probeDone == nil || !s.Active() || !s.Has(x.subject()) {
		return
	}
	timer := time.NewTimer(probeWaitTimeout)
	defer timer.Stop()
	select {
	case <-x.probeDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// releaseQuarantine releases the memory of the body and the lease, the latter after a probe in
// progress.
func (x *exchange) releaseQuarantine() {
	x.h.readAheadMemory.release(x.reservedBytes)
	if !x.lease.Held() {
		return
	}
	if x.probeDone == nil {
		x.lease.Release()
		return
	}
	go func(lease *quarantine.Lease, probed <-chan struct{}) {
		<-probed
		lease.Release()
	}(x.lease, x.probeDone)
}

// readAhead reads the body of a request whose head is on record for crashes, as far as the body counts
// for the digest.
func (x *exchange) readAhead() *outcome.Error {
	var prefix bytes.Buffer
	for prefix.Len() < digest.MaxBodyBytes {
		if !x.h.readAheadMemory.reserve(readAheadChunkBytes) {
			err := notRunError(outcome.StepScreen, http.StatusServiceUnavailable, "too many bodies are read ahead")
			err.RetryAfter = readAheadRetryAfter
			return err
		}
		x.reservedBytes += readAheadChunkBytes
		_, err := io.CopyN(&prefix, x.stream, readAheadChunkBytes)
		if errors.Is(err, io.EOF) {
			x.keepBody(prefix.Bytes())
			return nil
		}
		if err != nil {
			return x.bodyReadError(err)
		}
	}
	x.requestDigest = x.stream.hasher.Sum()
	x.stream = x.stream.withPrefix(prefix.Bytes())
	return nil
}

// keepBody buffers a body that was read completely. A request with trailers is still streamed.
func (x *exchange) keepBody(body []byte) {
	x.requestDigest = *x.stream.requestDigest.Load()
	if len(x.r.Trailer) > 0 {
		x.stream = x.stream.withPrefix(body)
		return
	}
	x.body, x.stream = body, nil
}

// bodyReadError returns the error of a body that could not be read ahead.
func (x *exchange) bodyReadError(err error) *outcome.Error {
	if errors.Is(err, errBodyTooLarge) {
		return notRunError(outcome.StepScreen, http.StatusRequestEntityTooLarge, errBodyTooLarge.Error())
	}
	return notRunError(outcome.StepScreen, http.StatusRequestTimeout, "the body could not be read")
}

// memoryBudget limits the memory of bodies read ahead. The zero value is ready to use.
type memoryBudget struct{ used atomic.Int64 }

func (b *memoryBudget) reserve(n int64) bool {
	if b.used.Add(n) <= maxReadAheadBytes {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *memoryBudget) release(n int64) { b.used.Add(-n) }

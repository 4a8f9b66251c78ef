package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/idempotency"
	"masticturn/internal/outcome"
	"masticturn/internal/relaybuf"
	"masticturn/internal/targetconn"
)

// relay sends the response to the caller. A short one is read completely first, so that the slot is
// released early and a partial response is never sent.
func (a *attempt) relay() attemptResult {
	buf := a.x.h.buffers.Get().(*[relayBufferBytes]byte)
	defer a.x.h.buffers.Put(buf)
	if n := a.resp.ContentLength; n >= 0 && n <= relayBufferBytes || a.resp.Body == http.NoBody {
		return a.relayWhole(buf[:])
	}
	if targetconn.IsCloseDelimited(a.resp) {
		return a.relayUndelimited(buf[:])
	}
	if n := a.resp.ContentLength; n > 0 {
		a.x.h.responseSizes.Observe(a.x.sizeKey(), n)
	}
	return a.relayStream()
}

func (a *attempt) relayWhole(buf []byte) attemptResult {
	n, err := readAll(a.resp.Body, buf)
	if err != nil {
		return a.receiveFailure(err)
	}
	a.finishReceive()
	a.x.h.responseSizes.Observe(a.x.sizeKey(), int64(n))
	a.x.writeHead(a)
	a.x.recorder.write(buf[:n])
	if n == 0 {
		return attemptResult{}
	}
	return a.writeToCaller(buf[:n])
}

// relayUndelimited buffers the beginning of a response that ends with its connection, so that a reset
// within the buffer still allows another attempt.
func (a *attempt) relayUndelimited(buf []byte) attemptResult {
	n, err := io.ReadFull(a.resp.Body, buf)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		a.resp.ContentLength = int64(n)
		a.resp.Body = http.NoBody
	case err != nil:
		return a.receiveFailure(err)
	}
	a.resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(bytes.Clone(buf[:n])), a.resp.Body), a.resp.Body}
	return a.relayStream()
}

// readAll reads a body into buf. It fails with io.ErrShortBuffer if the body is longer.
func readAll(r io.Reader, buf []byte) (int, error) {
	n := 0
	for {
		m, err := r.Read(buf[n:])
		n += m
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		if n == len(buf) {
			m, err = r.Read(make([]byte, 1))
			if m == 0 && err == io.EOF {
				return n, nil
			}
			return n, errors.Join(io.ErrShortBuffer, err)
		}
	}
}

// relayStream sends a response of any length to the caller while it is received, as far as there is memory
// at the target's pace: a target aborts a response that is left unread for seconds.
func (a *attempt) relayStream() attemptResult {
	b := relaybuf.NewBuffer(a.x.relayReservation, a.resp.ContentLength)
	var receiving sync.WaitGroup
	receiving.Go(func() { b.Receive(a.receive, a.watchdog.pause) })
	result := a.sendReceived(b)
	if result.Fault != FaultNone {
		a.cancel(context.Canceled)
	}
	b.Close()
	receiving.Wait()
	return result
}

// receive reads a part of the response. At its end it checks the trailers and releases the slot and the connection, also
// if the caller has not read it yet.
func (a *attempt) receive(p []byte) (int, error) {
	a.watchdog.resume()
	n, err := a.resp.Body.Read(p)
	if err == io.EOF {
		a.watchdog.pause()
		if err := targetconn.CheckNames(a.resp.Trailer); err != nil {
			return n, err
		}
		a.finishReceive()
		return n, err
	}
	a.watchdog.responseProgress()
	return n, err
}

// sendReceived sends a response to the caller as it is received.
func (a *attempt) sendReceived(b *relaybuf.Buffer) attemptResult {
	x := a.x
	flush := a.resp.ContentLength < 0 // without a known length, each part is forwarded as it arrives
	size := int64(0)
	for {
		part, err := b.Next()
		if err != nil && err != io.EOF {
			return a.receiveFailure(err)
		}
		if !x.headWritten {
			x.writeHead(a)
		}
		if err == io.EOF {
			x.h.responseSizes.Observe(x.sizeKey(), size)
			x.copyTrailer(a.resp.Trailer)
			return attemptResult{}
		}
		size += int64(len(part))
		x.recorder.write(part)
		if result := a.writeToCaller(part); result.Fault != FaultNone {
			return result
		}
		if flush && !x.callerGone {
			_ = x.rc.Flush()
		}
	}
}

// relayRetryAfter is the Retry-After while the memory for responses is in use.
const relayRetryAfter = 500 * time.Millisecond

// reserveRelayMemory reserves memory for a response that is expected to be large. Without it the request
// is refused: the response might be lost if the caller reads it slowly.
func (x *exchange) reserveRelayMemory() *outcome.Error {
	x.relayReservation = x.h.relayMemory.Reserve(x.h.responseSizes.Expect(x.sizeKey()))
	if x.relayReservation != nil {
		return nil
	}
	err := notRunError(outcome.StepAdmit, http.StatusServiceUnavailable, "the memory for large responses is in use")
	err.RetryAfter = relayRetryAfter
	return err
}

// sizeKey is the key by which sizes of responses are predicted.
func (x *exchange) sizeKey() string {
	if x.match.Rule != nil {
		return x.match.Rule.Name
	}
	return x.match.Service.Name + x.match.Route.PathPrefix
}

// writeToCaller sends a part of the response. If the caller of a run with an idempotency key has
// disconnected, the response is still read to its end and recorded.
func (a *attempt) writeToCaller(p []byte) attemptResult {
	x := a.x
	if x.callerGone {
		return attemptResult{}
	}
	_ = x.rc.SetWriteDeadline(x.h.deps.Clock.Now().Add(x.snap.Document.Limits.IdleTimeoutMS.Duration()))
	if _, err := x.w.Write(p); err != nil {
		if x.claim != nil {
			x.callerGone = true
			return attemptResult{}
		}
		return attemptResult{Step: outcome.StepRelay, Fault: FaultCallerGone, Sent: true, Relayed: true, Err: err}
	}
	return attemptResult{}
}

// finishReceive handles the clean end of a response: it releases the slot and the connection, which may
// be reused.
func (a *attempt) finishReceive() {
	a.x.recordAnswered()
	if a.keepConn {
		a.conn.Keep()
	} else {
		a.conn.Drop()
	}
	a.conn = nil
	a.release(&attemptResult{})
}

func (a *attempt) receiveFailure(err error) attemptResult {
	fault := FaultTruncated
	switch {
	case isMalformed(err):
		fault = FaultMalformed
	case a.stream != nil && a.stream.err() != nil:
		fault = FaultCallerGone // the response needs a request that the caller did not complete
	}
	return attemptResult{
		Step:    outcome.StepReceive,
		Fault:   a.contextFault(fault),
		Sent:    true,
		Relayed: a.x.headWritten,
		Err:     err,
	}
}

// writeHead sends the head of the target's response to the caller.
func (x *exchange) writeHead(a *attempt) {
	from := a.resp.Header
	x.h.stripHeaders(from)
	x.recorder.writeHead(a.resp.StatusCode, from)
	to := x.w.Header()
	maps.Copy(to, from)
	if x.id != "" {
		setHeader(to, x.h.deps.Dialect.RequestID, x.id)
	}
	if x.h.deps.Dialect.AddOutcomeHeaders {
		setHeader(to, edge.HeaderOutcome, outcome.Answered.String())
		setHeader(to, edge.HeaderServedRegion, a.target.Region)
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // net/http would guess one
	}
	if n := a.resp.ContentLength; n >= 0 && bodyAllowed(a.resp.StatusCode) && headerValue(to, "Content-Length") == "" {
		setHeader(to, "Content-Length", strconv.FormatInt(n, 10))
	}
	if len(a.trailers) > 0 {
		to["Trailer"] = append(to["Trailer"], a.trailers...)
	}
	x.servedRegion = a.target.Region
	x.status = a.resp.StatusCode
	x.targetLatency = x.h.deps.Clock.Now().Sub(a.sentAt)
	x.headWritten = true
	x.w.WriteHeader(a.resp.StatusCode)
}

// bodyAllowed reports whether a response of this status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (x *exchange) copyTrailer(t http.Header) { maps.Copy(x.w.Header(), t) }

// responseRecorder records a response while it is relayed, up to a limit.
type responseRecorder struct {
	limit    int64
	recorded idempotency.Response
	tooLarge bool // the response is larger than the limit
}

func (r *responseRecorder) writeHead(status int, h http.Header) {
	if r == nil {
		return
	}
	r.recorded.Status = status
	r.recorded.Header = h.Clone()
}

func (r *responseRecorder) write(p []byte) {
	if r == nil || r.tooLarge {
		return
	}
	if int64(len(r.recorded.Body)+len(p)) > r.limit {
		r.tooLarge = true
		r.recorded.Body = nil
		return
	}
	r.recorded.Body = append(r.recorded.Body, p...)
}

// answer returns the recorded response, or nil if it was too large.
func (r *responseRecorder) answer() *idempotency.Response {
	if r == nil || r.tooLarge {
		return nil
	}
	return &r.recorded
}

// replay sends a recorded response.
func (x *exchange) replay(rec *idempotency.Response) {
	to := x.w.Header()
	maps.Copy(to, rec.Header)
	setHeader(to, edge.HeaderRequestID, x.id)
	setHeader(to, edge.HeaderOutcome, outcome.Answered.String())
	setHeader(to, edge.HeaderReplayed, "1")
	setHeader(to, "Content-Length", strconv.Itoa(len(rec.Body)))
	x.w.WriteHeader(rec.Status)
	_, _ = x.w.Write(rec.Body)
	x.recordMetrics(nil)
}

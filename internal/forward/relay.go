package forward

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"

	"masticturn/internal/edge"
	"masticturn/internal/idempotency"
	"masticturn/internal/outcome"
)

// relay sends the answer to the caller. A short one is read completely first: the slot is released,
// and a partial answer is never sent.
func (a *attempt) relay() attemptEnd {
	buf := a.x.h.buffers.Get().(*[bufferBytes]byte)
	defer a.x.h.buffers.Put(buf)
	if n := a.resp.ContentLength; n >= 0 && n <= bufferBytes || a.resp.Body == http.NoBody {
		return a.relayWhole(buf[:])
	}
	if a.undelimited() {
		return a.relayUndelimited(buf[:])
	}
	return a.relayStream(buf[:])
}

func (a *attempt) relayWhole(buf []byte) attemptEnd {
	n, err := readAll(a.resp.Body, buf)
	if err != nil {
		return a.receiveFailed(err)
	}
	a.received()
	a.x.writeHead(a)
	a.x.record.write(buf[:n])
	if n == 0 {
		return attemptEnd{}
	}
	return a.toCaller(buf[:n])
}

// relayUndelimited buffers an answer that ends with its connection, so that a reset within the
// buffer still allows another attempt.
func (a *attempt) relayUndelimited(buf []byte) attemptEnd {
	n, err := io.ReadFull(a.resp.Body, buf)
	switch {
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		a.resp.ContentLength = int64(n)
		a.resp.Body = http.NoBody
	case err != nil:
		return a.receiveFailed(err)
	}
	a.resp.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(bytes.Clone(buf[:n])), a.resp.Body), a.resp.Body}
	return a.relayStream(buf)
}

// readAll reads the whole of a body that fits.
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

func (a *attempt) relayStream(buf []byte) attemptEnd {
	x := a.x
	flush := a.resp.ContentLength < 0 // pieces of unknown length go on as they come
	for {
		n, err := a.resp.Body.Read(buf)
		if err != nil && err != io.EOF {
			return a.receiveFailed(err)
		}
		a.watch.receiving()
		if err == io.EOF {
			a.received()
		}
		if !x.written {
			x.writeHead(a)
		}
		x.record.write(buf[:n])
		if end := a.toCaller(buf[:n]); end.Fault != FaultNone {
			return end
		}
		if err == io.EOF {
			x.copyTrailer(a.resp.Trailer)
			return attemptEnd{}
		}
		if flush && !x.gone {
			_ = x.rc.Flush()
		}
	}
}

// toCaller writes a part of the answer. If the caller of a keyed run has left, the answer is still
// read to its end, to be kept.
func (a *attempt) toCaller(p []byte) attemptEnd {
	x := a.x
	if x.gone {
		return attemptEnd{}
	}
	_ = x.rc.SetWriteDeadline(x.h.deps.Clock.Now().Add(x.snap.Document.Limits.IdleTimeoutMS.Duration()))
	if _, err := x.w.Write(p); err != nil {
		if x.claim != nil {
			x.gone = true
			return attemptEnd{}
		}
		return attemptEnd{Step: outcome.StepRelay, Fault: FaultCallerGone, Sent: true, Relayed: true, Err: err}
	}
	return attemptEnd{}
}

// received records the clean end of an answer. Its connection may be reused.
func (a *attempt) received() {
	a.x.recordAnswered()
	if a.keep {
		a.conn.Keep()
	} else {
		a.conn.Drop()
	}
	a.conn = nil
	a.release(&attemptEnd{})
}

func (a *attempt) receiveFailed(err error) attemptEnd {
	return attemptEnd{
		Step:    outcome.StepReceive,
		Fault:   a.faultOr(FaultShort),
		Sent:    true,
		Relayed: a.x.written,
		Err:     err,
	}
}

// writeHead writes the head of the target's answer.
func (x *exchange) writeHead(a *attempt) {
	from := a.resp.Header
	x.h.stripHeaders(from)
	x.record.head(a.resp.StatusCode, from)
	to := x.w.Header()
	maps.Copy(to, from)
	if x.id != "" {
		setOne(to, x.h.deps.Dialect.RequestID, x.id)
	}
	if x.h.deps.Dialect.ExplainAnswers {
		setOne(to, edge.HeaderOutcome, outcome.Answered.String())
		setOne(to, edge.HeaderServedRegion, a.target.Region)
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // none is guessed by the library
	}
	if n := a.resp.ContentLength; n >= 0 && bodyAllowed(a.resp.StatusCode) && first(to, "Content-Length") == "" {
		setOne(to, "Content-Length", strconv.FormatInt(n, 10))
	}
	for name := range a.resp.Trailer {
		to["Trailer"] = append(to["Trailer"], name)
	}
	x.served = a.target.Region
	x.status = a.resp.StatusCode
	x.sentFor = x.h.deps.Clock.Now().Sub(a.sentAt)
	x.written = true
	x.w.WriteHeader(a.resp.StatusCode)
}

// bodyAllowed reports whether an answer of this status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (x *exchange) copyTrailer(t http.Header) { maps.Copy(x.w.Header(), t) }

// recording keeps an answer while it is relayed, up to a limit.
type recording struct {
	limit int64
	kept  idempotency.Answer
	full  bool // it is larger than the limit
}

func (r *recording) head(status int, h http.Header) {
	if r == nil {
		return
	}
	r.kept.Status = status
	r.kept.Header = h.Clone()
}

func (r *recording) write(p []byte) {
	if r == nil || r.full {
		return
	}
	if int64(len(r.kept.Body)+len(p)) > r.limit {
		r.full = true
		r.kept.Body = nil
		return
	}
	r.kept.Body = append(r.kept.Body, p...)
}

// answer returns what was kept, or nil when it was too large.
func (r *recording) answer() *idempotency.Answer {
	if r == nil || r.full {
		return nil
	}
	return &r.kept
}

// replay sends a recorded answer.
func (x *exchange) replay(rec *idempotency.Answer) {
	to := x.w.Header()
	maps.Copy(to, rec.Header)
	setOne(to, edge.HeaderRequestID, x.id)
	setOne(to, edge.HeaderOutcome, outcome.Answered.String())
	setOne(to, edge.HeaderReplayed, "1")
	setOne(to, "Content-Length", strconv.Itoa(len(rec.Body)))
	x.w.WriteHeader(rec.Status)
	_, _ = x.w.Write(rec.Body)
	x.observe(nil)
}

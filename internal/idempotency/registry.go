// Package idempotency runs a request with an idempotency key at most once across all VMs
// and replays its recorded response to repeated requests.
package idempotency

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticturn/internal/outcome"
)

// Fingerprint distinguishes different requests with the same key.
type Fingerprint uint64

// FingerprintOf hashes the method, the path with query and the body of a request. The
// body is nil if it is streamed.
func FingerprintOf(method, uri string, body []byte) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{method, uri} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Request is a request with an idempotency key that is about to be dispatched.
type Request struct {
	Service     string // namespace of the key
	Key         string // as the caller sent it
	Fingerprint Fingerprint
	Deadline    time.Time // of the caller
}

// Response is a complete response of a target, recorded for replay.
type Response struct {
	Status int         `msgpack:"s" json:"status"`
	Header http.Header `msgpack:"h" json:"header"`
	Body   []byte      `msgpack:"b" json:"body"`
}

// Size returns the size of the response in bytes, as counted against LedgerLimits.MaxBytes.
func (r *Response) Size() int64 {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// Claim is the result of claiming a key. If Replay returns a response, the request must
// not be run. Otherwise this VM may run it once and must call Finish exactly once.
type Claim interface {
	// Replay returns the recorded response of an earlier run, or nil.
	Replay() *Response
	// Finish records the outcome of the run and, if not nil, its response. NotRun
	// releases the key; the request must not run afterwards.
	Finish(o outcome.Outcome, a *Response)
}

// Registry claims keys. Errors are of type *outcome.Error at StepClaim, with the outcome
// NotRun if the key was certainly not run by this call, or Unknown if an earlier run of
// the key has no known outcome.
type Registry interface {
	Claim(ctx context.Context, r *Request) (Claim, error)
}

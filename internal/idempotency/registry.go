// Package idempotency runs a keyed request at most once, over all VMs, and
// gives its recorded answer to whoever repeats the key.
package idempotency

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticturn/internal/outcome"
)

// Fingerprint tells requests under one key apart.
type Fingerprint uint64

// FingerprintOf hashes what makes a request: method, path with query, and the
// body when it is known; a nil body means that it is streamed.
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

// Request is a keyed request that is about to be dispatched.
type Request struct {
	Service     string // keys of different services are different
	Key         string // as the caller sent it
	Fingerprint Fingerprint
	Deadline    time.Time // when the caller gives up
}

// Answer is a whole answer of a target, as kept under a key.
type Answer struct {
	Status int         `msgpack:"s" json:"status"`
	Header http.Header `msgpack:"h" json:"header"`
	Body   []byte      `msgpack:"b" json:"body"`
}

// Size is the number of bytes that are counted for keeping the answer.
func (a *Answer) Size() int64 {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// Claim is the result of claiming a key. When Replay returns an answer the
// request must not be run; otherwise it is this VM's to run, once, and Finish
// must be called exactly once.
type Claim interface {
	// Replay returns the recorded answer of an earlier run, or nil.
	Replay() *Answer
	// Finish tells what became of the run. The answer is kept when it is not
	// nil; NotRun gives the key free, and the request surely does not run later.
	Finish(o outcome.Outcome, a *Answer)
}

// Registry claims keys. The error is an *outcome.Error at StepClaim: NotRun
// when the key surely was not run by this call, Unknown when an earlier run of
// the key had no known end.
type Registry interface {
	Claim(ctx context.Context, r *Request) (Claim, error)
}

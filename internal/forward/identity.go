package forward

import "masticturn/internal/digest"

// computeHeadDigest returns the digest of the request's head, with the caller's credentials. The
// caller's address is not included since it may change between attempts.
func (x *exchange) computeHeadDigest() digest.Head {
	names := x.h.deps.Dialect.Credentials
	credentials := make([]string, len(names), len(names)+1)
	for i, name := range names {
		credentials[i] = headerValue(x.r.Header, name)
	}
	if x.customer != nil { // by name, as API keys must not be derivable from the digests that VMs exchange
		credentials = append(credentials, x.customer.Name)
	}
	return digest.HeadOf(x.r.Method, x.r.Host, x.r.URL.RequestURI(), credentials...)
}

// digest returns the digest of the whole request; false until its body has arrived.
func (x *exchange) digest() (d digest.Digest, ok bool) {
	if x.stream == nil || x.requestDigest != (digest.Digest{}) {
		return x.requestDigest, x.requestDigest != digest.Digest{}
	}
	if whole := x.stream.requestDigest.Load(); whole != nil {
		return *whole, true
	}
	return digest.Digest{}, false
}

// digestText returns the digest for logs; empty if it is not known yet.
func (x *exchange) digestText() string {
	if d, ok := x.digest(); ok {
		return d.String()
	}
	return ""
}

// probeIfBroken starts a crash probe of the target if it broke the connection of a run.
func (a *attempt) probeIfBroken(result *attemptResult) {
	broken := result.Fault == FaultConnectionBroken || result.Fault == FaultTruncated
	if !broken || !result.Sent || result.Stale {
		return
	}
	probed := a.x.h.crashProber.start(&brokenRun{
		subject:   a.x.subject(),
		digest:    a.x.digestText(),
		id:        a.x.id,
		target:    a.target,
		startedAt: a.sentAt,
		endedAt:   a.x.h.deps.Clock.Now(),
		done:      make(chan struct{}),
	})
	if !a.hedged { // it may end concurrently with the first attempt
		a.x.probeDone = probed
	}
}

package forward

import "masticturn/internal/digest"

// headDigest returns the identity of the request's head. The caller's address is no part
// of it since it may change between attempts.
func (x *exchange) headDigest() digest.Head {
	names := x.h.deps.Dialect.Credentials
	caller := make([]string, len(names), len(names)+1)
	for i, name := range names {
		caller[i] = first(x.r.Header, name)
	}
	if x.customer != nil { // by name: keys must not be derivable from what VMs exchange
		caller = append(caller, x.customer.Name)
	}
	return digest.HeadOf(x.r.Method, x.r.Host, x.r.URL.RequestURI(), caller...)
}

// digest returns the identity of the whole request; false until its body has arrived.
func (x *exchange) digest() (d digest.Digest, ok bool) {
	if x.stream == nil || x.whole != (digest.Digest{}) {
		return x.whole, x.whole != digest.Digest{}
	}
	if whole := x.stream.whole.Load(); whole != nil {
		return *whole, true
	}
	return digest.Digest{}, false
}

// digestText returns the digest for logs, empty if unknown.
func (x *exchange) digestText() string {
	if d, ok := x.digest(); ok {
		return d.String()
	}
	return ""
}

// recordBroken probes the target if it broke the connection of a run.
func (a *attempt) recordBroken(end *attemptEnd) {
	broken := end.Fault == FaultBroken || end.Fault == FaultShort
	if !broken || !end.Sent || end.Stale {
		return
	}
	probed := a.x.h.ends.start(&brokenRun{
		subject: a.x.subject(),
		digest:  a.x.digestText(),
		id:      a.x.id,
		target:  a.target,
		began:   a.sentAt,
		ended:   a.x.h.deps.Clock.Now(),
		done:    make(chan struct{}),
	})
	if !a.hedged { // it may end beside the first attempt
		a.x.probed = probed
	}
}

package forward

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"masticturn/internal/config"
)

// connectionShare returns this VM's share of a target's connection limit.
func connectionShare(s *config.Snapshot, t *config.TargetIndex) int {
	return t.Connections / max(s.Document.Fleet.MaxVMs, 1)
}

// connectionPolicy is how this VM may use connections to one target.
type connectionPolicy struct {
	limit int
	keep  bool // connections may be reused
}

// connectionPolicyOf splits a target's connection limit among the VMs. In fleets with more VMs than
// connections, each connection is used for one exchange only, and permits limit their number to that of
// the slots.
func connectionPolicyOf(s *config.Snapshot, t *config.TargetIndex) connectionPolicy {
	if share := connectionShare(s, t); share > 0 {
		return connectionPolicy{limit: share, keep: true}
	}
	if t.Connections < t.Slots {
		return connectionPolicy{}
	}
	return connectionPolicy{limit: t.Slots}
}

// newRequest builds the request to the target. The first attempt uses the caller's header map, further
// ones a copy, as an earlier connection may still read the original.
func (a *attempt) newRequest() *http.Request {
	x := a.x
	header := x.r.Header
	if a.number > 1 || a.undelivered { // a hedge may read the header
		header = header.Clone()
	}
	left := x.deadline.Sub(x.h.deps.Clock.Now()).Milliseconds()
	d := x.h.deps.Dialect
	if x.id != "" {
		setHeader(header, d.TargetRequestID, x.id)
	}
	setHeader(header, d.TargetDeadlineMS, strconv.FormatInt(max(left, 1), 10))
	if a.target.Instance != "" {
		setHeader(header, d.TargetExpectedInstance, a.target.Instance)
	}
	if x.customer != nil {
		setHeader(header, d.TargetCustomer, x.customer.Name)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // net/http would add its own
	}
	req := &http.Request{
		Method:     x.r.Method,
		URL:        a.targetURL(),
		Host:       x.r.Host,
		Header:     header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Body:       http.NoBody,
	}
	switch {
	case x.stream != nil:
		a.stream = x.stream
		a.stream.watchdog = a.watchdog
		req.Body = a.stream
		req.ContentLength = x.r.ContentLength
		if len(x.r.Trailer) > 0 {
			req.Trailer = x.r.Trailer
			req.Body = &trailerFilter{a.stream, x.r.Trailer, d.Internal}
		}
	case len(x.body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(x.body))
		req.ContentLength = int64(len(x.body))
	}
	return req
}

func (a *attempt) targetURL() *url.URL {
	from := a.x.r.URL
	return &url.URL{
		Scheme:     "http",
		Host:       a.target.Address,
		Path:       from.Path,
		RawPath:    from.RawPath,
		RawQuery:   from.RawQuery,
		ForceQuery: from.ForceQuery,
	}
}

package forward

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"masticturn/internal/config"
)

// connectionShare returns how many of a target's connections this VM may have,
// so that all VMs together keep the target's limit.
func connectionShare(s *config.Snapshot, t *config.TargetIndex) int {
	return t.Connections / max(s.Document.Fleet.MaxVMs, 1)
}

// connectionRule bounds this VM's connections to one target.
type connectionRule struct {
	limit int
	keep  bool // a connection may be kept after its exchange
}

// connectionRuleOf keeps a target's limit over all VMs. Where each VM has a
// share of at least one connection, it may keep its connections. In a larger
// fleet a connection lasts for one exchange: permits then bound the
// connections of all VMs by the target's slots, which are fewer than the
// connections it takes.
func connectionRuleOf(s *config.Snapshot, t *config.TargetIndex) connectionRule {
	if share := connectionShare(s, t); share > 0 {
		return connectionRule{limit: share, keep: true}
	}
	if t.Connections < t.Slots {
		return connectionRule{}
	}
	return connectionRule{limit: t.Slots}
}

// outgoing makes the request to the target. The caller's header map is used as
// it is for the first attempt and copied for further ones, as the connection
// of an earlier one may still read it.
func (a *attempt) outgoing() *http.Request {
	x := a.x
	header := x.r.Header
	if a.number > 1 {
		header = header.Clone()
	}
	left := x.deadline.Sub(x.h.deps.Clock.Now()).Milliseconds()
	d := x.h.deps.Dialect
	if x.id != "" {
		setOne(header, d.TargetRequestID, x.id)
	}
	setOne(header, d.TargetDeadlineMS, strconv.FormatInt(max(left, 1), 10))
	if a.target.Instance != "" {
		setOne(header, d.TargetExpect, a.target.Instance)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // none is added by the library
	}
	req := &http.Request{
		Method:     x.r.Method,
		URL:        a.url(),
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
		a.stream.watch = a.watch
		req.Body = a.stream
		req.ContentLength = x.r.ContentLength
		req.Trailer = x.r.Trailer
	case len(x.body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(x.body))
		req.ContentLength = int64(len(x.body))
	}
	return req.WithContext(a.ctx)
}

func (a *attempt) url() *url.URL {
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

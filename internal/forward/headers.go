package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// hopByHop lists the headers of a single connection, which are not forwarded (RFC 9110, section
// 7.6.1).
var hopByHop = [...]string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// stripHeaders removes hop-by-hop and internal headers, in place.
func (hd *Handler) stripHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	hd.stripInternal(h)
}

// stripInternal removes internal headers, which are not passed on between callers and targets, in place.
func (hd *Handler) stripInternal(h http.Header) {
	for name := range h {
		if hd.deps.Dialect.Internal(name) {
			delete(h, name)
		}
	}
}

// headerValue returns the first value of a header by its canonical name; "" if there is none.
func headerValue(h http.Header, name string) string {
	v := h[name]
	if len(v) == 0 {
		return ""
	}
	return v[0]
}

// setHeader sets a header by its canonical name.
func setHeader(h http.Header, name, value string) { h[name] = []string{value} }

// maxRequestIDBytes is the length of the longest accepted request ID.
const maxRequestIDBytes = 128

// validRequestID reports whether a request ID can be logged and echoed unchanged.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// maxRetryAfter limits a parsed Retry-After.
const maxRetryAfter = 24 * time.Hour

// maxRetryAfterDigits limits the digits of whole seconds that are parsed; longer values count as
// maxRetryAfter.
const maxRetryAfterDigits = 9

// parseRetryAfter parses a Retry-After header: seconds, optionally with a fraction, or an HTTP date
// (RFC 9110, section 10.2.3). Any other value is 0.
func parseRetryAfter(value string, now time.Time) time.Duration {
	whole, fraction, _ := strings.Cut(value, ".")
	if isDigits(whole) && (fraction == "" || isDigits(fraction)) {
		if len(whole) > maxRetryAfterDigits {
			return maxRetryAfter
		}
		seconds, _ := strconv.ParseFloat(value, 64) // can't fail: only digits
		return min(time.Duration(seconds*float64(time.Second)), maxRetryAfter)
	}
	if at, err := http.ParseTime(value); err == nil && at.After(now) {
		return min(at.Sub(now), maxRetryAfter)
	}
	return 0
}

func isDigits(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return text != ""
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header; 0 if absent.
func keepAliveTimeout(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

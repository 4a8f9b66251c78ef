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

// stripHeaders removes hop-by-hop headers and those that only the system may set, in place.
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

// stripInternal removes the headers that end at the system, in place.
func (hd *Handler) stripInternal(h http.Header) {
	for name := range h {
		if hd.deps.Dialect.Internal(name) {
			delete(h, name)
		}
	}
}

// first returns the first value of a header by its canonical name; "" for an empty name.
func first(h http.Header, name string) string {
	v := h[name]
	if len(v) == 0 {
		return ""
	}
	return v[0]
}

// setOne sets a header by its canonical name.
func setOne(h http.Header, name, value string) { h[name] = []string{value} }

// requestIDMax is the longest accepted request id.
const requestIDMax = 128

// validRequestID reports whether an id can be logged and echoed as it is.
func validRequestID(id string) bool {
	if id == "" || len(id) > requestIDMax {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

// maxRetryAfter bounds a parsed Retry-After.
const maxRetryAfter = 24 * time.Hour

// retryAfterDigits is the number of digits of seconds that are parsed; more are the bound.
const retryAfterDigits = 9

// parseRetryAfter reads the Retry-After header: seconds, also with a fraction, or a
// date (RFC 9110, section 10.2.3). Anything else is 0.
func parseRetryAfter(value string, now time.Time) time.Duration {
	whole, fraction, _ := strings.Cut(value, ".")
	if isDigits(whole) && (fraction == "" || isDigits(fraction)) {
		if len(whole) > retryAfterDigits {
			return maxRetryAfter
		}
		seconds, _ := strconv.ParseFloat(value, 64) // digits are a number
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

// keepAliveTimeout returns the timeout of a Keep-Alive header; 0 if absent.
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

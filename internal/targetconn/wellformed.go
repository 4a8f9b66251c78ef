package targetconn

import (
	"fmt"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports a response that net/http accepts, but RFC 9110 or RFC 9112 does not.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// highestStatus is the highest status that RFC 9110, section 15, defines.
const highestStatus = 599

// CheckHead returns a *MalformedError if the head of a final response is not valid.
func CheckHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return &MalformedError{fmt.Sprintf("version %q", resp.Proto)}
	}
	final := resp.StatusCode >= http.StatusOK && resp.StatusCode <= highestStatus
	if !final && resp.StatusCode != http.StatusSwitchingProtocols {
		return &MalformedError{fmt.Sprintf("status %q", resp.Status)}
	}
	if err := CheckNames(resp.Header); err != nil {
		return err
	}
	return CheckNames(resp.Trailer)
}

// maxReportedName limits how much of a field's name an error contains, in bytes.
const maxReportedName = 64

// CheckNames returns a *MalformedError if the name of a field is no token (RFC 9110, section 5.6.2). net/http allows
// blanks in names, and does not know such a field by its name.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{fmt.Sprintf("field name %q", name[:min(len(name), maxReportedName)])}
		}
	}
	return nil
}

// interimCheck checks the interim responses before the final one. net/http does not limit their size if they are
// checked.
type interimCheck struct{ bytesLeft int64 }

// lineOverhead is the least size of a line besides its name and value.
const lineOverhead = len(": \r\n")

// check is a httptrace.ClientTrace.Got1xxResponse.
func (c *interimCheck) check(_ int, h textproto.MIMEHeader) error {
	c.bytesLeft -= int64(len("HTTP/1.1 100 \r\n\r\n"))
	for name, values := range h {
		for _, value := range values {
			c.bytesLeft -= int64(len(name) + len(value) + lineOverhead)
		}
	}
	if c.bytesLeft < 0 {
		return &MalformedError{"too many interim responses"}
	}
	return CheckNames(http.Header(h))
}

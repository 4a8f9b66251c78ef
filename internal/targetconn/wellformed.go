package targetconn

import (
	"fmt"
	"net/http"
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
	return nil
}

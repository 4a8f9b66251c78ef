package targetconn

import "strings"

// framingCheck looks for a Transfer-Encoding in the head of an HTTP/1.0 response, whose framing is faulty (RFC 9112,
// section 6.1). net/http drops that field, so that the encoded bytes would be taken for the body.
type framingCheck struct {
	line     []byte // beginning of the present line
	inFields bool   // the present line is not the first one
	done     bool
}

const (
	faultyVersion = "HTTP/1.0"
	faultyField   = "Transfer-Encoding:"
)

// add checks the next bytes of a response. It returns a *MalformedError if the framing is faulty.
func (f *framingCheck) add(p []byte) error {
	for _, b := range p {
		if f.done {
			return nil
		}
		if b != '\n' {
			f.addToLine(b)
			continue
		}
		if err := f.endLine(); err != nil {
			return err
		}
	}
	return nil
}

// addToLine keeps as much of the line as is compared.
func (f *framingCheck) addToLine(b byte) {
	if len(f.line) < len(faultyField) {
		f.line = append(f.line, b)
	}
	if !f.inFields && len(f.line) == len(faultyVersion) {
		f.done = string(f.line) != faultyVersion
	}
}

func (f *framingCheck) endLine() error {
	line := string(f.line)
	f.line = f.line[:0]
	switch {
	case !f.inFields:
		f.inFields = true
	case line == "" || line == "\r":
		f.done = true
	case strings.EqualFold(line, faultyField):
		return &MalformedError{"transfer encoding in HTTP/1.0"}
	}
	return nil
}

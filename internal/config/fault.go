package config

import (
	"fmt"
	"strconv"
	"strings"
)

// maxFaults bounds how many faults of one document are reported.
const maxFaults = 1000

// Fault is one thing wrong with a document.
type Fault struct {
	Path    string `json:"path"`           // such as "services[1].targets[0].zone"
	Value   string `json:"value"`          // what stands there, as JSON or as text
	Allowed string `json:"allowed"`        // what may stand there
	Line    int    `json:"line,omitempty"` // line of the text, from 1; 0 when not known
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	fmt.Fprintf(&b, "got %s; allowed: %s", f.Value, f.Allowed)
	return b.String()
}

// InvalidError is returned for a document that cannot be accepted. It holds
// every fault found, up to a bound of 1,000.
type InvalidError struct {
	Faults []Fault
}

// Error implements error with one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("invalid document: %d fault(s)", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// faultList collects faults up to maxFaults.
type faultList struct {
	faults []Fault
}

func (l *faultList) add(f Fault) {
	if len(l.faults) < maxFaults {
		l.faults = append(l.faults, f)
	}
}

// report adds a fault at a path with the value as found.
func (l *faultList) report(path string, value any, allowed string, args ...any) {
	l.add(Fault{Path: path, Value: showValue(value), Allowed: fmt.Sprintf(allowed, args...)})
}

// err returns nil or an *InvalidError.
func (l *faultList) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: l.faults}
}

func showValue(value any) string {
	switch v := value.(type) {
	case string:
		return strconv.Quote(v)
	case Repeat:
		return strconv.Quote(string(v))
	default:
		return fmt.Sprint(v)
	}
}

// at returns the path of an element of a list.
func at(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

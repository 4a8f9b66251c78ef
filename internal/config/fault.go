package config

import (
	"fmt"
	"strconv"
	"strings"
)

// maxFaults is the maximum number of faults reported for one document.
const maxFaults = 1000

// Fault describes one validation failure in a document.
type Fault struct {
	Path    string `json:"path"`           // such as "services[1].targets[0].zone"
	Value   string `json:"value"`          // actual value, as JSON or as text
	Allowed string `json:"allowed"`        // description of the values that are allowed
	Line    int    `json:"line,omitempty"` // line number in the text, starting at 1; 0 if unknown
}

// String formats the fault as a single line.
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

// InvalidError is returned for a document that fails parsing or validation. It
// lists all faults found, up to 1,000.
type InvalidError struct {
	Faults []Fault
}

// Error returns a summary line followed by one line per fault.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("invalid document: %d fault(s)", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// faultList collects up to maxFaults faults and drops the rest.
type faultList struct {
	faults []Fault
}

func (l *faultList) add(f Fault) {
	if len(l.faults) < maxFaults {
		l.faults = append(l.faults, f)
	}
}

// report adds a fault for the value at path. allowed and args form a format
// string that describes the allowed values.
func (l *faultList) report(path string, value any, allowed string, args ...any) {
	l.add(Fault{Path: path, Value: formatValue(value), Allowed: fmt.Sprintf(allowed, args...)})
}

// err returns nil if there are no faults, otherwise an *InvalidError.
func (l *faultList) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: l.faults}
}

func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return strconv.Quote(v)
	case Repeat:
		return strconv.Quote(string(v))
	default:
		return fmt.Sprint(v)
	}
}

// elementPath returns the path of the i-th element of a list.
func elementPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

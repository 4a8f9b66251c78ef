// Package logtrace collects the log lines about one request from the logs of
// several VMs: the lines with its id, and the lines about its targets and VMs
// from shortly before its start to its end.
package logtrace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Line is one parsed log line.
type Line struct {
	At      time.Time
	VM      string
	Event   int
	Message string
	Fields  map[string]any // all other fields
}

// Names of the fields in log lines, as written by package telemetry.
const (
	fieldTime    = "time"
	fieldVM      = "vm"
	fieldEvent   = "event"
	fieldMessage = "msg"
	fieldLevel   = "level"
	fieldPeer    = "peer"
	fieldRequest = "request_id"
	fieldDigest  = "digest"
	fieldTunnel  = "tunnel"
)

// maxLineBytes is the maximum length of a log line; Read fails on longer ones.
const maxLineBytes = 1 << 20

// Read parses the lines of a log. It ignores text before a line's JSON object, such as the prefixes of log
// collectors, and skips lines that hold no JSON object of a log event.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, trace.Wrap(scanner.Err(), "read log")
}

func parseLine(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.VM, _ = fields[fieldVM].(string)
	l.Message, _ = fields[fieldMessage].(string)
	number, ok := fields[fieldEvent].(float64)
	l.Event = int(number)
	text, _ := fields[fieldTime].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if !ok || err != nil {
		return Line{}, false
	}
	l.At = at
	for _, name := range []string{fieldTime, fieldVM, fieldEvent, fieldMessage, fieldLevel} {
		delete(fields, name)
	}
	return l, true
}

// Text returns a field as text, or "" if it is absent or no text.
func (l *Line) Text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Number returns a field as a number, or 0 if it is absent or no number.
func (l *Line) Number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Millis returns a field in whole milliseconds as a duration, or 0 if it is absent or no number.
func (l *Line) Millis(field string) time.Duration {
	return time.Duration(l.Number(field)) * time.Millisecond
}

// String formats the line for display, with its fields sorted by name.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %s", l.At.UTC().Format("15:04:05.000"), l.VM, l.Event, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := l.Fields[name]; v != "" && v != nil {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}

// RequestLines returns the lines about a request, sorted by time and VM:
//
//   - the lines with its id;
//   - the lines of its VMs without a request id that name one of its targets or no target, from the given
//     duration before its first line up to its last line;
//   - the lines of all VMs without a request id that name its digest, up to its last line;
//   - the lines of all VMs without a request id that name a tunnel that carried it.
//
// It returns nil if no line has the id.
func RequestLines(lines []Line, id string, before time.Duration) []Line {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Text(fieldRequest) != id })
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	from, to := own[0].At.Add(-before), own[len(own)-1].At
	vms, peers, digests, tunnels := make(map[string]bool), make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for i := range own {
		vms[own[i].VM] = true
		digests[own[i].Text(fieldDigest)] = own[i].Text(fieldDigest) != ""
		tunnels[own[i].Text(fieldTunnel)] = own[i].Text(fieldTunnel) != ""
		if p := own[i].Text(fieldPeer); p != "" {
			peers[p] = true
		}
	}
	var selected []Line
	for i := range lines {
		l := &lines[i]
		switch {
		case l.Text(fieldRequest) == id:
		case l.Text(fieldRequest) == "" && tunnels[l.Text(fieldTunnel)]:
		case l.Text(fieldRequest) == "" && digests[l.Text(fieldDigest)] && !l.At.After(to):
		case l.Text(fieldRequest) != "" || l.At.Before(from) || l.At.After(to):
			continue
		case !vms[l.VM] || l.Text(fieldPeer) != "" && !peers[l.Text(fieldPeer)]:
			continue
		}
		selected = append(selected, *l)
	}
	slices.SortStableFunc(selected, byTime)
	return selected
}

func byTime(a, b Line) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM))
}

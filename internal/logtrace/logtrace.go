// Package logtrace finds the story of one request in the logs of several VMs:
// the lines that carry its id, and the lines about the targets that it met and
// the VMs that served it, from shortly before to its end.
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

// Line is one line of a log.
type Line struct {
	At      time.Time
	VM      string
	Event   int
	Message string
	Fields  map[string]any // all other fields
}

// Fields of log lines, as package telemetry writes them.
const (
	fieldTime    = "time"
	fieldVM      = "vm"
	fieldEvent   = "event"
	fieldMessage = "msg"
	fieldLevel   = "level"
	fieldPeer    = "peer"
	fieldRequest = "request_id"
	fieldDigest  = "digest"
)

// maxLineBytes bounds a line; longer ones are skipped.
const maxLineBytes = 1 << 20

// Read returns the lines of a log. It skips prefixes before a line's JSON object, such as those of log
// collectors, and lines without one.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, trace.Wrap(scanner.Err(), "read log")
}

func parse(raw []byte) (Line, bool) {
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

// Text returns a field as text, "" when it is absent.
func (l *Line) Text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Number returns a field as a number, 0 when it is absent.
func (l *Line) Number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Millis returns a field of whole milliseconds as a time, 0 when it is absent.
func (l *Line) Millis(field string) time.Duration {
	return time.Duration(l.Number(field)) * time.Millisecond
}

// String returns the line for people.
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

// Story returns the lines about a request in order of time: its own; those without a request id about
// its targets, or on its VMs, from the given time before its first line up to its last; and all about
// its digest. It is empty if no line has the id.
func Story(lines []Line, id string, before time.Duration) []Line {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Text(fieldRequest) != id })
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	from, to := own[0].At.Add(-before), own[len(own)-1].At
	vms, peers, digests := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for i := range own {
		vms[own[i].VM] = true
		digests[own[i].Text(fieldDigest)] = own[i].Text(fieldDigest) != ""
		if p := own[i].Text(fieldPeer); p != "" {
			peers[p] = true
		}
	}
	var story []Line
	for i := range lines {
		l := &lines[i]
		switch {
		case l.Text(fieldRequest) == id:
		case l.Text(fieldRequest) == "" && digests[l.Text(fieldDigest)] && !l.At.After(to):
		case l.Text(fieldRequest) != "" || l.At.Before(from) || l.At.After(to):
			continue
		case !vms[l.VM] || l.Text(fieldPeer) != "" && !peers[l.Text(fieldPeer)]:
			continue
		}
		story = append(story, *l)
	}
	slices.SortStableFunc(story, byTime)
	return story
}

func byTime(a, b Line) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM))
}

// Package telemetry holds the numbered events of the log, one typed
// catalogue, and the metrics with histograms for each service and class.
package telemetry

import (
	"io"
	"sort"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is one numbered event of the log. Numbers are never reused.
type Event struct {
	Number  int
	Level   logrus.Level
	Name    string // short, constant text of the log line
	Meaning string // what happened
	Action  string // what the operator does
	// Routine marks events of each request that goes well; they are the first
	// to be left out when there are too many lines.
	Routine bool
}

// Ranges of event numbers. Each package declares its events in its own file
// events.go with Register.
const (
	RangeKernel     = 1000
	RangePlatform   = 2000
	RangeConfig     = 3000
	RangePeer       = 4000 // peer and membership
	RangeForward    = 5000 // request path, idempotency, drain
	RangeAdmission  = 6000 // steering, measure, look-up
	RangeOperator   = 7000
	RangeDiscovery  = 8000 // discovery, placement, entry
	rangeSize       = 1000
	fieldVM         = "vm"
	fieldEvent      = "event"
	fieldStep       = "step"
	fieldPeer       = "peer"
	fieldGeneration = "generation"
)

var catalogue = map[int]*Event{}

// Register adds an event to the catalogue and returns it. It is called from
// package-level variables only and panics on a number used twice, which is a
// programming error.
func Register(e Event) *Event {
	if _, ok := catalogue[e.Number]; ok {
		panic("telemetry: event number registered twice: " + e.Name)
	}
	catalogue[e.Number] = &e
	return &e
}

// Catalogue returns all registered events by number.
func Catalogue() []*Event {
	events := make([]*Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Field is one typed field of a log line.
type Field struct {
	Key   string
	Value any
}

// Peer names the peer at which something arose.
func Peer(name string) Field { return Field{fieldPeer, name} }

// Step names the step at which something arose.
func Step(name string) Field { return Field{fieldStep, name} }

// GenerationOf names a generation of the document.
func GenerationOf(gen uint64) Field { return Field{fieldGeneration, gen} }

// Value is any other field.
func Value(key string, value any) Field { return Field{key, value} }

// Err is the error field.
func Err(err error) Field { return Field{logrus.ErrorKey, err} }

// Logger writes numbered events.
type Logger struct {
	out    *logrus.Logger
	vm     string
	budget *lineBudget
	queue  *QueuedWriter // nil: lines are written by who logs
}

// Format is the format of log lines.
type Format string

// The formats of log lines.
const (
	FormatJSON Format = "json"
	FormatText Format = "text"
)

// NewLogger returns a logger for one VM.
func NewLogger(w io.Writer, format Format, level logrus.Level, vm string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	if format == FormatJSON {
		l.SetFormatter(lineFormatter{})
	} else {
		l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	}
	logger := &Logger{out: l, vm: vm, budget: newLineBudget(LinesPerSecond)}
	logger.queue, _ = w.(*QueuedWriter)
	return logger
}

// SetLinesPerSecond sets the bound of lines, for events marked Routine and for all
// others each. Set it before use.
func (l *Logger) SetLinesPerSecond(n int) { l.budget = newLineBudget(n) }

// Flush waits for a short time until the lines so far are written.
func (l *Logger) Flush() {
	if l != nil && l.queue != nil {
		l.queue.Flush()
	}
}

// Discard returns a logger that writes nothing, for tests.
func Discard() *Logger { return NewLogger(io.Discard, FormatText, logrus.PanicLevel, "") }

// Log writes one event.
func (l *Logger) Log(e *Event, fields ...Field) {
	if l == nil || !l.out.IsLevelEnabled(e.Level) {
		return
	}
	if !l.budget.allow(e) {
		return
	}
	l.sayLeftOut()
	l.write(e, fields)
}

// sayLeftOut writes what was left out since it was last said.
func (l *Logger) sayLeftOut() {
	left := l.budget.takeLeftOut(time.Now())
	if left == nil {
		return
	}
	fields := []Field{Value("lines", left)}
	if l.queue != nil {
		fields = append(fields, Value("dropped", l.queue.TakeDropped()))
	}
	l.write(eventLeftOut, fields)
}

var eventLeftOut = Register(Event{
	Number:  RangeKernel + 11,
	Level:   logrus.WarnLevel,
	Name:    "lines left out",
	Meaning: "So many lines of the events named by number were left out, as there were too many; dropped counts those for which standard output was too slow.",
	Action:  "Use the metrics for counts; read the lines of other VMs for the time.",
})

func (l *Logger) write(e *Event, fields []Field) {
	data := make(logrus.Fields, len(fields)+2)
	data[fieldVM] = l.vm
	data[fieldEvent] = e.Number
	for _, f := range fields {
		data[f.Key] = f.Value
	}
	// The entry takes over the map; WithFields would copy it.
	entry := logrus.Entry{Logger: l.out, Data: data}
	entry.Log(e.Level, e.Name)
}

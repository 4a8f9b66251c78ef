// Package telemetry provides the logger and the catalogue of numbered log events.
package telemetry

import (
	"io"
	"sort"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is a numbered log event. Numbers are never reused.
type Event struct {
	Number  int
	Level   logrus.Level
	Name    string // short, constant message of the log line
	Meaning string // what happened
	Action  string // what the operator should do
	// Routine marks events that are logged for each successful request. They
	// have a rate limit of their own, so that they do not displace other events.
	Routine bool
}

// Ranges of event numbers. Each package registers its events in its file events.go.
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

// Register adds an event to the catalogue and returns it. It must be called only
// to initialize package-level variables. It panics if the number is already
// registered, which is a programming error.
func Register(e Event) *Event {
	if _, ok := catalogue[e.Number]; ok {
		panic("telemetry: event number registered twice: " + e.Name)
	}
	catalogue[e.Number] = &e
	return &e
}

// Catalogue returns all registered events, sorted by number.
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

// Peer is the field for the peer that an event concerns.
func Peer(name string) Field { return Field{fieldPeer, name} }

// Step is the field for the processing step in which an event occurred.
func Step(name string) Field { return Field{fieldStep, name} }

// GenerationOf is the field for a generation of the configuration document.
func GenerationOf(gen uint64) Field { return Field{fieldGeneration, gen} }

// Value returns a field with any other key.
func Value(key string, value any) Field { return Field{key, value} }

// Err is the field for an error.
func Err(err error) Field { return Field{logrus.ErrorKey, err} }

// Logger writes numbered events to the log. A nil Logger discards them.
type Logger struct {
	out     *logrus.Logger
	vm      string
	limiter *lineLimiter
	queue   *QueuedWriter // nil: Log writes synchronously
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
	logger := &Logger{out: l, vm: vm, limiter: newLineLimiter(LinesPerSecond)}
	logger.queue, _ = w.(*QueuedWriter)
	return logger
}

// SetLinesPerSecond sets the rate limit that applies separately to events marked
// Routine and to all others. It must be called before the logger is used.
func (l *Logger) SetLinesPerSecond(n int) { l.limiter = newLineLimiter(n) }

// Flush waits until all lines logged so far are written, at most flushTimeout.
// Nothing may be logged after it.
func (l *Logger) Flush() {
	if l != nil && l.queue != nil {
		l.queue.Flush()
	}
}

// Discard returns a logger for tests that writes nothing.
func Discard() *Logger { return NewLogger(io.Discard, FormatText, logrus.PanicLevel, "") }

// Log writes an event, unless its level is disabled or the rate limit is exceeded.
func (l *Logger) Log(e *Event, fields ...Field) {
	if l == nil || !l.out.IsLevelEnabled(e.Level) {
		return
	}
	if !l.limiter.allow(e) {
		return
	}
	l.reportSuppressed()
	l.write(e, fields)
}

// reportSuppressed logs the lines suppressed since the last report.
func (l *Logger) reportSuppressed() {
	suppressed := l.limiter.takeSuppressed(time.Now())
	if suppressed == nil {
		return
	}
	fields := []Field{Value("lines", suppressed)}
	if l.queue != nil {
		fields = append(fields, Value("dropped", l.queue.TakeDropped()))
	}
	l.write(eventLinesSuppressed, fields)
}

var eventLinesSuppressed = Register(Event{
	Number:  RangeKernel + 11,
	Level:   logrus.WarnLevel,
	Name:    "log lines suppressed",
	Meaning: "Log lines exceeded the rate limit. Field lines states how many were suppressed by event number; field dropped counts lines lost because standard output was too slow.",
	Action:  "Use the metrics for counts; check the logs of other VMs for this period.",
})

func (l *Logger) write(e *Event, fields []Field) {
	data := make(logrus.Fields, len(fields)+2)
	data[fieldVM] = l.vm
	data[fieldEvent] = e.Number
	for _, f := range fields {
		data[f.Key] = f.Value
	}
	// Building the entry directly avoids the copy of the map that WithFields makes.
	entry := logrus.Entry{Logger: l.out, Data: data}
	entry.Log(e.Level, e.Name)
}

package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Told is what a caller was told about one try.
type Told string

// What a caller can be told. ToldNothing: the connection broke or the
// caller's patience ended before a whole answer.
const (
	ToldAnswered Told = "answered"
	ToldNotRun   Told = "not-run"
	ToldUnknown  Told = "unknown"
	ToldNothing  Told = "nothing"
)

// Content is what a caller found when it checked an answer.
type Content string

// The findings about an answer's content.
const (
	ContentNone    Content = ""        // there was no answer to check
	ContentWhole   Content = "whole"   // whole and its own
	ContentPartial Content = "partial" // given as whole, but too short or too long
	ContentForeign Content = "foreign" // that of another request
)

// Note is one try of a request as its caller saw it.
type Note struct {
	RequestID  string
	Key        string // Idempotency-Key
	Shape      string
	Service    string
	Class      string
	Method     string
	Path       string
	VM         string
	Repeatable bool // may be run twice without a key
	BodyBytes  int64
	Started    time.Time
	Ended      time.Time
	Told       Told
	Status     int
	Replayed   bool // a recorded answer
	GaveUp     bool // the caller's own patience ended
	Refused    bool // no connection could be opened
	Content    Content
	Step       string // told on errors
	Peer       string // told on errors
	Detail     string // error text, for people
}

// ClassKey names a service and a class.
type ClassKey struct {
	Service string
	Class   string
}

// Notes collects the tries and the latencies of any number of callers.
type Notes struct {
	mu        sync.Mutex
	tries     []Note
	latencies map[ClassKey]*hdrhistogram.Histogram // of answered requests, microseconds
	requests  map[ClassKey]map[Told]int            // by what was told last
	overruns  int
	keepTries bool
}

// Range and precision of the latency histograms.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// NewNotes returns an empty collection. Without keepTries only counts,
// latencies and the tries with a wrong answer are kept.
func NewNotes(keepTries bool) *Notes {
	return &Notes{
		latencies: make(map[ClassKey]*hdrhistogram.Histogram),
		requests:  make(map[ClassKey]map[Told]int),
		keepTries: keepTries,
	}
}

func (n *Notes) addTry(note Note) {
	wrong := note.Content == ContentPartial || note.Content == ContentForeign
	if !n.keepTries && !wrong {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tries = append(n.tries, note)
}

// addRequest counts a request with what its last try told; the latency runs
// from its planned arrival.
func (n *Notes) addRequest(key ClassKey, told Told, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requests[key] == nil {
		n.requests[key] = make(map[Told]int)
		n.latencies[key] = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
	}
	n.requests[key][told]++
	if told == ToldAnswered {
		n.latencies[key].RecordValue(min(highestLatency, latency.Microseconds()))
	}
}

func (n *Notes) addOverrun() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.overruns++
}

// Tries returns all tries so far.
func (n *Notes) Tries() []Note {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Note(nil), n.tries...)
}

// Overruns returns how many requests were not sent because a caller had too
// many open ones already.
func (n *Notes) Overruns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.overruns
}

// ClassResult is the result of the requests of one service and class.
type ClassResult struct {
	Service  string  `json:"service"`
	Class    string  `json:"class"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"` // told so, or told nothing
	P50MS    float64 `json:"p50_ms"`  // of the answered ones, from the planned arrival
	P99MS    float64 `json:"p99_ms"`
	P999MS   float64 `json:"p999_ms"`
	MaxMS    float64 `json:"max_ms"`
}

// Results returns the results by service and class, in no order.
func (n *Notes) Results() []ClassResult {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []ClassResult
	for key, told := range n.requests {
		r := ClassResult{
			Service:  key.Service,
			Class:    key.Class,
			Answered: told[ToldAnswered],
			NotRun:   told[ToldNotRun],
			Unknown:  told[ToldUnknown] + told[ToldNothing],
		}
		r.Requests = r.Answered + r.NotRun + r.Unknown
		h := n.latencies[key]
		r.P50MS, r.P99MS, r.P999MS = millis(h, 50), millis(h, 99), millis(h, 99.9)
		r.MaxMS = millis(h, 100)
		out = append(out, r)
	}
	return out
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	const microsPerMilli = 1000
	return float64(h.ValueAtQuantile(quantile)) / microsPerMilli
}

// Histogram returns a copy of the latencies of all services of a class, or of
// all requests when class is empty, in microseconds.
func (n *Notes) Histogram(class string) *hdrhistogram.Histogram {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
	for key, h := range n.latencies {
		if class == "" || key.Class == class {
			sum.Merge(h)
		}
	}
	return sum
}

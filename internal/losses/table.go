package losses

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Worth is the value of an answer to a request of one class.
type Worth struct {
	InTime float64 // answered within the objective
	Late   float64 // answered after the objective
}

// DefaultWorth applies to classes without a configured worth.
var DefaultWorth = Worth{InTime: 1, Late: 0.2}

// ParseWorth parses "NAME=WORTH/LATE".
func ParseWorth(text string) (class string, w Worth, err error) {
	class, numbers, ok := strings.Cut(text, "=")
	inTime, late, both := strings.Cut(numbers, "/")
	w.InTime, err = strconv.ParseFloat(inTime, 64)
	if err == nil {
		w.Late, err = strconv.ParseFloat(late, 64)
	}
	if !ok || !both || err != nil {
		return "", Worth{}, trace.BadParameter("invalid worth %q: want NAME=WORTH/LATE with two numbers", text)
	}
	return class, w, nil
}

// Options configures how losses are computed.
type Options struct {
	Worth     map[string]Worth // by class
	CallerRTT time.Duration    // round trip between a caller and its VM
	RegionRTT time.Duration    // round trip between two regions
	Window    time.Duration    // length of the windows of ByWindow; 0 means defaultWindow
}

// defaultWindow equals the window length of the users' report.
const defaultWindow = 2 * time.Second

// Loss is the worth that one request lost, with its cause.
type Loss struct {
	Cause  Cause
	ID     string
	VM     string
	Rule   string
	Region string        // region of the VM
	At     time.Duration // first try, relative to the first request in the logs
	Worth  float64       // lost worth
}

// Table holds the losses of all requests in the logs.
type Table struct {
	Requests     int     // every try counts
	TotalWorth   float64 // worth of all requests if answered in time
	Losses       []Loss
	DroppedLines int // log lines dropped by VMs; their requests may be missing
	window       time.Duration
}

// Count computes the losses of the requests in a log.
func (log *Log) Count(o Options) *Table {
	t := &Table{Requests: len(log.requests), DroppedLines: log.droppedLines, window: cmp.Or(o.Window, defaultWindow)}
	if len(log.requests) == 0 {
		return t
	}
	typicalLatencies := log.typicalLatencies()
	start := log.requests[0].arrived
	for _, r := range log.requests {
		if r.objective == 0 || r.nextTry != nil {
			continue // not routed, or the caller retried: the last try counts
		}
		w, ok := o.Worth[r.class]
		if !ok {
			w = DefaultWorth
		}
		t.TotalWorth += w.InTime
		region := log.regions[r.vm]
		l := Loss{ID: r.id, VM: r.vm, Rule: r.rule, Region: region, At: r.arrived.Add(-r.sinceFirstTry()).Sub(start)}
		if !r.served() {
			l.Cause, l.Worth = r.failureCause(), w.InTime
			t.Losses = append(t.Losses, l)
		} else if cause, late := r.lateCause(typicalLatencies[r.rule], region, o.CallerRTT, o.RegionRTT); late {
			l.Cause, l.Worth = cause, w.InTime-w.Late
			t.Losses = append(t.Losses, l)
		}
	}
	return t
}

// Lost returns the total lost worth.
func (t *Table) Lost() float64 {
	sum := 0.0
	for i := range t.Losses {
		sum += t.Losses[i].Worth
	}
	return sum
}

// Sums returns the lost worth by cause and by the given key.
func (t *Table) Sums(key func(*Loss) string) map[Cause]map[string]float64 {
	sums := make(map[Cause]map[string]float64)
	for i := range t.Losses {
		l := &t.Losses[i]
		if sums[l.Cause] == nil {
			sums[l.Cause] = make(map[string]float64)
		}
		sums[l.Cause][key(l)] += l.Worth
	}
	return sums
}

// ByRule is a key for Sums.
func ByRule(l *Loss) string { return l.Rule }

// ByRegion is a key for Sums.
func ByRegion(l *Loss) string { return l.Region }

// ByWindow is a key for Sums: the start of the window that contains the caller's first try.
func (t *Table) ByWindow(l *Loss) string {
	return fmt.Sprintf("%3.0fs", (l.At / t.window * t.window).Seconds())
}

// ByCause returns the lost worth of each cause that occurs, largest first.
func (t *Table) ByCause() []Sum {
	sums := t.Sums(func(*Loss) string { return "" })
	var out []Sum
	for _, c := range Causes() {
		if s, ok := sums[c]; ok {
			out = append(out, Sum{c, s[""]})
		}
	}
	slices.SortStableFunc(out, func(a, b Sum) int { return cmp.Compare(b.Worth, a.Worth) })
	return out
}

// Sum is the worth lost to one cause.
type Sum struct {
	Cause Cause
	Worth float64
}

// Examples returns up to count losses with the given cause, spread evenly over time.
func (t *Table) Examples(c Cause, count int) []*Loss {
	var all []*Loss
	for i := range t.Losses {
		if l := &t.Losses[i]; l.Cause == c {
			all = append(all, l)
		}
	}
	if len(all) <= count {
		return all
	}
	out := make([]*Loss, count)
	for i := range out {
		out[i] = all[i*len(all)/count]
	}
	return out
}

// sortedKeys returns the keys of all inner maps, sorted and without duplicates.
func sortedKeys(sums map[Cause]map[string]float64) []string {
	seen := make(map[string]bool)
	for _, s := range sums {
		for k := range s {
			seen[k] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

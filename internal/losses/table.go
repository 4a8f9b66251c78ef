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

// Worth is what an answer to a request of some class is worth.
type Worth struct {
	InTime float64 // within its objective
	Late   float64 // later
}

// DefaultWorth holds for classes of which nothing is said.
var DefaultWorth = Worth{InTime: 1, Late: 0.2}

// ParseWorth reads "name=worth/late".
func ParseWorth(text string) (class string, w Worth, err error) {
	class, numbers, ok := strings.Cut(text, "=")
	inTime, late, both := strings.Cut(numbers, "/")
	w.InTime, err = strconv.ParseFloat(inTime, 64)
	if err == nil {
		w.Late, err = strconv.ParseFloat(late, 64)
	}
	if !ok || !both || err != nil {
		return "", Worth{}, trace.BadParameter("got %q; allowed is NAME=WORTH/LATE with two numbers", text)
	}
	return class, w, nil
}

// Options say how logs are counted.
type Options struct {
	Worth  map[string]Worth // by class
	Way    time.Duration    // between a caller and its VM, there and back
	Trip   time.Duration    // between two regions, there and back
	Window time.Duration    // by which losses are counted; 0: two seconds
}

// windowDefault is the span of the windows in which the users count.
const windowDefault = 2 * time.Second

// Loss is what one request lost.
type Loss struct {
	Cause  Cause
	ID     string
	VM     string
	Rule   string
	Region string        // of its VM
	At     time.Duration // since the first request of all
	Worth  float64       // lost
}

// Table is where callers lost.
type Table struct {
	Requests int     // tries of callers in the logs
	Owed     float64 // worth of what they asked for
	Losses   []Loss
	LeftOut  int // lines dropped by VMs, which are missing here
	window   time.Duration
}

// Count makes the table of a log.
func (log *Log) Count(o Options) *Table {
	t := &Table{Requests: len(log.requests), LeftOut: log.leftOut, window: cmp.Or(o.Window, windowDefault)}
	if len(log.requests) == 0 {
		return t
	}
	runs := log.usualRuns()
	start := log.requests[0].arrived
	for _, r := range log.requests {
		if r.objective == 0 || r.next != nil {
			continue // it was routed nowhere, or what became of it shows in the next try
		}
		w, ok := o.Worth[r.class]
		if !ok {
			w = DefaultWorth
		}
		t.Owed += w.InTime
		region := log.regions[r.vm]
		l := Loss{ID: r.id, VM: r.vm, Rule: r.rule, Region: region, At: r.arrived.Add(-r.before()).Sub(start)}
		if !r.served() {
			l.Cause, l.Worth = r.unserved(), w.InTime
			t.Losses = append(t.Losses, l)
		} else if cause, late := r.late(runs[r.rule], region, o.Way, o.Trip); late {
			l.Cause, l.Worth = cause, w.InTime-w.Late
			t.Losses = append(t.Losses, l)
		}
	}
	return t
}

// Lost returns the sum of all losses.
func (t *Table) Lost() float64 {
	sum := 0.0
	for i := range t.Losses {
		sum += t.Losses[i].Worth
	}
	return sum
}

// Sums adds the losses up by cause and a key of each.
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

// ByRule, ByRegion and ByWindow are keys of Sums.
func ByRule(l *Loss) string   { return l.Rule }
func ByRegion(l *Loss) string { return l.Region }

// ByWindow returns the key of the span in which the caller first asked.
func (t *Table) ByWindow(l *Loss) string {
	return fmt.Sprintf("%3.0fs", (l.At / t.window * t.window).Seconds())
}

// ByCause returns what was lost to each cause, the largest first.
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

// Sum is what was lost to a cause.
type Sum struct {
	Cause Cause
	Worth float64
}

// Examples returns the first requests that lost to a cause, spread over time.
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

// keys returns the keys of sums, sorted.
func keys(sums map[Cause]map[string]float64) []string {
	seen := make(map[string]bool)
	for _, s := range sums {
		for k := range s {
			seen[k] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

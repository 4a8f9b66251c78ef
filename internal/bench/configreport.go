package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/platform"
)

// ConfigReport is the result of Config. Times are from the moment at which a
// document was first known to be accepted, to the operator or to any daemon,
// until it is in force at all daemons that ran at that moment and went on
// running.
type ConfigReport struct {
	Daemons  int     `json:"daemons"`
	Changes  int     `json:"changes"` // accepted
	P50MS    float64 `json:"p50_ms"`
	P99MS    float64 `json:"p99_ms"`
	MaxMS    float64 `json:"max_ms"`
	AcceptMS float64 `json:"accept_p99_ms"` // of the call to apply, outages waited out

	CatchUpP99MS float64 `json:"catch_up_p99_ms"` // from a restart to the newest document accepted before it
	CatchUpMaxMS float64 `json:"catch_up_max_ms"`

	Reverts int `json:"reverts"` // a daemon went back, or was ready on an older document after a restart
	Lost    int `json:"lost"`    // accepted documents that vanished or share a generation with another

	Restarts    int            `json:"restarts"`
	LostWrites  int            `json:"lost_writes"` // requests or answers of writes that were lost
	StorePhases map[string]int `json:"store_phases"`
	NotStored   int            `json:"not_stored"` // operator told so, and tried again
	Unknown     int            `json:"unknown"`    // operator told so, and tried again

	StoreCallsPerChange float64         `json:"store_calls_per_change"` // under faults, waiting watches included
	StoreCalls          []ConfigCallsAt `json:"store_calls"`            // without faults, by size
	BrokenPromises      int             `json:"broken_promises"`        // reverts, lost, and a max_ms above 3,000
}

// ConfigCallsAt is the rate of store calls of a whole fleet, without faults.
type ConfigCallsAt struct {
	Daemons         int     `json:"daemons"`
	IdlePerSecond   float64 `json:"idle_per_second"`   // nearly all of them watches
	ChangePerSecond float64 `json:"change_per_second"` // with one change a second
	WritesPerChange float64 `json:"writes_per_change"`
}

// fill works out times and broken promises.
func (r *ConfigReport) fill(f *configFleet, o *configOperator, faults *configFaults) {
	spread := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	catchUp := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	changes := o.changes[1:]
	for _, c := range changes {
		_ = spread.RecordValue(f.slowest(c).Microseconds())
	}
	for _, d := range f.daemons {
		for i, run := range d.runs {
			r.Reverts += run.reverts()
			if i > 0 {
				r.restarted(run, changes, catchUp)
			}
		}
	}
	r.Changes = len(changes)
	r.P50MS, r.P99MS, r.MaxMS = millisAt(spread, 50), millisAt(spread, 99), millisAt(spread, 100)
	r.AcceptMS = millisAt(o.accept, 99)
	r.CatchUpP99MS, r.CatchUpMaxMS = millisAt(catchUp, 99), millisAt(catchUp, 100)
	r.Lost = lostChanges(f, o.changes)
	r.Restarts, r.LostWrites, r.StorePhases = faults.restarts, faults.lost, faults.phases
	r.BrokenPromises = r.Reverts + r.Lost
	if r.MaxMS > float64(configInForceWithin.Milliseconds()) {
		r.BrokenPromises++
	}
}

func millisAt(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}

// firstKnown returns when the change was known to be accepted, to the operator
// or to the first daemon that had it in force.
func (f *configFleet) firstKnown(c configChange) time.Time {
	first := c.at
	for _, d := range f.daemons {
		for _, run := range d.runs {
			at := run.inForce(c.record.Generation)
			if run.began.Before(first) && !at.IsZero() && at.Before(first) {
				first = at
			}
		}
	}
	return first
}

// slowest returns the time from acceptance until the change was in force at
// the last of the daemons that ran then and went on running. Where it never
// came in force the time until now counts.
func (f *configFleet) slowest(c configChange) time.Duration {
	var worst time.Duration
	first := f.firstKnown(c)
	for _, d := range f.daemons {
		for _, run := range d.runs {
			if run.began.After(first) {
				continue
			}
			at := run.inForce(c.record.Generation)
			if at.IsZero() && run.over() {
				continue
			}
			if at.IsZero() {
				at = time.Now()
			}
			worst = max(worst, at.Sub(first))
		}
	}
	return worst
}

func (r *configRun) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ended.IsZero()
}

// restarted takes the time in which a run caught up with what was accepted
// before it began.
func (r *ConfigReport) restarted(run *configRun, changes []configChange, catchUp *hdrhistogram.Histogram) {
	var newest config.Generation
	for _, c := range changes {
		if c.at.Before(run.began) {
			newest = c.record.Generation
		}
	}
	at := run.inForce(newest)
	if at.IsZero() && run.over() {
		return
	}
	if at.IsZero() {
		at = time.Now()
	}
	_ = catchUp.RecordValue(at.Sub(run.began).Microseconds())
}

// lostChanges counts accepted generations that do not rise, and a last one
// that the store or a daemon no longer holds.
func lostChanges(f *configFleet, changes []configChange) int {
	lost := 0
	for i := 1; i < len(changes); i++ {
		if changes[i].record.Generation <= changes[i-1].record.Generation {
			lost++
		}
	}
	last := changes[len(changes)-1].record
	o, err := f.store.Get(context.Background(), platform.KindConfig, repository.HeadName)
	if err != nil {
		return lost + 1
	}
	head, err := repository.DecodeHead(o.Value)
	if err != nil || head.Current.WriteID != last.WriteID {
		lost++
	}
	for _, run := range f.running() {
		if s := run.sync.Current(); s == nil || s.Hash != last.Hash {
			lost++
		}
	}
	return lost
}

// Print writes the report as text.
func (r *ConfigReport) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, `changes accepted       %d over %d daemons
accept to everywhere   p50 %.0f ms, p99 %.0f ms, max %.0f ms
call to apply          p99 %.0f ms (outages waited out)
restart to caught up   p99 %.0f ms, max %.0f ms
reverts %d, lost %d, broken promises %d
faults                 %d restarts, %d lost writes, store phases %v
operator told          not stored %d times, unknown %d times
store calls per change %.1f under faults
`, r.Changes, r.Daemons, r.P50MS, r.P99MS, r.MaxMS, r.AcceptMS, r.CatchUpP99MS, r.CatchUpMaxMS,
		r.Reverts, r.Lost, r.BrokenPromises, r.Restarts, r.LostWrites, r.StorePhases, r.NotStored, r.Unknown, r.StoreCallsPerChange)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, c := range r.StoreCalls {
		_, err := fmt.Fprintf(w, "%d daemons: %.1f calls/s idle, %.1f calls/s with a change a second, %.1f writes per change\n",
			c.Daemons, c.IdlePerSecond, c.ChangePerSecond, c.WritesPerChange)
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/platform"
)

// ConfigOptions configures Config. Only Document is required; other zero
// values mean the defaults.
type ConfigOptions struct {
	Document *config.Document
	Daemons  int   // default 30
	Changes  int   // accepted changes; default 200
	Sizes    []int // fleet sizes at which store calls are counted; default 10, 30, 100
	Seed     uint64
}

// Defaults of ConfigOptions, and the bound on the time to be in force.
const (
	defaultConfigDaemons = 30
	defaultConfigChanges = 200
	configInForceWithin  = 3 * time.Second
	configSettle         = 10 * time.Second
	configChangeEvery    = 100 * time.Millisecond
	configCountFor       = 5 * time.Second
	configCountChanges   = 5
)

var defaultConfigSizes = []int{10, 30, 100}

func (o *ConfigOptions) setDefaults() {
	if o.Daemons == 0 {
		o.Daemons = defaultConfigDaemons
	}
	if o.Changes == 0 {
		o.Changes = defaultConfigChanges
	}
	if o.Sizes == nil {
		o.Sizes = defaultConfigSizes
	}
}

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

// Config measures how accepted documents come in force, while the store fails
// and is slow in turn, answers are lost and daemons restart; and the calls to
// the store by the size of the fleet.
func Config(ctx context.Context, opts ConfigOptions) (*ConfigReport, error) {
	opts.setDefaults()
	report := &ConfigReport{Daemons: opts.Daemons}
	if err := runConfigChanges(ctx, opts, report); err != nil {
		return nil, err
	}
	for _, size := range opts.Sizes {
		calls, err := countConfigCalls(ctx, opts.Document, size, opts.Seed)
		if err != nil {
			return nil, err
		}
		report.StoreCalls = append(report.StoreCalls, *calls)
	}
	return report, nil
}

// configChange is one accepted change.
type configChange struct {
	record repository.Record
	at     time.Time // of the answer to the operator
}

// configOperator applies changes one after the other, each at some daemon.
type configOperator struct {
	fleet  *configFleet
	random *rand.Rand
	report *ConfigReport
	accept *hdrhistogram.Histogram // microseconds

	changes []configChange
}

func newConfigOperator(f *configFleet, seed uint64, report *ConfigReport) *configOperator {
	return &configOperator{
		fleet: f, random: rand.New(rand.NewPCG(seed, 1)), report: report,
		accept: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

// base returns the generation accepted last.
func (o *configOperator) base() config.Generation {
	if len(o.changes) == 0 {
		return 0
	}
	return o.changes[len(o.changes)-1].record.Generation
}

// change has one document accepted, trying again at other daemons until then.
func (o *configOperator) change(ctx context.Context) error {
	doc, err := config.Clone(o.fleet.document)
	if err != nil {
		return err
	}
	doc.Lookup.MaxAgeMS = config.Millis(1000 + len(o.changes))
	for ctx.Err() == nil {
		runs := o.fleet.running()
		run := runs[o.random.IntN(len(runs))]
		began := time.Now()
		accepted, err := run.sync.Apply(ctx, repository.Proposal{
			Document: doc, Base: o.base(), Author: "bench", Comment: fmt.Sprintf("change %d", len(o.changes)),
		})
		if err == nil {
			o.changes = append(o.changes, configChange{accepted.Record, time.Now()})
			_ = o.accept.RecordValue(time.Since(began).Microseconds())
			return nil
		}
		if err := o.told(err); err != nil {
			return err
		}
	}
	return trace.Wrap(ctx.Err())
}

// told counts an answer after which the operator tries again, and returns any
// other.
func (o *configOperator) told(err error) error {
	var (
		unknown   *repository.UnknownError
		notStored *repository.NotStoredError
	)
	switch {
	case errors.As(err, &unknown):
		o.report.Unknown++
	case errors.As(err, &notStored):
		o.report.NotStored++
	default:
		return trace.Wrap(err, "change %d on generation %d", len(o.changes), o.base())
	}
	return nil
}

func runConfigChanges(ctx context.Context, opts ConfigOptions, report *ConfigReport) error {
	f, err := newConfigFleet(ctx, opts.Document, opts.Daemons)
	if err != nil {
		return err
	}
	defer f.close()
	operator := newConfigOperator(f, opts.Seed, report)
	if err := operator.change(ctx); err != nil {
		return err
	}
	if err := f.settle(ctx, operator.base()); err != nil {
		return err
	}
	operator.changes = operator.changes[:1]
	before := totalCalls(f)
	faults := newConfigFaults(f, opts.Seed)
	faultCtx, end := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		faults.run(faultCtx)
	}()
	for len(operator.changes) < opts.Changes+1 {
		if err = operator.change(ctx); err != nil {
			break
		}
		pause(ctx, configChangeEvery)
	}
	end()
	<-done
	if err != nil {
		return err
	}
	calls := totalCalls(f) - before
	settleErr := f.settle(ctx, operator.base())
	report.fill(f, operator, faults)
	report.StoreCallsPerChange = float64(calls) / float64(opts.Changes)
	return settleErr
}

// settle waits until a generation is in force at all running daemons.
func (f *configFleet) settle(ctx context.Context, gen config.Generation) error {
	ctx, cancel := context.WithTimeout(ctx, configSettle)
	defer cancel()
	for {
		behind := 0
		for _, r := range f.running() {
			if r.inForce(gen).IsZero() {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return trace.LimitExceeded("generation %d is not in force at %d daemons after %v", gen, behind, configSettle)
		}
		pause(ctx, time.Millisecond)
	}
}

func totalCalls(f *configFleet) int {
	n := 0
	for _, count := range f.store.Counts() {
		n += count
	}
	return n
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

// countConfigCalls counts the calls to the store of a fleet without faults.
func countConfigCalls(ctx context.Context, doc *config.Document, size int, seed uint64) (*ConfigCallsAt, error) {
	f, err := newConfigFleet(ctx, doc, size)
	if err != nil {
		return nil, err
	}
	defer f.close()
	operator := newConfigOperator(f, seed, &ConfigReport{})
	if err := operator.change(ctx); err != nil {
		return nil, err
	}
	if err := f.settle(ctx, operator.base()); err != nil {
		return nil, err
	}
	pause(ctx, configCountFor) // until the watchers are elected among all
	calls := &ConfigCallsAt{Daemons: size}
	before := totalCalls(f)
	pause(ctx, configCountFor)
	calls.IdlePerSecond = float64(totalCalls(f)-before) / configCountFor.Seconds()

	before, writes := totalCalls(f), f.store.Calls(platform.OpUpdate)
	began := time.Now()
	for range configCountChanges {
		if err := operator.change(ctx); err != nil {
			return nil, err
		}
		pause(ctx, time.Second)
	}
	calls.ChangePerSecond = float64(totalCalls(f)-before) / time.Since(began).Seconds()
	calls.WritesPerChange = float64(f.store.Calls(platform.OpUpdate)-writes) / configCountChanges
	return calls, nil
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

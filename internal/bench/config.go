package bench

import (
	"context"
	"errors"
	"fmt"
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
		unknown   *repository.UnknownOutcomeError
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

package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"masticturn/internal/kernel"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// Pauses between calls to the store and to other VMs.
const (
	// lapseLeast is how long an outage must last for entries to lapse in it: less than
	// a few reports of a target.
	lapseLeast = 2 * time.Second
	// settlePause lets further changes gather before the next watch, since each
	// answer is a call that is paid for.
	settlePause = 200 * time.Millisecond
	// startPatience is how long a VM that starts gives the others to tell what the
	// store holds: joining takes a way between regions or two. Callers wait for it, but
	// not yet where the whole fleet starts for the first time.
	startPatience      = 300 * time.Millisecond
	firstStartPatience = 2 * time.Second
	// startPause is the pause between looks for VMs to hear from at the start.
	startPause = 20 * time.Millisecond
	// pollPause is the pause when all VMs to hear from are passed over.
	pollPause = 50 * time.Millisecond
	// askFirstFor bounds one of a VM's first polls: who is asked may not have started
	// yet.
	askFirstFor = 250 * time.Millisecond
	// strayReads is how many reads a second VMs that are no readers make of a kind,
	// over the whole fleet, and stalesLeast how many VMs must have told that they are
	// out of touch before: all readers may be turned away by a store that serves
	// others.
	strayReads  = 12
	stalesLeast = 2
	// aroundShare is the part of turns in which any VM of the region is polled
	// meanwhile, for askAroundFor at most.
	aroundShare  = 0.5
	askAroundFor = 400 * time.Millisecond
)

// change is what one read of the store, or of another VM, brought.
type change struct {
	kind     platform.Kind
	list     []platform.Object // a whole list, when listed
	listed   bool
	events   []platform.Event
	asOf     platform.Version
	age      time.Duration // of what was read
	regained bool          // the store was out of reach before
}

// watcher keeps the mirror of one kind up to date: from other VMs while they
// are up to date, else from the store.
type watcher struct {
	kind    platform.Kind
	stale   time.Duration // age at which what a VM tells is not good enough
	store   platform.Store
	gate    *gate       // of the calls of all kinds
	joined  func() bool // whether this VM knows others, or that there are none
	ways    func() ways
	relay   func(vm string) relaySource
	clock   kernel.Clock
	logger  *telemetry.Logger
	publish func(change change)

	firstStart bool                 // the whole fleet starts for the first time
	asOf       platform.Version     // 0: a list is needed
	avoid      map[string]time.Time // VMs that are passed over until then
	stales     int                  // answers of VMs that are out of touch themselves, since the last news
	drawn      time.Time            // when there was news last, or it was drawn whether to read
	outage     bool                 // neither VMs nor the store tell anything new
	refused    bool                 // this VM's last read failed
	lostAt     time.Time
	readNow    bool // read the store next, whatever VMs there are to ask
}

// run reads until the context is done.
func (w *watcher) run(ctx context.Context) {
	w.begin(ctx)
	for ctx.Err() == nil {
		w.step(ctx)
	}
}

// begin gets the first list. Other VMs have it as a rule, so that a start does not
// cost calls to the store; where they have nothing either it is read at once, unless
// no caller waits yet.
func (w *watcher) begin(ctx context.Context) {
	patient, cancel := context.WithTimeout(ctx, w.patience())
	defer cancel()
	for patient.Err() == nil && !w.joined() {
		sleep(patient, startPause)
	}
	for patient.Err() == nil && w.asOf == 0 {
		from := w.ways().vms
		if len(from) == 0 || w.askFirst(patient, w.parent(from)) {
			break
		}
		sleep(patient, startPause)
	}
	w.readNow = w.asOf == 0
}

func (w *watcher) patience() time.Duration {
	if w.firstStart {
		return firstStartPatience
	}
	return startPatience
}

// askFirst asks a VM, "" for none, for the first list. It reports whether there is
// no more to ask for.
func (w *watcher) askFirst(ctx context.Context, vm string) bool {
	if vm == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askFirstFor)
	defer cancel()
	err := w.poll(ctx, vm)
	if err == nil {
		return true
	}
	w.avoid[vm] = w.clock.Now().Add(avoidBriefly)
	return errors.Is(err, errStarting) && !w.firstStart
}

// step makes one call.
func (w *watcher) step(ctx context.Context) {
	ways := w.ways()
	vm := w.parent(ways.vms)
	switch {
	case w.outage && (!w.readNow || w.refused) && rand.Float64() < aroundShare:
		w.askAround(ctx, &ways)
	case w.readNow || vm == "" && w.stales == 0:
		w.readNow = false
		w.stales = 0
		if err := w.gate.call(ctx, w.clock, w.read); err != nil {
			w.failed(ctx, err)
		}
	case vm == "":
		sleep(ctx, pollPause)
	default:
		w.ask(ctx, vm, &ways)
	}
}

// askAround polls any VM of the region: one that the store serves, or that has
// heard of the store by another way, may be no reader.
func (w *watcher) askAround(ctx context.Context, ways *ways) {
	sleep(ctx, pollPause)
	if len(ways.region) == 0 {
		return
	}
	vm := ways.region[rand.IntN(len(ways.region))]
	if !w.clock.Now().After(w.avoid[vm]) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askAroundFor)
	defer cancel()
	w.ask(ctx, vm, ways)
}

// parent returns the first of the VMs to ask, "" when there is none.
func (w *watcher) parent(vms []string) string {
	now := w.clock.Now()
	for _, vm := range vms {
		if now.After(w.avoid[vm]) {
			return vm
		}
	}
	return ""
}

// ask polls a VM and decides what is next when it does not help.
func (w *watcher) ask(ctx context.Context, vm string, ways *ways) {
	began := w.clock.Now()
	err := w.poll(ctx, vm)
	if err == nil || ctx.Err() != nil {
		return
	}
	now := w.clock.Now()
	if !w.outage {
		w.logger.Log(eventRelayLost, telemetry.Peer(vm), telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
	}
	if errors.Is(err, errStale) || errors.Is(err, errStarting) {
		w.avoid[vm] = now.Add(avoidStaleFor)
		w.noteStale(ways)
		return
	}
	w.avoid[vm] = now.Add(avoidFor)
	// Most of the time there is has passed: another VM that does not answer either
	// would make the news late.
	w.readNow = now.Sub(began) > w.stale/2
}

// noteStale takes in that a VM is out of touch with the store itself. Readers then
// read it. Of the others few do, drawn by the time since the last draw: calls in an
// outage must not grow with the fleet.
func (w *watcher) noteStale(ways *ways) {
	w.stales++
	w.readNow = ways.reader
	if w.stales < stalesLeast {
		return
	}
	w.lost(errStale)
	now := w.clock.Now()
	expected := strayReads * now.Sub(w.drawn).Seconds()
	w.drawn = now
	w.readNow = w.readNow || rand.Float64()*float64(ways.members) < expected
}

// poll asks another VM.
func (w *watcher) poll(ctx context.Context, vm string) error {
	a, err := w.relay(vm).poll(ctx, w.kind, w.asOf)
	if err != nil {
		return err
	}
	if a.AsOf == 0 {
		return errStarting
	}
	if a.AsOf < w.asOf {
		return errStale // it is behind what this VM knows
	}
	if a.Age > w.stale {
		w.takeNewer(a)
		return errStale
	}
	w.stales = 0
	w.succeeded(a.change(w.kind))
	return nil
}

// takeNewer takes in what is newer than what this VM knows, though too old to rely
// on that there is nothing newer still.
func (w *watcher) takeNewer(a *pollAnswer) {
	if w.asOf == 0 || a.AsOf == w.asOf {
		return
	}
	w.asOf = a.AsOf
	w.publish(a.change(w.kind))
}

// read makes one call to the store.
func (w *watcher) read(ctx context.Context) error {
	if w.asOf == 0 {
		list, asOf, err := w.store.List(ctx, w.kind)
		if err != nil {
			return err
		}
		w.succeeded(change{kind: w.kind, list: list, listed: true, asOf: asOf})
		return nil
	}
	events, asOf, err := w.store.Watch(ctx, w.kind, w.asOf)
	if err != nil {
		return err
	}
	w.succeeded(change{kind: w.kind, events: events, asOf: asOf})
	if len(events) > 0 {
		sleep(ctx, settlePause)
	}
	return nil
}

func (w *watcher) succeeded(c change) {
	w.drawn = w.clock.Now()
	w.asOf = c.asOf
	w.refused = false
	if w.outage {
		w.outage = false
		c.regained = w.clock.Now().Sub(w.lostAt) >= lapseLeast
		w.logger.Log(eventStoreRegained, telemetry.Value("kind", string(w.kind)),
			telemetry.Value("away_ms", w.clock.Now().Sub(w.lostAt).Milliseconds()))
	}
	w.publish(c)
}

func (w *watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, platform.ErrCompacted) {
		w.asOf = 0
		return
	}
	w.refused = true
	w.lost(err)
}

// lost notes that nobody tells anything new.
func (w *watcher) lost(err error) {
	if w.outage {
		return
	}
	w.outage = true
	w.lostAt = w.clock.Now()
	w.logger.Log(eventStoreLost, telemetry.Value("kind", string(w.kind)), telemetry.Err(err))
}

// sleep waits, or returns early when the context is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

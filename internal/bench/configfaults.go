package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
	standinplatform "masticturn/internal/standin/platform"
)

// configPhase is what the store does for a while.
type configPhase struct {
	name    string
	mode    standinplatform.Mode
	latency time.Duration
	lasts   time.Duration
}

// configPhases follow each other, over and over.
var configPhases = []configPhase{
	{"normal", standinplatform.Normal, 0, 2 * time.Second},
	{"slow", standinplatform.Normal, 150 * time.Millisecond, 3 * time.Second},
	{"refuses", standinplatform.Refuse, 0, 1500 * time.Millisecond},
	{"normal", standinplatform.Normal, 0, 2 * time.Second},
	{"silent", standinplatform.Silent, 0, 1500 * time.Millisecond},
	{"cuts", standinplatform.Cut, 0, 1500 * time.Millisecond},
}

// Chances and times of the faults.
const (
	configLostAnswer   = 0.10 // of a write of the head
	configLostRequest  = 0.05
	configRestartEvery = 1500 * time.Millisecond
	configDownFor      = 500 * time.Millisecond
)

// configFaults brings faults over a fleet while it runs.
type configFaults struct {
	fleet *configFleet

	mu       sync.Mutex // guards all below
	random   *rand.Rand
	lost     int // answers or requests of writes
	restarts int
	phases   map[string]int
}

func newConfigFaults(f *configFleet, seed uint64) *configFaults {
	return &configFaults{fleet: f, random: rand.New(rand.NewPCG(seed, seed)), phases: make(map[string]int)}
}

// run brings faults until the context ends, and leaves the fleet and the
// store whole.
func (c *configFaults) run(ctx context.Context) {
	c.fleet.store.SetHook(c.hook)
	var group sync.WaitGroup
	group.Go(func() { c.changeStore(ctx) })
	group.Go(func() { c.restart(ctx) })
	group.Wait()
	c.fleet.store.SetHook(nil)
	c.fleet.handler.SetMode(standinplatform.Normal)
	c.fleet.handler.SetLatency(0)
}

// hook loses some writes of the head, on their way or on the way back.
func (c *configFaults) hook(_ context.Context, call platformtest.Call) platformtest.Fault {
	if call.Kind != platform.KindConfig || !call.Op.Writes() {
		return platformtest.FaultNone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	chance := c.random.Float64()
	switch {
	case chance < configLostAnswer:
		c.lost++
		return platformtest.FaultLostAnswer
	case chance < configLostAnswer+configLostRequest:
		c.lost++
		return platformtest.FaultLostRequest
	}
	return platformtest.FaultNone
}

func (c *configFaults) changeStore(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		p := configPhases[i%len(configPhases)]
		c.fleet.handler.SetMode(p.mode)
		c.fleet.handler.SetLatency(p.latency)
		c.mu.Lock()
		c.phases[p.name]++
		c.mu.Unlock()
		pause(ctx, p.lasts)
	}
}

func (c *configFaults) restart(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, configRestartEvery)
		c.mu.Lock()
		d := c.fleet.daemons[c.random.IntN(len(c.fleet.daemons))]
		c.restarts++
		c.mu.Unlock()
		d.stop()
		pause(ctx, configDownFor)
		if err := d.start(context.WithoutCancel(ctx)); err != nil {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"masticturn/internal/platform"
	"masticturn/internal/platform/platformtest"
	"masticturn/platform/storestandin"
)

// configPhase is what the store does for a while.
type configPhase struct {
	name    string
	mode    storestandin.Mode
	latency time.Duration
	deaf    bool // watches and most reads fail, so that peers must spread what is accepted
	lasts   time.Duration
}

// configPhases follow each other, over and over.
var configPhases = []configPhase{
	{name: "normal", lasts: 2 * time.Second},
	{name: "slow", latency: 150 * time.Millisecond, lasts: 3 * time.Second},
	{name: "refuses", mode: storestandin.Refuse, lasts: 1500 * time.Millisecond},
	{name: "deaf", deaf: true, lasts: 3 * time.Second},
	{name: "silent", mode: storestandin.Silent, lasts: 1500 * time.Millisecond},
	{name: "cuts", mode: storestandin.Disconnect, lasts: 1500 * time.Millisecond},
}

// Chances and times of the faults.
const (
	configLostAnswer   = 0.10 // of a write of the head
	configLostRequest  = 0.05
	configDeafRead     = 0.7 // reads that fail while the store is deaf
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
	deaf     bool
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
	c.fleet.handler.SetMode(storestandin.Normal)
	c.fleet.handler.SetLatency(0)
}

// hook chooses the fault of a call for the document.
func (c *configFaults) hook(_ context.Context, call platformtest.Call) platformtest.Fault {
	if call.Kind != platform.KindConfig {
		return platformtest.FaultNone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.Op.IsWrite() {
		return c.writeFault()
	}
	if c.deaf && (call.Op == platform.OpWatch || c.random.Float64() < configDeafRead) {
		return platformtest.FaultUnavailable
	}
	return platformtest.FaultNone
}

// writeFault loses some writes, on their way or on the way back.
func (c *configFaults) writeFault() platformtest.Fault {
	chance := c.random.Float64()
	switch {
	case chance < configLostAnswer:
		c.lost++
		return platformtest.FaultLostResponse
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
		c.deaf = p.deaf
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

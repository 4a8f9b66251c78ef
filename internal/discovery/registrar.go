package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// RegistrarName is the name under which the registrar is registered.
const RegistrarName = "discovery.registrar"

// registerRetryInterval is the interval between attempts to write the entry.
const registerRetryInterval = 500 * time.Millisecond

// eraCheckInterval is the interval of checks for a new era of the store, which cost no call.
// reregisterWithin is the time within which VMs then write their entries again.
const (
	eraCheckInterval = time.Second
	reregisterWithin = 5 * time.Second
)

// needCheckInterval is the interval of checks whether this VM's entry is needed. minNeedChecks is
// how many consecutive checks must agree, because the ranking of VMs changes for short times
// during a rolling restart.
const (
	needCheckInterval = 500 * time.Millisecond
	minNeedChecks     = 4
)

// entriesPerRegion is the number of VMs per region that write an entry. A new VM can join through
// any of them.
const entriesPerRegion = 3

// Registrar writes this VM's entry, by which new VMs find the fleet. The entry only holds
// addresses; heartbeats between VMs detect whether the VM is alive. Only a few VMs per region
// write one, to limit the store calls when a fleet starts.
type Registrar struct {
	deps   RegistrarDeps
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// RegistrarDeps holds the dependencies of a Registrar.
type RegistrarDeps struct {
	Store    platform.Store
	Self     edge.VMRecord
	HasSeeds bool // VMs join through configured seeds
	Joined   func() bool
	Members  membership.Source
	Logger   *telemetry.Logger
}

var _ kernel.Service = (*Registrar)(nil)

// NewRegistrar returns a registrar that is not yet started.
func NewRegistrar(d RegistrarDeps) *Registrar { return &Registrar{deps: d} }

// Provision implements kernel.Service.
func (r *Registrar) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service. It does not wait for the store.
func (r *Registrar) Start(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	r.wg.Go(func() { r.run(ctx) })
	return nil
}

// Drain implements kernel.Service.
func (r *Registrar) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (r *Registrar) Stop(context.Context) error {
	r.cancel()
	r.wg.Wait()
	return nil
}

func (r *Registrar) run(ctx context.Context) {
	r.waitUntilNeeded(ctx)
	for ctx.Err() == nil {
		era := r.deps.Store.Era()
		r.registerUntilDone(ctx)
		if era == 0 {
			era = r.deps.Store.Era()
		}
		r.waitForCopy(ctx, era)
	}
}

func (r *Registrar) registerUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.register(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		r.deps.Logger.Log(eventRegisterFailed, telemetry.Err(err))
		sleep(ctx, registerRetryInterval)
	}
}

// waitForCopy waits until the store names a later era, as it has come back from a copy that may lack the entry, and a
// random time longer.
func (r *Registrar) waitForCopy(ctx context.Context, era uint64) {
	for r.deps.Store.Era() <= era && ctx.Err() == nil {
		sleep(ctx, eraCheckInterval)
	}
	sleep(ctx, rand.N(reregisterWithin))
}

// waitUntilNeeded waits until this VM's entry is needed. Without seeds, it is needed at once. With
// seeds, it is needed if this VM has not joined the others or is among the first entriesPerRegion
// VMs of its region.
func (r *Registrar) waitUntilNeeded(ctx context.Context) {
	for needed := 0; r.deps.HasSeeds && needed < minNeedChecks && ctx.Err() == nil; {
		sleep(ctx, needCheckInterval)
		if !r.isNeeded() {
			needed = 0
			continue
		}
		needed++
	}
}

func (r *Registrar) isNeeded() bool {
	if !r.deps.Joined() {
		return true
	}
	v := r.deps.Members.View()
	region := regionOf(v, v.Self)
	first := topOfRegion(region, liveMembers(v)[region], entriesPerRegion)
	return slices.ContainsFunc(first, func(m *membership.Member) bool { return m.Name == v.Self })
}

// register creates the entry, or updates the one of an earlier process. It is idempotent, so that
// a call with an unknown outcome can be retried.
func (r *Registrar) register(ctx context.Context) error {
	value, err := json.Marshal(r.deps.Self)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = r.deps.Store.Create(ctx, platform.KindVM, r.deps.Self.Name, value)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	known, err := r.deps.Store.Get(ctx, platform.KindVM, r.deps.Self.Name)
	if err != nil {
		return err
	}
	if string(known.Value) == string(value) {
		return nil
	}
	_, err = r.deps.Store.Update(ctx, platform.KindVM, r.deps.Self.Name, value, known.Version)
	return err
}

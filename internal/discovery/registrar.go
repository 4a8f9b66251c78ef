package discovery

import (
	"context"
	"encoding/json"
	"errors"
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

// registerPause is the pause between attempts to register.
const registerPause = 500 * time.Millisecond

// needPoll is the interval of checks whether the entry is needed; needTicks is how many
// consecutive checks must say so, as leadership moves while VMs restart one by one.
const (
	needPoll  = 500 * time.Millisecond
	needTicks = 4
)

// registered is the number of entries per region. Any of them lets a new VM join.
const registered = 3

// Registrar writes this VM's entry, by which new VMs find the fleet. It states an address;
// liveness is left to heartbeats. Few entries per region keep the calls of a start low.
type Registrar struct {
	deps   RegistrarDeps
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// RegistrarDeps is what a Registrar needs.
type RegistrarDeps struct {
	Store   platform.Store
	Self    edge.VMRecord
	Seeded  bool // VMs join by seeds
	Joined  func() bool
	Members membership.Source
	Logger  *telemetry.Logger
}

var _ kernel.Service = (*Registrar)(nil)

// NewRegistrar returns a registrar of a VM.
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
	r.awaitNeed(ctx)
	for ctx.Err() == nil {
		err := r.register(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		r.deps.Logger.Log(eventRegisterFailed, telemetry.Err(err))
		sleep(ctx, registerPause)
	}
}

// awaitNeed waits until this VM's entry is needed: at once without seeds, else if no VM
// answers or this VM is among the registered ones of its region.
func (r *Registrar) awaitNeed(ctx context.Context) {
	for needed := 0; r.deps.Seeded && needed < needTicks && ctx.Err() == nil; {
		sleep(ctx, needPoll)
		if !r.needed() {
			needed = 0
			continue
		}
		needed++
	}
}

func (r *Registrar) needed() bool {
	if !r.deps.Joined() {
		return true
	}
	v := r.deps.Members.View()
	own := byRegion(v)[regionOf(v, v.Self)]
	return slices.ContainsFunc(own[:min(registered, len(own))], func(m membership.Member) bool { return m.Name == v.Self })
}

// register creates the entry or updates that of an earlier process. It is idempotent, so that
// unknown outcomes are retried.
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

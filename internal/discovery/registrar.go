package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/edge"
	"masticturn/internal/kernel"
	"masticturn/internal/platform"
	"masticturn/internal/telemetry"
)

// RegistrarName is the name under which the registrar is registered.
const RegistrarName = "discovery.registrar"

// registerPause is the pause between attempts to register: every VM of a fleet
// that starts at once tries, and the store's rate is shared.
const registerPause = 500 * time.Millisecond

// Registrar writes this VM's entry, by which VMs that start find others. The
// entry says where a VM was last; whether it lives is for heartbeats to tell.
type Registrar struct {
	store  platform.Store
	self   edge.VMRecord
	logger *telemetry.Logger
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ kernel.Service = (*Registrar)(nil)

// NewRegistrar returns a registrar of a VM.
func NewRegistrar(store platform.Store, self edge.VMRecord, logger *telemetry.Logger) *Registrar {
	return &Registrar{store: store, self: self, logger: logger}
}

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
	for {
		err := r.register(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		r.logger.Log(eventRegisterFailed, telemetry.Err(err))
		sleep(ctx, registerPause)
	}
}

// register creates the entry or brings the one of an earlier process up to
// date. Writing the same entry twice does no harm, so that a write whose
// outcome is unknown is simply tried again.
func (r *Registrar) register(ctx context.Context) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = r.store.Create(ctx, platform.KindVM, r.self.Name, value)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	known, err := r.store.Get(ctx, platform.KindVM, r.self.Name)
	if err != nil {
		return err
	}
	if string(known.Value) == string(value) {
		return nil
	}
	_, err = r.store.Update(ctx, platform.KindVM, r.self.Name, value, known.Version)
	return err
}

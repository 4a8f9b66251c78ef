package daemon

import (
	"context"

	"masticturn/internal/kernel"
	"masticturn/internal/platform"
)

// providedStore makes a store that is provided in Options a service.
type providedStore struct {
	platform.Store
}

var _ kernel.Service = (*providedStore)(nil)

// Provision implements kernel.Service.
func (*providedStore) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (*providedStore) Start(context.Context) error { return nil }

// Drain implements kernel.Service.
func (*providedStore) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (*providedStore) Stop(context.Context) error { return nil }

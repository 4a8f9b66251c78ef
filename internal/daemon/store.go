package daemon

import (
	"context"

	"masticturn/internal/kernel"
	"masticturn/internal/platform"
)

// givenStore is a store given by a test or bench as a service.
type givenStore struct {
	platform.Store
}

var _ kernel.Service = (*givenStore)(nil)

// Provision implements kernel.Service.
func (*givenStore) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (*givenStore) Start(context.Context) error { return nil }

// Drain implements kernel.Service.
func (*givenStore) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (*givenStore) Stop(context.Context) error { return nil }

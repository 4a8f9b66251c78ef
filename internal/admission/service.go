package admission

import (
	"context"

	"masticturn/internal/kernel"
)

// ServiceName is the name under which the admitter is registered.
const ServiceName = "admission.admitter"

// Service is the admitter as a service of the kernel.
type Service struct {
	*Controller
	stop context.CancelFunc
	done chan struct{}
}

var (
	_ kernel.Service = (*Service)(nil)
	_ Admitter       = (*Service)(nil)
)

// NewService returns the admitter as a service.
func NewService(deps Deps) *Service {
	return &Service{Controller: New(deps)}
}

// Provision implements kernel.Service.
func (s *Service) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.stop = context.WithCancel(ctx)
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		s.Run(ctx)
	}()
	return nil
}

// Drain implements kernel.Service. Requests in flight belong to the forwarder,
// which drains first.
func (s *Service) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	if s.stop != nil {
		s.stop()
		<-s.done
	}
	return nil
}

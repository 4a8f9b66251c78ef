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
	resolve  func(*kernel.Kernel) (Deps, error)
	requires []string
	stop     context.CancelFunc
	done     chan struct{}
}

var (
	_ kernel.Service   = (*Service)(nil)
	_ kernel.Dependent = (*Service)(nil)
	_ Admitter         = (*Service)(nil)
)

// NewService returns a service that takes its dependencies from resolve when
// it is provisioned; requires names the services that resolve looks up.
func NewService(resolve func(*kernel.Kernel) (Deps, error), requires ...string) *Service {
	return &Service{resolve: resolve, requires: requires}
}

// Requires implements kernel.Dependent.
func (s *Service) Requires() []string { return s.requires }

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	deps, err := s.resolve(k)
	if err != nil {
		return err
	}
	s.Controller = New(deps)
	return nil
}

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

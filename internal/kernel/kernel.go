// Package kernel is the daemon's service container. Modules are registered
// under dotted names; their services look each other up by name and are
// started and stopped in dependency order.
package kernel

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Service is a component of the daemon. The kernel calls Provision and Start in
// dependency order, and Drain and Stop in reverse order.
type Service interface {
	// Provision resolves dependencies and validates the configuration. It must
	// not start anything.
	Provision(k *Kernel) error
	// Start opens listeners and starts goroutines. It returns when dependent
	// services may use this one. The context is canceled after the kernel has
	// stopped all services.
	Start(ctx context.Context) error
	// Drain accepts no new work and completes the work in flight. It returns
	// when that is complete or the context is done.
	Drain(ctx context.Context) error
	// Stop terminates remaining work immediately.
	Stop(ctx context.Context) error
}

// Module describes a service that the kernel constructs. New is called in
// dependency order, so that it can Lookup the services it requires.
type Module struct {
	Name     string
	Requires []string
	New      func(k *Kernel) (Service, error)
}

// Clock returns the current time. Durations use the monotonic reading, so that
// steps of the wall clock do not affect leases and timeouts.
type Clock interface {
	Now() time.Time
}

// SystemClock is the system clock, which testing/synctest replaces by a fake one.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Kernel holds the registered modules and their services.
type Kernel struct {
	clock    Clock
	modules  map[string]Module
	services map[string]Service
	started  []string
	cancel   context.CancelFunc
}

// New returns an empty kernel with the given clock.
func New(clock Clock) *Kernel {
	return &Kernel{clock: clock, modules: make(map[string]Module), services: make(map[string]Service)}
}

// Clock returns the clock that all services use.
func (k *Kernel) Clock() Clock { return k.clock }

// Register adds a module. It fails if the name is already registered.
func (k *Kernel) Register(m Module) error {
	if _, ok := k.modules[m.Name]; ok {
		return trace.AlreadyExists("service %q is already registered", m.Name)
	}
	k.modules[m.Name] = m
	return nil
}

// Names returns the registered names, sorted.
func (k *Kernel) Names() []string {
	return slices.Sorted(maps.Keys(k.modules))
}

// Lookup returns the service with the given name as a T. It fails if there is
// no such service or if it is not a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, trace.NotFound("service %q is not running", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, trace.BadParameter("service %q has type %T, want %T", name, s, *new(T))
	}
	return t, nil
}

// Start constructs and provisions the services of all modules in dependency
// order, then starts them. If a service fails to start, those already started
// are stopped. The context applies to Start only: the services run until Stop.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.resolve()
	if err != nil {
		return err
	}
	if err := k.provision(order); err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	k.cancel = cancel
	for _, name := range order {
		if err := k.services[name].Start(runCtx); err != nil {
			return trace.NewAggregate(trace.Wrap(err, "start %s", name), k.Stop(ctx))
		}
		k.started = append(k.started, name)
	}
	return nil
}

func (k *Kernel) provision(order []string) error {
	for _, name := range order {
		s, err := k.modules[name].New(k)
		if err != nil {
			return trace.Wrap(err, "build %s", name)
		}
		k.services[name] = s
		if err := s.Provision(k); err != nil {
			return trace.Wrap(err, "provision %s", name)
		}
	}
	return nil
}

// Drain drains the started services in reverse start order.
func (k *Kernel) Drain(ctx context.Context) error {
	return k.forEachStartedReversed("drain", func(s Service) error { return s.Drain(ctx) })
}

// Stop stops the started services in reverse start order.
func (k *Kernel) Stop(ctx context.Context) error {
	err := k.forEachStartedReversed("stop", func(s Service) error { return s.Stop(ctx) })
	if k.cancel != nil {
		k.cancel()
	}
	k.started = nil
	return err
}

func (k *Kernel) forEachStartedReversed(step string, f func(Service) error) error {
	var errs []error
	for i := len(k.started) - 1; i >= 0; i-- {
		name := k.started[i]
		if err := f(k.services[name]); err != nil {
			errs = append(errs, trace.Wrap(err, "%s %s", step, name))
		}
	}
	return trace.NewAggregate(errs...)
}

// resolve returns the module names in dependency order. Errors about missing
// and circular dependencies name all services involved.
func (k *Kernel) resolve() ([]string, error) {
	r := resolver{kernel: k, state: make(map[string]visitState)}
	for _, name := range k.Names() {
		if err := r.visit(name, nil); err != nil {
			return nil, err
		}
	}
	return r.order, nil
}

type visitState int

const (
	unvisited visitState = iota
	visiting
	visited
)

type resolver struct {
	kernel *Kernel
	state  map[string]visitState
	order  []string
}

func (r *resolver) visit(name string, path []string) error {
	switch r.state[name] {
	case visited:
		return nil
	case visiting:
		return trace.BadParameter("circular dependency: %s", strings.Join(append(path, name), " -> "))
	}
	r.state[name] = visiting
	for _, required := range r.kernel.modules[name].Requires {
		if _, ok := r.kernel.modules[required]; !ok {
			return trace.NotFound("service %q requires %q, which is not registered", name, required)
		}
		if err := r.visit(required, append(path, name)); err != nil {
			return err
		}
	}
	r.state[name] = visited
	r.order = append(r.order, name)
	return nil
}

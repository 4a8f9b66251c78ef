// Package kernel is the micro-kernel of the daemon: services register under a
// dotted name, find each other by name, and run through one lifecycle in
// dependency order.
package kernel

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Service is one part of the daemon. The kernel calls Provision and Start in
// dependency order, Drain and Stop in the reverse order.
type Service interface {
	// Provision resolves dependencies and validates; it starts nothing.
	Provision(k *Kernel) error
	// Start opens listeners and starts goroutines; it returns when ready to
	// be used by dependents. The context is done once the kernel has stopped
	// all services.
	Start(ctx context.Context) error
	// Drain finishes work in flight and takes no new work. It returns when
	// done or when the context is done.
	Drain(ctx context.Context) error
	// Stop ends at once whatever is left.
	Stop(ctx context.Context) error
}

// Module describes a service that the kernel builds itself. New is called in
// dependency order, so that it finds what it requires by Lookup.
type Module struct {
	Name     string
	Requires []string
	New      func(k *Kernel) (Service, error)
}

// Clock tells the time. Durations use the monotonic reading, so that a step
// of the wall clock never moves a lease or a timeout.
type Clock interface {
	Now() time.Time
}

// SystemClock is the machine's clock (faked under testing/synctest).
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// Kernel holds the registered services.
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

// Clock returns the clock every service shall use.
func (k *Kernel) Clock() Clock { return k.clock }

// Register adds a module. A name registered twice is an error.
func (k *Kernel) Register(m Module) error {
	if _, ok := k.modules[m.Name]; ok {
		return trace.AlreadyExists("service %q is registered twice", m.Name)
	}
	k.modules[m.Name] = m
	return nil
}

// Names returns the registered names, sorted.
func (k *Kernel) Names() []string {
	return slices.Sorted(maps.Keys(k.modules))
}

// Lookup returns the service of that name as a T. It fails when there is no
// such service or when it is of another type.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, trace.NotFound("no service is running as %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, trace.BadParameter("service %q is a %T, which does not serve as %T", name, s, *new(T))
	}
	return t, nil
}

// Start orders the modules by their dependencies, builds and provisions all
// services, then starts them. On an error whatever was started is stopped.
// The context bounds the start only: the services run until Stop.
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

// Drain drains the started services in reverse order of their start.
func (k *Kernel) Drain(ctx context.Context) error {
	return k.reverse("drain", func(s Service) error { return s.Drain(ctx) })
}

// Stop stops the started services in reverse order of their start.
func (k *Kernel) Stop(ctx context.Context) error {
	err := k.reverse("stop", func(s Service) error { return s.Stop(ctx) })
	if k.cancel != nil {
		k.cancel()
	}
	k.started = nil
	return err
}

func (k *Kernel) reverse(step string, f func(Service) error) error {
	var errs []error
	for i := len(k.started) - 1; i >= 0; i-- {
		name := k.started[i]
		if err := f(k.services[name]); err != nil {
			errs = append(errs, trace.Wrap(err, "%s %s", step, name))
		}
	}
	return trace.NewAggregate(errs...)
}

// resolve returns the names in dependency order. A missing or circular
// dependency is an error that names both ends.
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
	for _, need := range r.kernel.modules[name].Requires {
		if _, ok := r.kernel.modules[need]; !ok {
			return trace.NotFound("service %q requires %q, which is not registered", name, need)
		}
		if err := r.visit(need, append(path, name)); err != nil {
			return err
		}
	}
	r.state[name] = visited
	r.order = append(r.order, name)
	return nil
}

package daemon

import (
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/confsync"
	"masticturn/internal/drain"
	"masticturn/internal/forward"
	"masticturn/internal/idempotency"
	"masticturn/internal/kernel"
	"masticturn/internal/lookup"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/operator"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
)

// storeName is the name of the platform's store in the kernel.
const storeName = "platform.store"

// modules lists the services of a daemon. Each finds what it requires by name.
func (d *Daemon) modules() []kernel.Module {
	return []kernel.Module{
		{Name: storeName, New: d.newStore},
		{Name: peer.ServiceName, New: d.newNetwork},
		{
			Name:     membership.ServiceName,
			Requires: []string{peer.ServiceName, storeName},
			New:      d.newMembership,
		},
		{
			Name:     confsync.ServiceName,
			Requires: []string{peer.ServiceName, storeName, membership.ServiceName},
			New:      d.newConfsync,
		},
		{
			Name:     measure.ServiceName,
			Requires: []string{peer.ServiceName, storeName, membership.ServiceName, confsync.ServiceName},
			New:      d.newMeasure,
		},
		{
			Name:     idempotency.ServiceName,
			Requires: []string{peer.ServiceName, storeName, membership.ServiceName, confsync.ServiceName},
			New:      d.newKeys,
		},
		{
			Name:     lookup.ServiceName,
			Requires: []string{membership.ServiceName, confsync.ServiceName, idempotency.ServiceName},
			New:      d.newLookup,
		},
		{
			Name:     admission.ServiceName,
			Requires: []string{peer.ServiceName, membership.ServiceName, confsync.ServiceName, measure.ServiceName},
			New:      d.newAdmission,
		},
		{
			Name:     forward.ServiceName,
			Requires: []string{confsync.ServiceName, measure.ServiceName, idempotency.ServiceName, lookup.ServiceName, admission.ServiceName},
			New:      d.newForward,
		},
		{
			Name:     operator.ServiceName,
			Requires: []string{storeName, membership.ServiceName, confsync.ServiceName, measure.ServiceName, forward.ServiceName},
			New:      d.newOperator,
		},
		{
			// Required by none and requiring the last ones: it is drained first.
			Name:     drain.ServiceName,
			Requires: []string{membership.ServiceName, confsync.ServiceName, forward.ServiceName, operator.ServiceName},
			New:      d.newDrain,
		},
	}
}

// wiring are the services that most others need.
type wiring struct {
	store   platform.Store
	network peer.Network
	members *membership.Service
	config  config.Source
	targets measure.Source
}

// need looks one service up and keeps the first error of several.
func need[T any](k *kernel.Kernel, name string, into *T, err *error) {
	if *err != nil {
		return
	}
	*into, *err = kernel.Lookup[T](k, name)
}

func (d *Daemon) newStore(*kernel.Kernel) (kernel.Service, error) {
	if d.opts.Store != nil {
		return &givenStore{Store: d.opts.Store}, nil
	}
	p := d.settings.Platform
	return platform.NewClient(platform.ClientOptions{
		URL:            p.URL,
		Timeout:        time.Duration(p.TimeoutMS) * time.Millisecond,
		CallsPerSecond: p.CallsPerSecond,
		Metrics:        d.opts.Metrics,
		Dial:           d.opts.Dial,
	})
}

func (d *Daemon) newNetwork(*kernel.Kernel) (kernel.Service, error) {
	return peer.NewTCP(peer.Options{
		VM:          d.settings.VM.Name,
		Incarnation: d.incarnation,
		Listener:    d.listeners.peers,
		TLS:         d.settings.Peers.TLS,
		DialContext: d.opts.Dial,
		Metrics:     d.opts.Metrics,
		Logger:      d.opts.Logger,
	})
}

// self is this daemon as the others shall know it.
func (d *Daemon) self() membership.Member {
	return membership.Member{
		Name:          d.settings.VM.Name,
		Zone:          d.settings.VM.Zone,
		Region:        d.settings.VM.Region,
		PeerAddress:   d.PeerAddress(),
		CallerAddress: d.CallerAddress(),
		Incarnation:   d.incarnation,
	}
}

func (d *Daemon) newMembership(k *kernel.Kernel) (kernel.Service, error) {
	var w wiring
	var err error
	need(k, peer.ServiceName, &w.network, &err)
	need(k, storeName, &w.store, &err)
	if err != nil {
		return nil, err
	}
	return membership.NewService(membership.Config{
		Self:    d.self(),
		Seeds:   d.settings.Peers.Seeds,
		Network: w.network,
		Store:   w.store,
		Logger:  d.opts.Logger,
		Metrics: d.opts.Metrics,
	}), nil
}

func (d *Daemon) newConfsync(k *kernel.Kernel) (kernel.Service, error) {
	var w wiring
	var err error
	need(k, peer.ServiceName, &w.network, &err)
	need(k, storeName, &w.store, &err)
	need(k, membership.ServiceName, &w.members, &err)
	if err != nil {
		return nil, err
	}
	return confsync.NewService(confsync.Deps{
		Self:      d.self(),
		Store:     w.store,
		Network:   w.network,
		Members:   w.members,
		Clock:     d.opts.Clock,
		Log:       d.opts.Logger,
		Metrics:   d.opts.Metrics,
		Advertise: w.members.SetGeneration,
	}), nil
}

func (d *Daemon) newMeasure(k *kernel.Kernel) (kernel.Service, error) {
	var w wiring
	var err error
	need(k, peer.ServiceName, &w.network, &err)
	need(k, storeName, &w.store, &err)
	need(k, membership.ServiceName, &w.members, &err)
	need(k, confsync.ServiceName, &w.config, &err)
	if err != nil {
		return nil, err
	}
	return measure.NewService(measure.Deps{
		Config:  w.config,
		Members: w.members,
		Network: w.network,
		Store:   w.store,
		Dial:    d.opts.Dial,
		VM:      d.settings.VM.Name,
		Region:  d.settings.VM.Region,
		Clock:   d.opts.Clock,
		Logger:  d.opts.Logger,
		Metrics: d.opts.Metrics,
	}), nil
}

func (d *Daemon) newKeys(k *kernel.Kernel) (kernel.Service, error) {
	var w wiring
	var err error
	need(k, peer.ServiceName, &w.network, &err)
	need(k, storeName, &w.store, &err)
	need(k, membership.ServiceName, &w.members, &err)
	need(k, confsync.ServiceName, &w.config, &err)
	if err != nil {
		return nil, err
	}
	keys, err := idempotency.NewKeys(idempotency.Deps{
		Self:    idempotency.Instance{VM: d.settings.VM.Name, Incarnation: d.incarnation},
		Store:   w.store,
		Network: w.network,
		Config:  w.config,
		Clock:   d.opts.Clock,
		Logger:  d.opts.Logger,
		Metrics: d.opts.Metrics,
	})
	if err != nil {
		return nil, err
	}
	w.members.Subscribe(keys.Follow)
	return keys, nil
}

func (d *Daemon) newLookup(k *kernel.Kernel) (kernel.Service, error) {
	var w wiring
	var err error
	need(k, membership.ServiceName, &w.members, &err)
	var keys *idempotency.Keys
	need(k, confsync.ServiceName, &w.config, &err)
	need(k, idempotency.ServiceName, &keys, &err)
	if err != nil {
		return nil, err
	}
	s := lookup.NewService(lookup.Deps{
		Config:  w.config,
		Members: w.members,
		Home:    lookup.Place{Region: d.settings.VM.Region, Zone: d.settings.VM.Zone},
		Tickets: keys,
		Metrics: d.opts.Metrics,
	})
	keys.Subscribe(s.Renew)
	return s, nil
}

func (d *Daemon) newAdmission(k *kernel.Kernel) (kernel.Service, error) {
	var w wiring
	var err error
	need(k, peer.ServiceName, &w.network, &err)
	need(k, membership.ServiceName, &w.members, &err)
	need(k, confsync.ServiceName, &w.config, &err)
	need(k, measure.ServiceName, &w.targets, &err)
	if err != nil {
		return nil, err
	}
	return admission.NewService(admission.Deps{
		Config:  w.config,
		Members: w.members,
		Targets: w.targets,
		Network: w.network,
		VM:      d.settings.VM,
		Clock:   d.opts.Clock,
		Logger:  d.opts.Logger,
		Metrics: d.opts.Metrics,
	}), nil
}

func (d *Daemon) newForward(k *kernel.Kernel) (kernel.Service, error) {
	var w wiring
	var err error
	var places *lookup.Service
	var admitter admission.Admitter
	var keys *idempotency.Keys
	need(k, idempotency.ServiceName, &keys, &err)
	need(k, confsync.ServiceName, &w.config, &err)
	need(k, measure.ServiceName, &w.targets, &err)
	need(k, lookup.ServiceName, &places, &err)
	need(k, admission.ServiceName, &admitter, &err)
	if err != nil {
		return nil, err
	}
	handler := forward.NewHandler(forward.Deps{
		Config:    w.config,
		Admission: admitter,
		Locator:   places,
		Measure:   w.targets,
		Keys:      keys,
		Dial:      d.opts.Dial,
		Logger:    d.opts.Logger,
		Metrics:   d.opts.Metrics,
		VM:        d.settings.VM,
		Clock:     d.opts.Clock,
	})
	return forward.NewService(forward.ServiceDeps{
		Handler:  handler,
		Lookup:   places,
		Listener: d.listeners.callers,
		Config:   w.config,
		Logger:   d.opts.Logger,
	}), nil
}

func (d *Daemon) newDrain(k *kernel.Kernel) (kernel.Service, error) {
	var w wiring
	var err error
	var callers *forward.Service
	need(k, membership.ServiceName, &w.members, &err)
	need(k, confsync.ServiceName, &w.config, &err)
	need(k, forward.ServiceName, &callers, &err)
	if err != nil {
		return nil, err
	}
	return drain.NewService(drain.Deps{
		Members: w.members,
		Callers: callers,
		Config:  w.config,
		Clock:   d.opts.Clock,
		Logger:  d.opts.Logger,
	}), nil
}

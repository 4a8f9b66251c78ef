package daemon

import (
	"time"

	"masticturn/internal/admission"
	"masticturn/internal/confsync"
	"masticturn/internal/customer"
	"masticturn/internal/discovery"
	"masticturn/internal/drain"
	"masticturn/internal/entry"
	"masticturn/internal/forward"
	"masticturn/internal/idempotency"
	"masticturn/internal/kernel"
	"masticturn/internal/lookup"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/operator"
	"masticturn/internal/peer"
	"masticturn/internal/platform"
	"masticturn/internal/quarantine"
	"masticturn/internal/ratelimit"
	"masticturn/internal/regionload"
	"masticturn/internal/roster"
	"masticturn/internal/targetlimit"
	"masticturn/internal/tunnel"
	"masticturn/platform/store"
)

// storeName is the kernel's service name of the platform's store.
const storeName = "platform.store"

// modules lists the services of a daemon with the names of the services that each requires.
func (d *Daemon) modules() []kernel.Module {
	if d.opts.Hosted != nil {
		return d.hostedModules()
	}
	return []kernel.Module{
		module(storeName, d.newStore),
		module(peer.ServiceName, d.newNetwork),
		module(membership.ServiceName, d.newMembership, peer.ServiceName, storeName),
		module(confsync.ServiceName, d.newConfsync, peer.ServiceName, storeName, membership.ServiceName),
		module(measure.ServiceName, d.newMeasure, peer.ServiceName, storeName, membership.ServiceName, confsync.ServiceName),
		module(idempotency.ServiceName, d.newKeys, peer.ServiceName, storeName, membership.ServiceName, confsync.ServiceName),
		module(lookup.ServiceName, d.newLookup, membership.ServiceName, confsync.ServiceName, idempotency.ServiceName),
		module(admission.ServiceName, d.newAdmission, peer.ServiceName, membership.ServiceName, confsync.ServiceName, measure.ServiceName),
		module(quarantine.ServiceName, d.newQuarantine, peer.ServiceName, storeName, membership.ServiceName),
		module(forward.ServiceName, d.newForward, confsync.ServiceName, measure.ServiceName, idempotency.ServiceName, lookup.ServiceName, admission.ServiceName, quarantine.ServiceName),
		module(operator.ServiceName, d.newOperator, storeName, membership.ServiceName, confsync.ServiceName, measure.ServiceName, forward.ServiceName),
		// No service requires it, and it requires the last ones: it is drained first.
		module(drain.ServiceName, d.newDrain, membership.ServiceName, confsync.ServiceName, forward.ServiceName, operator.ServiceName),
	}
}

// wiring holds the services that a module requires. The others are nil.
type wiring struct {
	store     platform.Store
	network   peer.Network
	members   *membership.Service
	config    *confsync.Service
	targets   measure.Source
	keys      *idempotency.Keys
	lookups   *lookup.Service
	admitter  admission.Admitter
	forwarder *forward.Service

	quarantine quarantine.Screener
	keyGuard   *customer.Guard
	limiter    ratelimit.Limiter

	discovery *discovery.Service
	entry     *entry.Service
	tunnels   *tunnel.Service

	targetLimits *targetlimit.Service
	regionLoads  *regionload.Service
	roster       *roster.Service
}

// module returns a module whose service is built from the services it requires.
func module(name string, build func(w *wiring) (kernel.Service, error), requires ...string) kernel.Module {
	return kernel.Module{Name: name, Requires: requires, New: func(k *kernel.Kernel) (kernel.Service, error) {
		w := &wiring{}
		for _, required := range requires {
			if err := w.find(k, required); err != nil {
				return nil, err
			}
		}
		return build(w)
	}}
}

// find looks up a service by name and sets the field that holds it.
func (w *wiring) find(k *kernel.Kernel, name string) error {
	switch name {
	case storeName:
		return find(k, name, &w.store)
	case peer.ServiceName:
		return find(k, name, &w.network)
	case membership.ServiceName:
		return find(k, name, &w.members)
	case roster.ServiceName:
		return find(k, name, &w.roster)
	case confsync.ServiceName:
		return find(k, name, &w.config)
	case measure.ServiceName:
		return find(k, name, &w.targets)
	case idempotency.ServiceName:
		return find(k, name, &w.keys)
	case lookup.ServiceName:
		return find(k, name, &w.lookups)
	case admission.ServiceName:
		return find(k, name, &w.admitter)
	case forward.ServiceName:
		return find(k, name, &w.forwarder)
	case ratelimit.ServiceName:
		return find(k, name, &w.limiter)
	case customer.GuardName:
		return find(k, name, &w.keyGuard)
	case quarantine.ServiceName:
		return find(k, name, &w.quarantine)
	case discovery.ServiceName:
		return find(k, name, &w.discovery)
	case entry.ServiceName:
		return find(k, name, &w.entry)
	case tunnel.ServiceName:
		return find(k, name, &w.tunnels)
	case targetlimit.ServiceName:
		return find(k, name, &w.targetLimits)
	case regionload.ServiceName:
		return find(k, name, &w.regionLoads)
	}
	return nil // required only for the order
}

func find[T any](k *kernel.Kernel, name string, into *T) error {
	s, err := kernel.Lookup[T](k, name)
	*into = s
	return err
}

func (d *Daemon) newStore(*wiring) (kernel.Service, error) {
	if d.opts.Store != nil {
		return &providedStore{Store: d.opts.Store}, nil
	}
	p := d.settings.Platform
	return store.NewClient(store.ClientOptions{
		URL:            p.URL,
		Timeout:        time.Duration(p.TimeoutMS) * time.Millisecond,
		WatchTimeout:   time.Duration(p.WatchMS) * time.Millisecond,
		WatchTimeouts:  d.watchTimeouts(),
		CallsPerSecond: p.CallsPerSecond,
		Metrics:        d.opts.Metrics,
		Logger:         d.opts.Logger,
		Dial:           d.opts.Dial,
	})
}

// watchTimeouts returns how long the store may hold a watch, for the kinds whose changes
// must be known within a given time.
func (d *Daemon) watchTimeouts() map[platform.Kind]time.Duration {
	if d.opts.Hosted == nil {
		return nil
	}
	out := make(map[platform.Kind]time.Duration)
	for kind, t := range discovery.Timings(d.opts.Hosted.Decoder.Kinds(), d.settings.Bounds) {
		out[kind] = t.WatchTimeout
	}
	return out
}

func (d *Daemon) newNetwork(*wiring) (kernel.Service, error) {
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

// self returns the entry of this daemon in the fleet's membership.
func (d *Daemon) self() membership.Member {
	return membership.Member{
		Name:          d.settings.VM.Name,
		Zone:          d.settings.VM.Zone,
		Region:        d.settings.VM.Region,
		PeerAddress:   d.PeerAddress(),
		CallerAddress: d.CallerAddress(),
		Cores:         d.settings.VM.Cores,
		Incarnation:   d.incarnation,
		Carries:       d.opts.Hosted != nil,
		GrantsTokens:  d.opts.Hosted != nil,
	}
}

func (d *Daemon) newMembership(w *wiring) (kernel.Service, error) {
	return membership.NewService(membership.Config{
		Self:    d.self(),
		Seeds:   d.settings.Peers.Seeds,
		Options: d.membershipOptions(),
		Network: w.network,
		Store:   w.store,
		Logger:  d.opts.Logger,
		Metrics: d.opts.Metrics,
	}), nil
}

func (d *Daemon) newConfsync(w *wiring) (kernel.Service, error) {
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

func (d *Daemon) newMeasure(w *wiring) (kernel.Service, error) {
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

func (d *Daemon) newKeys(w *wiring) (kernel.Service, error) {
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
	w.members.Subscribe(keys.HandleViewChange)
	return keys, nil
}

func (d *Daemon) newLookup(w *wiring) (kernel.Service, error) {
	s := lookup.NewService(lookup.Deps{
		Config:       w.config,
		Members:      w.members,
		DefaultPlace: lookup.Place{Region: d.settings.VM.Region, Zone: d.settings.VM.Zone},
		Tickets:      w.keys,
		Metrics:      d.opts.Metrics,
	})
	w.keys.Subscribe(s.DiscardAnswers)
	return s, nil
}

func (d *Daemon) newAdmission(w *wiring) (kernel.Service, error) {
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

func (d *Daemon) newForward(w *wiring) (kernel.Service, error) {
	handler := forward.NewHandler(forward.Deps{
		Limits:    d.settings.Targets,
		Config:    w.config,
		Admission: w.admitter,
		Locator:   w.lookups,
		Measure:   w.targets,
		Keys:      w.keys,
		Screen:    w.quarantine,
		Dial:      d.opts.Dial,
		Logger:    d.opts.Logger,
		Metrics:   d.opts.Metrics,
		VM:        d.settings.VM,
		Clock:     d.opts.Clock,
	})
	return forward.NewService(forward.ServiceDeps{
		Handler:  handler,
		Lookup:   w.lookups,
		Listener: d.listeners.callers,
		Config:   w.config,
		Logger:   d.opts.Logger,
	}), nil
}

func (d *Daemon) newQuarantine(w *wiring) (kernel.Service, error) {
	return quarantine.NewService(quarantine.Deps{
		Self:       d.settings.VM.Name,
		Members:    w.members,
		Partners:   w.members.Partners,
		Joined:     w.members.Ready,
		FirstStart: d.settings.Peers.FirstStart,
		Network:    w.network,
		Store:      w.store,
		Clock:      d.opts.Clock,
		Logger:     d.opts.Logger,
		Metrics:    d.opts.Metrics,
	}), nil
}

func (d *Daemon) newDrain(w *wiring) (kernel.Service, error) {
	return drain.NewService(drain.Deps{
		Membership: w.members,
		Callers:    w.forwarder,
		Config:     w.config,
		Clock:      d.opts.Clock,
		Logger:     d.opts.Logger,
	}), nil
}

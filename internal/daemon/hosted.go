package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/admission"
	"masticturn/internal/config"
	"masticturn/internal/customer"
	"masticturn/internal/discovery"
	"masticturn/internal/drain"
	"masticturn/internal/edge"
	"masticturn/internal/entry"
	"masticturn/internal/forward"
	"masticturn/internal/kernel"
	"masticturn/internal/lookup"
	"masticturn/internal/measure"
	"masticturn/internal/membership"
	"masticturn/internal/operator"
	"masticturn/internal/peer"
	"masticturn/internal/placement"
	"masticturn/internal/quarantine"
	"masticturn/internal/ratelimit"
	"masticturn/internal/regionload"
	"masticturn/internal/roster"
	"masticturn/internal/settings"
	"masticturn/internal/targetlimit"
	"masticturn/internal/tunnel"
)

// errNoDocument is the reason why a daemon on a platform is not ready.
var errNoDocument = trace.ConnectionProblem(nil, "no document is in force yet")

// Hosted configures a daemon that runs on a platform, which stores the document and
// the targets, instead of using the system's own document.
type Hosted struct {
	Decoder discovery.Decoder
	Dialect *edge.Dialect
	Names   entry.Names
	Policy  placement.Policy // for choosing targets
}

// defaultLookupMaxAge is how long callers may cache a look-up on a platform, unless the
// deployment requires less. The failure of a VM is detected within about three seconds, and
// callers skip VMs that fail. A longer time would thus gain little, and a shorter one would
// only cost look-ups.
const defaultLookupMaxAge = 2 * time.Second

// lookupMaxAge returns how long callers may cache a look-up.
func lookupMaxAge(b settings.Bounds) time.Duration {
	if b.LookupMaxAge == 0 {
		return defaultLookupMaxAge
	}
	return min(defaultLookupMaxAge, b.LookupMaxAge)
}

// hostedRegionTimeout is how long a region must be silent until its members are no longer
// named to callers. It is a few heartbeats longer than the time for a single VM.
const hostedRegionTimeout = 4 * time.Second

// hostedJoinInterval is the time between attempts to join. It is short because the seeds
// may start shortly after this VM, which serves nothing before it has joined.
const hostedJoinInterval = 100 * time.Millisecond

// hostedModules lists the services of a daemon on a platform.
func (d *Daemon) hostedModules() []kernel.Module {
	return []kernel.Module{
		module(storeName, d.newStore),
		module(peer.ServiceName, d.newNetwork),
		module(membership.ServiceName, d.newMembership, peer.ServiceName, storeName),
		module(roster.ServiceName, d.newRoster, storeName, peer.ServiceName, membership.ServiceName),
		module(discovery.RegistrarName, d.newRegistrar, storeName, membership.ServiceName),
		module(discovery.ServiceName, d.newDiscovery, storeName, peer.ServiceName, membership.ServiceName, roster.ServiceName),
		module(tunnel.ServiceName, d.newTunnels, peer.ServiceName, discovery.ServiceName, membership.ServiceName),
		module(targetlimit.ServiceName, d.newTargetLimits, peer.ServiceName, membership.ServiceName),
		module(regionload.ServiceName, d.newRegionLoads, peer.ServiceName, membership.ServiceName),
		module(admission.ServiceName, d.newPlacement, peer.ServiceName, discovery.ServiceName, membership.ServiceName, tunnel.ServiceName, targetlimit.ServiceName, regionload.ServiceName, roster.ServiceName),
		module(entry.ServiceName, d.newEntry, membership.ServiceName, discovery.ServiceName),
		module(quarantine.ServiceName, d.newQuarantine, peer.ServiceName, storeName, membership.ServiceName),
		module(customer.GuardName, d.newKeyGuard, discovery.ServiceName, membership.ServiceName),
		module(ratelimit.ServiceName, d.newRateLimit, peer.ServiceName, storeName, membership.ServiceName, discovery.ServiceName),
		module(forward.ServiceName, d.newHostedForward, discovery.ServiceName, admission.ServiceName, quarantine.ServiceName, customer.GuardName, ratelimit.ServiceName, tunnel.ServiceName),
		module(operator.ServiceName, d.newHostedOperator, discovery.ServiceName),
		module(drain.ServiceName, d.newHostedDrain, membership.ServiceName, discovery.ServiceName, forward.ServiceName, entry.ServiceName),
	}
}

func (d *Daemon) membershipOptions() membership.Options {
	if d.opts.Hosted == nil {
		return membership.Options{}
	}
	return membership.Options{RegionSuspectAfter: hostedRegionTimeout, JoinInterval: hostedJoinInterval}
}

func (d *Daemon) newRoster(w *wiring) (kernel.Service, error) {
	return roster.NewService(roster.Deps{
		Self:       roster.VM{Name: d.settings.VM.Name, Region: d.settings.VM.Region},
		Members:    w.members,
		Joined:     w.members.Ready,
		FirstStart: d.settings.Peers.FirstStart,
		Network:    w.network,
		Store:      w.store,
		Clock:      d.opts.Clock,
		Logger:     d.opts.Logger,
		Metrics:    d.opts.Metrics,
	}), nil
}

func (d *Daemon) newRegistrar(w *wiring) (kernel.Service, error) {
	self := d.self()
	return discovery.NewRegistrar(discovery.RegistrarDeps{
		Store: w.store,
		Self: edge.VMRecord{
			Name:          self.Name,
			Zone:          self.Zone,
			PeerAddress:   self.PeerAddress,
			CallerAddress: self.CallerAddress,
		},
		HasSeeds: len(d.settings.Peers.Seeds) > 0,
		Joined:   w.members.Ready,
		Members:  w.members,
		Logger:   d.opts.Logger,
	}), nil
}

func (d *Daemon) newDiscovery(w *wiring) (kernel.Service, error) {
	s := discovery.NewService(discovery.Deps{
		Store:        w.store,
		Decoder:      d.opts.Hosted.Decoder,
		Members:      w.members,
		Network:      w.network,
		Joined:       w.members.Ready,
		FirstStart:   d.settings.Peers.FirstStart,
		RegionByZone: d.settings.RegionByZone,
		Bounds:       d.settings.Bounds,
		Shares: func() (config.Fleet, config.Retry) {
			return computeShares(w.members.View(), len(w.roster.VMs()), d.settings.Bounds)
		},
		Clock:   d.opts.Clock,
		Boot:    d.opts.Boot,
		Logger:  d.opts.Logger,
		Metrics: d.opts.Metrics,
	})
	s.Subscribe(func(snap *config.Snapshot) { w.members.SetGeneration(uint64(snap.Generation), 0) })
	return s, nil
}

// Parameters of this VM's share of limits that hold for the whole fleet: the connections of
// a target and the retry budget. Each VM applies the budget's ratio to its own requests, so
// that the fleet as a whole keeps it. The slack is divided by the number of VMs there may be.
const (
	retryRatioFactor = 0.75 // part of the ratio used, as the requests of a window and the retries of the next differ
	retryBackoffMS   = 1    // minimal, as the retry uses another target
	// minFleetSize is the smallest number of VMs by which limits are divided. It is twice a
	// small fleet of ten, as this VM may not know all of its members.
	minFleetSize = 20
	// fleetGrowthFactor is the factor by which the fleet may be larger than this VM knows.
	fleetGrowthFactor = 1.25
)

// computeShares returns the assumed maximum size of the fleet, by its members and the number of VMs that are listed as
// possibly running, and this VM's share of the retry budget. The burst is at least one retry, which the slack covers, as deployments
// configure about two for each VM.
func computeShares(v *membership.View, listed int, b settings.Bounds) (config.Fleet, config.Retry) {
	vms := max(minFleetSize, int(fleetGrowthFactor*float64(max(len(v.Members), listed))))
	return config.Fleet{MaxVMs: vms, MaxVMsPerRegion: vms}, config.Retry{
		BudgetFraction: retryRatioFactor * b.RetryRatio,
		BudgetBurst:    max(1, b.RetrySlack/float64(vms)),
		BackoffMS:      retryBackoffMS,
		Patient:        true,
	}
}

func (d *Daemon) newPlacement(w *wiring) (kernel.Service, error) {
	a := placement.NewAdmitter(placement.Deps{
		Views:       w.discovery,
		Members:     w.members,
		Network:     w.network,
		Settled:     w.members.Ready,
		Roster:      w.roster,
		VM:          d.settings.VM,
		Policy:      d.opts.Hosted.Policy,
		ShareNotice: w.tunnels.ShareNotice,
		RateLimits:  w.targetLimits,
		RegionLoads: w.regionLoads,

		Overload: d.settings.Overload,
		Bounds:   d.settings.Bounds,
		Metrics:  d.opts.Metrics,
		Clock:    d.opts.Clock,
		Logger:   d.opts.Logger,
	})
	w.tunnels.SetNotices(a)
	return a, nil
}

func (d *Daemon) newRegionLoads(w *wiring) (kernel.Service, error) {
	return regionload.NewService(regionload.Deps{
		Region:  d.settings.VM.Region,
		Network: w.network,
		Members: w.members,
		RootOf:  placement.TreeRoot,
		Boot:    d.opts.Boot,
		Logger:  d.opts.Logger,
		Metrics: d.opts.Metrics,
	}), nil
}

func (d *Daemon) newTargetLimits(w *wiring) (kernel.Service, error) {
	return targetlimit.NewService(targetlimit.Deps{
		Self:    d.settings.VM.Name,
		Network: w.network,
		Members: w.members,
		Joined:  w.members.Ready,
		Clock:   d.opts.Clock,
		Boot:    d.opts.Boot,
		Logger:  d.opts.Logger,
		Metrics: d.opts.Metrics,
	}), nil
}

func (d *Daemon) newTunnels(w *wiring) (kernel.Service, error) {
	streams, ok := w.network.(peer.Streams)
	if !ok {
		return nil, trace.BadParameter("the network between VMs has no streams")
	}
	return tunnel.NewService(tunnel.Deps{
		Self:        d.settings.VM.Name,
		Incarnation: d.incarnation,
		Region:      d.settings.VM.Region,
		MemoryBytes: d.settings.VM.MemoryBytes,
		Members:     w.members,
		Config:      w.discovery,
		Streams:     streams,
		Network:     w.network,
		Dial:        d.opts.Dial,
		Clock:       d.opts.Clock,
		Logger:      d.opts.Logger,
		Metrics:     d.opts.Metrics,
	}), nil
}

func (d *Daemon) newEntry(w *wiring) (kernel.Service, error) {
	return entry.NewService(entry.Deps{
		Names:          d.opts.Hosted.Names,
		ReadyListener:  d.listeners.ready,
		LookupListener: d.listeners.lookup,
		Members:        w.members,
		RegionByZone:   d.settings.RegionByZone,
		Serving:        func() (bool, string) { return w.discovery.View() != nil, "no document is in force yet" },
		MaxAge:         lookupMaxAge(d.settings.Bounds),
		Logger:         d.opts.Logger,
	}), nil
}

func (d *Daemon) newKeyGuard(w *wiring) (kernel.Service, error) {
	return customer.NewGuard(customer.GuardDeps{
		MaxRevocationDelay: d.settings.Bounds.KeyRevocation,
		Age:                w.discovery.DocumentAge,
		HasCustomers: func() bool {
			snap := w.discovery.Current()
			return snap != nil && snap.Customers.KeysRequired()
		},
		Announce: func(serves bool) { w.members.SetRefusesKeys(!serves) },
		Logger:   d.opts.Logger,
		Metrics:  d.opts.Metrics,
	}), nil
}

func (d *Daemon) newRateLimit(w *wiring) (kernel.Service, error) {
	b := d.settings.Bounds
	return ratelimit.NewService(ratelimit.Deps{
		Self:        d.settings.VM.Name,
		Region:      d.settings.VM.Region,
		Incarnation: d.incarnation,
		Tolerance:   ratelimit.Tolerance{Window: b.LimitWindow, Overage: b.LimitOverage, Slack: b.LimitSlack},
		Customers: func() *customer.Directory {
			if snap := w.discovery.Current(); snap != nil {
				return snap.Customers
			}
			return nil
		},
		Regions:  countRegions(d.settings.RegionByZone),
		Store:    w.store,
		Network:  w.network,
		Members:  w.members,
		Joined:   w.members.Ready,
		Announce: w.members.SetTerm,
		Boot:     d.opts.Boot,
		Logger:   d.opts.Logger,
		Metrics:  d.opts.Metrics,
	}), nil
}

// countRegions returns the number of regions in a map from availability zones to regions.
func countRegions(places map[string]string) int {
	regions := make(map[string]bool)
	for _, region := range places {
		regions[region] = true
	}
	return len(regions)
}

func (d *Daemon) newHostedForward(w *wiring) (kernel.Service, error) {
	handler := forward.NewHandler(forward.Deps{
		Limits:     d.settings.Targets,
		Config:     w.discovery,
		Admission:  w.admitter,
		Expected:   expectedTargets(w.admitter),
		Locator:    fixedLocator{Region: d.settings.VM.Region, Zone: d.settings.VM.Zone},
		Measure:    discardObserver{},
		Screen:     w.quarantine,
		KeyGuard:   w.keyGuard,
		Limiter:    w.limiter,
		Dial:       d.opts.Dial,
		Targets:    w.tunnels,
		ShareLimit: w.tunnels.ShareLimit,
		Logger:     d.opts.Logger,
		Metrics:    d.opts.Metrics,
		Dialect:    d.opts.Hosted.Dialect,
		VM:         d.settings.VM,
		Clock:      d.opts.Clock,
	})
	w.tunnels.OnSilence(handler.AbandonUnanswered)
	return forward.NewService(forward.ServiceDeps{
		Handler:  handler,
		Listener: d.listeners.callers,
		Config:   w.discovery,
		Logger:   d.opts.Logger,
	}), nil
}

// expectedTargets returns the admitter's function that lists the targets to which
// connections should be opened ahead of requests, or nil if it has none.
func expectedTargets(a admission.Admitter) func() []*config.TargetIndex {
	if e, ok := a.(admission.Expecter); ok {
		return e.Expected
	}
	return nil
}

func (d *Daemon) newHostedDrain(w *wiring) (kernel.Service, error) {
	return drain.NewService(drain.Deps{
		Membership: leaver{w.members, w.entry},
		Callers:    w.forwarder,
		Config:     w.discovery,
		StopGrace:  d.settings.Bounds.StopGrace,
		Clock:      d.opts.Clock,
		Logger:     d.opts.Logger,
	}), nil
}

func (d *Daemon) newHostedOperator(w *wiring) (kernel.Service, error) {
	return operator.NewServer(operator.Deps{
		Listener: d.listeners.operators,
		Ready: func() error {
			if w.discovery.View() == nil {
				return errNoDocument
			}
			return nil
		},
		Metrics: d.opts.Metrics,
		Logger:  d.opts.Logger,
	}), nil
}

// leaver removes this VM from look-ups and makes it report that it is not ready.
type leaver struct {
	members *membership.Service
	entry   *entry.Service
}

// Leave implements drain.Leaver.
func (l leaver) Leave(ctx context.Context) error {
	l.entry.Leave()
	return l.members.Leave(ctx)
}

// fixedLocator locates every caller at the place of this VM, as look-ups by place have sent
// it here.
type fixedLocator lookup.Place

// Locate implements lookup.Locator.
func (p fixedLocator) Locate(netip.Addr) lookup.Place { return lookup.Place(p) }

// discardObserver ignores the load and state that targets report. Placement learns them
// from the results of requests.
type discardObserver struct{}

// Observe implements forward.Observer.
func (discardObserver) Observe(measure.Observation) {}

// Package cluster runs a whole deployment in one process on loopback: real
// daemons, and stand-ins for the platform, the targets and the callers, with
// the document's delays between them.
package cluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/kernel"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/settings"
	"masticturn/internal/standin"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/network"
	"masticturn/internal/standin/target"
	"masticturn/internal/telemetry"
	"masticturn/platform/storestandin"
)

// Options configures a Cluster. Document and Start are required.
type Options struct {
	Document   *config.Document // a copy is changed to the cluster's addresses
	Start      StartDaemon
	VMs        int           // number of daemons, spread over the availability zones
	ZoneDelay  time.Duration // one way between availability zones of a region
	Seed       uint64
	Sigma      float64 // shape of the targets' service times
	QueueLimit int     // requests that may wait inside a target
	ColdFactor float64 // how much slower a cold target is
	Instant    bool    // targets take no time and start warm
	Warm       bool    // targets are warm at first, and cold after a restart
	KeepLogs   bool    // keep each try and execution, for the check of promises
	Direct     bool    // no emulated network: plain connections without delays and faults
	TokenFile  string  // operators' token of all VMs; may be empty
	LogTo      io.Writer
	LogLevel   logrus.Level
}

// Cluster is a running deployment.
type Cluster struct {
	Document *config.Document // in force, with the cluster's addresses
	Network  *network.Network
	Platform *storestandin.Handler
	Store    *platformtest.Store
	Targets  []*Target
	VMs      []*VM
	Notes    *caller.Notes
	Log      *target.Log               // nil without KeepLogs
	Regions  map[string]*standin.Gauge // concurrency offered to the targets of a region
	Services map[string][]*Target      // targets by service

	opts     Options
	plan     plan
	platform *standin.Server

	applying   sync.Mutex // guards generation
	generation config.Generation

	mu     sync.Mutex
	events []Event
}

// Defaults of Options.
const (
	DefaultVMs        = 10
	DefaultZoneDelay  = time.Millisecond
	DefaultSigma      = 0.5
	DefaultQueueLimit = 2
	DefaultColdFactor = 3.0
)

func (o *Options) setDefaults() {
	if o.VMs == 0 {
		o.VMs = DefaultVMs
	}
	if o.ZoneDelay == 0 {
		o.ZoneDelay = DefaultZoneDelay
	}
	if o.LogTo == nil {
		o.LogTo = io.Discard
	}
}

// New starts the platform, the targets and the daemons, and waits until all
// daemons are ready or the context ends.
func New(ctx context.Context, opts Options) (*Cluster, error) {
	opts.setDefaults()
	doc, err := config.Clone(opts.Document)
	if err != nil {
		return nil, trace.Wrap(err, "copy the document")
	}
	plan, listener, err := reserve()
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Document: doc,
		Network:  network.New(delays(doc, opts)),
		Store:    platformtest.NewStore(),
		Notes:    caller.NewNotes(opts.KeepLogs),
		Regions:  make(map[string]*standin.Gauge),
		Services: make(map[string][]*Target),
		opts:     opts,
		plan:     plan,
	}
	if opts.KeepLogs {
		c.Log = target.NewLog()
	}
	c.servePlatform(listener)
	if err := c.start(ctx); err != nil {
		return nil, trace.NewAggregate(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) servePlatform(listener net.Listener) {
	c.Platform = storestandin.NewHandler(c.Store)
	c.platform = standin.ServeListener(listener, c.Platform)
	c.Network.Add(c.PlatformHost())
}

// PlatformHost returns the host of the platform.
func (c *Cluster) PlatformHost() network.Host {
	return network.Host{Name: "platform", IP: c.plan.ip(groupPlatform, 1)}
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.plan.rewrite(c.Document); err != nil {
		return err
	}
	if err := c.startTargets(); err != nil {
		return err
	}
	if err := c.Apply(ctx, func(*config.Document) {}); err != nil {
		return err
	}
	return c.startVMs(ctx)
}

// Apply changes the document in force, as an operator would.
func (c *Cluster) Apply(ctx context.Context, change func(*config.Document)) error {
	c.applying.Lock()
	defer c.applying.Unlock()
	doc, err := config.Clone(c.Document)
	if err != nil {
		return trace.Wrap(err, "copy the document")
	}
	change(doc)
	repo := repository.New(c.Store, kernel.SystemClock{})
	accepted, err := repo.Apply(ctx, repository.Proposal{Document: doc, Base: c.generation, Author: "bench"})
	if err != nil {
		return trace.Wrap(err, "store the document")
	}
	c.Document, c.generation = doc, accepted.Record.Generation
	return nil
}

func (c *Cluster) startVMs(ctx context.Context) error {
	zones := zonesOf(c.Document)
	for i := range c.opts.VMs {
		z := zones[i%len(zones)]
		c.VMs = append(c.VMs, c.newVM(i+1, z))
	}
	for _, vm := range c.VMs {
		if err := c.listVM(vm); err != nil {
			return err
		}
	}
	for _, vm := range c.VMs {
		if err := vm.Start(ctx); err != nil {
			return err
		}
	}
	for _, vm := range c.VMs {
		if err := vm.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) newVM(number int, z zone) *VM {
	ip := c.plan.ip(groupVM, number)
	host := network.Host{Name: fmt.Sprintf("vm-%02d", number), Zone: z.name, IP: ip}
	c.Network.Add(host)
	s := &settings.Settings{
		VM: settings.VM{Name: host.Name, Zone: z.name, Region: z.region},
		Listen: settings.Listen{
			Callers:   hostPort(ip, portCallers),
			Peers:     hostPort(ip, portPeers),
			Operators: hostPort(ip, portOperators),
		},
		Platform: settings.Platform{URL: c.platform.URL(), TimeoutMS: platformTimeoutMS, CallsPerSecond: platformCallsPerSecond},
		Peers:    settings.Peers{Seeds: c.seeds()},
		Operator: settings.Operator{TokenFile: c.opts.TokenFile},
		Log:      settings.Log{Format: telemetry.FormatText, Level: c.opts.LogLevel.String()},
	}
	return &VM{Host: host, Settings: s, cluster: c}
}

// seeds returns the peer addresses of the first VMs.
func (c *Cluster) seeds() []string {
	var seeds []string
	for i := range min(seedVMs, c.opts.VMs) {
		seeds = append(seeds, hostPort(c.plan.ip(groupVM, i+1), portPeers))
	}
	return seeds
}

// seedVMs is the number of VMs that the others know from their settings.
const seedVMs = 2

// Settings of the daemons' platform client, as in settings files. Ten daemons
// with this budget stay within the several hundred writes a second that a
// platform takes.
const (
	platformTimeoutMS      = 1000
	platformCallsPerSecond = 40
)

// Close ends everything at once.
func (c *Cluster) Close() error {
	var errs []error
	for _, vm := range c.VMs {
		errs = append(errs, vm.stop())
	}
	for _, t := range c.Targets {
		errs = append(errs, t.Kill())
	}
	errs = append(errs, c.platform.Close())
	c.Network.Close()
	return trace.NewAggregate(errs...)
}

// dialer returns how a host opens connections.
func (c *Cluster) dialer(h network.Host) network.DialFunc {
	if c.opts.Direct {
		return (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.IP)}}).DialContext
	}
	return c.Network.Dialer(h)
}

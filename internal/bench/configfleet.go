package bench

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/confsync"
	"masticturn/internal/kernel"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/standin"
	"masticturn/internal/standin/network"
	"masticturn/platform/store"
	"masticturn/platform/storestandin"
)

// Delays of the configuration bench's network, one way, where the document
// has no link.
const (
	configZoneDelay     = 500 * time.Microsecond
	configPlatformDelay = time.Millisecond
)

// Bounds of the calls to the stand-in platform.
const (
	configCallTimeout    = 500 * time.Millisecond
	configCallsPerSecond = 100.0
	configSeeds          = 4
)

// configFleet is some daemons that run peers, membership and the spread of
// the document, and nothing else, over an emulated network and platform.
type configFleet struct {
	document *config.Document
	network  *network.Network
	handler  *storestandin.Handler
	store    *platformtest.Store
	platform *standin.Server
	daemons  []*configDaemon
}

// configDaemon is one daemon over its restarts.
type configDaemon struct {
	fleet  *configFleet
	index  int
	host   network.Host
	region string

	mu      sync.Mutex
	run     *configRun // nil while it is down
	address string     // of the last run's peer listener
	runs    []*configRun
}

// configRun is one run of a daemon.
type configRun struct {
	sync    *confsync.Service
	members *membership.Service
	peers   *peer.TCP
	store   *store.Client
	began   time.Time

	mu      sync.Mutex
	ended   time.Time // zero while it runs
	adopted []configAdoption
}

// configAdoption is a generation that came in force.
type configAdoption struct {
	generation config.Generation
	at         time.Time
}

// newConfigFleet starts n daemons, spread over the document's regions and
// availability zones.
func newConfigFleet(ctx context.Context, doc *config.Document, n int) (*configFleet, error) {
	f := &configFleet{document: doc, store: platformtest.NewStore()}
	f.handler = storestandin.NewHandler(f.store)
	f.network = network.New(f.delay)
	platformHost := network.Host{Name: "platform", IP: "127.150.0.1"}
	f.network.Add(platformHost)
	server, err := standin.Serve(net.JoinHostPort(platformHost.IP, "0"), f.handler)
	if err != nil {
		return nil, err
	}
	f.platform = server
	for i := range n {
		d := f.newDaemon(i)
		f.daemons = append(f.daemons, d)
		if err := d.start(ctx); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *configFleet) newDaemon(i int) *configDaemon {
	region := f.document.Regions[i%len(f.document.Regions)]
	zone := region.Zones[i/len(f.document.Regions)%len(region.Zones)]
	host := network.Host{Name: fmt.Sprintf("vm-%03d", i), Zone: zone, IP: fmt.Sprintf("127.151.%d.%d", i/250, 1+i%250)}
	f.network.Add(host)
	return &configDaemon{fleet: f, index: i, host: host, region: region.Name}
}

// delay is the document's between regions.
func (f *configFleet) delay(from, to network.Host) time.Duration {
	if from.Zone == "" || to.Zone == "" {
		return configPlatformDelay
	}
	a, b := f.regionOf(from.Zone), f.regionOf(to.Zone)
	for _, l := range f.document.Links {
		if l.From == a && l.To == b {
			return l.OneWayMS.Duration()
		}
	}
	return configZoneDelay
}

func (f *configFleet) regionOf(zone string) string {
	for _, r := range f.document.Regions {
		for _, z := range r.Zones {
			if z == zone {
				return r.Name
			}
		}
	}
	return ""
}

// running returns the present runs by daemon.
func (f *configFleet) running() []*configRun {
	var runs []*configRun
	for _, d := range f.daemons {
		if r := d.current(); r != nil {
			runs = append(runs, r)
		}
	}
	return runs
}

// seeds returns peer addresses for a daemon that starts.
func (f *configFleet) seeds(but *configDaemon) []string {
	var seeds []string
	for i := range f.daemons {
		d := f.daemons[(but.index+1+i)%len(f.daemons)]
		if d != but && d.current() != nil && len(seeds) < configSeeds {
			seeds = append(seeds, d.address)
		}
	}
	return seeds
}

func (f *configFleet) close() {
	for _, d := range f.daemons {
		d.stop()
	}
	f.network.Close()
	_ = f.platform.Close()
}

func (d *configDaemon) current() *configRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.run
}

// start starts a new run of the daemon.
func (d *configDaemon) start(ctx context.Context) error {
	d.fleet.network.Up(d.host)
	r, err := d.newRun()
	if err != nil {
		return trace.Wrap(err, "start %s", d.host.Name)
	}
	for _, s := range []kernel.Service{r.peers, r.members, r.sync} {
		if err := s.Start(ctx); err != nil {
			return trace.Wrap(err, "start %s", d.host.Name)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run, d.address = r, r.peers.Address()
	d.runs = append(d.runs, r)
	return nil
}

func (d *configDaemon) newRun() (*configRun, error) {
	r := &configRun{began: time.Now()}
	dial := d.fleet.network.Dialer(d.host)
	listener, err := net.Listen("tcp", net.JoinHostPort(d.host.IP, "0"))
	if err != nil {
		return nil, err
	}
	self := membership.Member{
		Name: d.host.Name, Zone: d.host.Zone, Region: d.region,
		PeerAddress: listener.Addr().String(), Incarnation: membership.NewIncarnation(r.began),
	}
	r.peers, err = peer.NewTCP(peer.Options{
		VM: self.Name, Incarnation: self.Incarnation, Listener: listener, DialContext: peer.DialFunc(dial),
	})
	if err != nil {
		return nil, err
	}
	r.store, err = store.NewClient(store.ClientOptions{
		URL: d.fleet.platform.URL(), Timeout: configCallTimeout, CallsPerSecond: configCallsPerSecond, Dial: dial,
	})
	if err != nil {
		return nil, err
	}
	r.members = membership.NewService(membership.Config{Self: self, Seeds: d.fleet.seeds(d), Network: r.peers})
	r.sync = confsync.NewService(confsync.Deps{
		Self: self, Store: r.store, Network: r.peers, Members: r.members,
		Clock: kernel.SystemClock{}, Advertise: r.members.SetGeneration,
	})
	r.sync.Subscribe(r.note)
	return r, nil
}

func (r *configRun) note(s *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adopted = append(r.adopted, configAdoption{s.Generation, time.Now()})
}

// stop ends the present run as a crash does.
func (d *configDaemon) stop() {
	d.mu.Lock()
	r := d.run
	d.run = nil
	d.mu.Unlock()
	if r == nil {
		return
	}
	d.fleet.network.Down(d.host)
	r.mu.Lock()
	r.ended = time.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nothing is to be finished
	_ = r.sync.Stop(ctx)
	_ = r.members.Stop(ctx)
	_ = r.peers.Stop(ctx)
	_ = r.store.Stop(ctx)
}

// inForce returns when the generation or a higher one came in force, zero
// when it has not.
func (r *configRun) inForce(gen config.Generation) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.adopted {
		if a.generation >= gen {
			return a.at
		}
	}
	return time.Time{}
}

// reverts counts the times that the run went back.
func (r *configRun) reverts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for i := 1; i < len(r.adopted); i++ {
		if r.adopted[i].generation <= r.adopted[i-1].generation {
			n++
		}
	}
	return n
}

package e2e

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"masticturn/internal/daemon"
	"masticturn/internal/kernel"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/settings"
	"masticturn/internal/standin/network"
	"masticturn/internal/telemetry"
	"masticturn/platform/adapter"
)

// What the memory fleet's deployment promises and demands.
const (
	memStable  = 4 * time.Second // after which a VM without trouble is bound
	memDrain   = 2500 * time.Millisecond
	memTimeout = 2 * time.Second // of a caller's request
	memWork    = 100 * time.Millisecond
	memSlots   = 5
	memBetween = 30 * time.Millisecond // one way between regions
)

// memPlaces are the availability zones of the memory fleet, by region.
var memPlaces = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}

var memZones = []string{"a1", "a2", "b1", "b2"}

// memDelay returns the time one way between two hosts, given that between regions.
func memDelay(between time.Duration) network.Delays {
	return func(from, to network.Host) time.Duration {
		switch {
		case memPlaces[from.Zone] != memPlaces[to.Zone]:
			return between
		case from.Zone != to.Zone:
			return time.Millisecond
		}
		return 200 * time.Microsecond
	}
}

// memOptions are the properties of a memory fleet.
type memOptions struct {
	vms      int
	zones    []string       // of the VMs, in turn
	targets  map[string]int // by availability zone
	between  time.Duration  // one way between regions
	document string
	slots    int                             // of each target
	queue    int                             // requests that may wait at a target; more are refused as not run; 0: no bound
	work     func(path string) time.Duration // run time at a target of usual speed
	overload settings.Overload
}

// memFleet is a fleet of daemons on the platform within one process, in fake time,
// with targets and callers.
type memFleet struct {
	options    memOptions
	t          *testing.T
	processors int // GOMAXPROCS before the test
	net        *network.Memory
	objects    *platformtest.Store
	vms        []*memVM
	targets    []*memTarget
	random     *rand.Rand

	mu     sync.Mutex
	runs   []memRun
	losses []time.Time
	ids    int
	hosts  []network.Host // of callers
	mended bool           // no request crashes targets any more
	over   bool           // no target starts any more
}

// memRun is a request that reached a target.
type memRun struct {
	at     time.Time
	path   string
	from   string // IP of the VM
	target string
	sent   time.Time // by the caller
}

// memVM is a VM with its daemon.
type memVM struct {
	host   network.Host
	daemon *daemon.Daemon
	log    *logBuffer
}

// logBuffer holds a VM's log.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// memDocument has a service of reads and one of writes.
const memDocument = `{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3s","idleTimeout":"15s"},
"listeners":[{"host":"one.example","rules":[
 {"name":"read","kind":"safe","targetLatency":"400ms","priority":1,"sessionAffinity":true,"match":{"pathPrefix":"/read/"},
  "action":{"service":"s","timeout":"2s","maxAttempts":2}},
 {"name":"write","kind":"unsafe","targetLatency":"400ms","priority":1,"match":{"pathPrefix":"/write/"},
  "action":{"service":"s","timeout":"2s","maxAttempts":2}}]}],
"clusters":[{"name":"s","maxConnections":400}]}`

// newMemFleet starts a number of VMs, and of targets in each availability zone. It
// is to be called within a bubble of synctest; stop ends it.
func newMemFleet(t *testing.T, vms, targetsPerZone int) *memFleet {
	t.Helper()
	o := memOptions{
		vms: vms, zones: memZones, targets: make(map[string]int), between: memBetween, document: memDocument,
		slots: memSlots, work: func(string) time.Duration { return memWork },
	}
	for _, zone := range memZones {
		o.targets[zone] = targetsPerZone
	}
	return startMemFleet(t, o)
}

// startMemFleet starts a fleet within a bubble of synctest; stop ends it.
func startMemFleet(t *testing.T, o memOptions) *memFleet {
	t.Helper()
	f := &memFleet{
		options: o,
		// The race detector crashes if timers of one bubble run on several threads at once.
		processors: runtime.GOMAXPROCS(1),
		t:          t, net: network.NewMemory(memDelay(o.between)), objects: platformtest.NewStore(),
		random: rand.New(rand.NewPCG(1, uint64(o.vms))),
	}
	f.objects.Put("config", "main", []byte(o.document))
	for i, zone := range memZones {
		for j := range o.targets[zone] {
			f.addTarget(zone, fmt.Sprintf("10.1.%d.%d", i, j+1))
		}
	}
	for i := range o.vms {
		f.addVM(i)
	}
	for _, v := range f.vms {
		v.start(f)
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *memFleet) addVM(number int) {
	zone := f.options.zones[number%len(f.options.zones)]
	v := &memVM{
		host: network.Host{Name: fmt.Sprintf("vm-%d", number+1), Zone: zone, IP: fmt.Sprintf("10.0.0.%d", number+1)},
		log:  &logBuffer{},
	}
	f.net.Add(v.host)
	f.vms = append(f.vms, v)
}

// start starts the VM's daemon.
func (v *memVM) start(f *memFleet) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", v.host.IP, port) }
	s := &settings.Settings{
		VM:     settings.VM{Name: v.host.Name, Zone: v.host.Zone, Region: memPlaces[v.host.Zone]},
		Listen: settings.Listen{Callers: at(8641), Peers: at(7620), Operators: at(9621), Ready: at(8640), Lookup: at(8644)},
		Platform: settings.Platform{
			URL: "http://10.2.0.1:1", TimeoutMS: 700,
		},
		Peers:        settings.Peers{Seeds: []string{"10.0.0.1:7620", "10.0.0.2:7620", "10.0.0.3:7620"}},
		RegionByZone: memPlaces,
		Overload:     f.options.overload,
		Bounds: settings.Bounds{
			StopGrace: 6 * time.Second, TargetDrain: memDrain, ConfigInForce: 2500 * time.Millisecond,
			ZoneEvacuation: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 60, ColdFactor: 1.5, ColdSlack: 5,
			LimitWindow: 5 * time.Second, LimitOverage: 0.1, LimitSlack: 20,
		},
	}
	if err := s.Check(); err != nil {
		f.t.Fatal(err)
	}
	hosted := adapter.Hosted()
	hosted.Policy = "completion"
	logger := telemetry.NewLogger(v.log, telemetry.FormatJSON, 4, v.host.Name)
	d, err := daemon.New(s, daemon.Options{
		Logger: logger, Boot: kernel.NewMonotonicBootClock(), Store: f.objects, Dial: f.net.Dialer(v.host), Hosted: hosted,
		Listen: func(_, address string) (l netListener, err error) { return f.net.Listen(address) },
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if err := d.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	v.setDaemon(f, d)
}

func (v *memVM) setDaemon(f *memFleet, d *daemon.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v.daemon = d
}

// kill ends the VM's daemon as SIGKILL does.
func (v *memVM) kill(f *memFleet) {
	f.net.End(v.host)
	_ = v.daemon.Stop(context.Background())
	v.setDaemon(f, nil)
}

// stop ends all VMs and targets.
func (f *memFleet) stop() {
	f.mu.Lock()
	f.over = true
	f.mu.Unlock()
	for _, v := range f.vms {
		if v.daemon != nil {
			v.kill(f)
		}
	}
	for _, g := range f.targets {
		g.end()
	}
	f.net.ReleaseAll()
	time.Sleep(time.Minute) // connections and timers end
	runtime.GOMAXPROCS(f.processors)
}

// call is one request of a caller.
type call struct {
	method, path, body string
	object             string
	header             map[string]string
	chunked            bool
	within             time.Duration // time left to the caller; 0: memTimeout
}

// result is what a caller got.
type result struct {
	status int // 0: no answer
	after  string
	body   string
}

// newClient returns a caller's client in a region, with its own connections.
func (f *memFleet) newClient(zone string) *http.Client {
	f.mu.Lock()
	f.ids++
	host := network.Host{Name: fmt.Sprintf("caller-%d", f.ids), Zone: zone, IP: fmt.Sprintf("10.3.%d.%d", f.ids/250, 1+f.ids%250)}
	f.hosts = append(f.hosts, host)
	f.mu.Unlock()
	f.net.Add(host)
	dial := f.net.Dialer(host)
	return &http.Client{Timeout: memTimeout + time.Second, Transport: &http.Transport{DialContext: dial, DisableCompression: true}}
}

// send sends one attempt to a VM.
func (f *memFleet) send(client *http.Client, v *memVM, c call) result {
	f.mu.Lock()
	f.ids++
	id := fmt.Sprintf("r%06d", f.ids)
	f.mu.Unlock()
	var body io.Reader = http.NoBody
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	if c.chunked {
		body = io.MultiReader(body)
	}
	within := cmp.Or(c.within, memTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(c.within, memTimeout+time.Second))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+v.host.IP+":8641"+c.path, body)
	if err != nil {
		f.t.Error(err)
		return result{}
	}
	req.Host = "one.example"
	req.Header.Set("Masticturn-Request-Id", id)
	req.Header.Set("Masticturn-Deadline-Ms", fmt.Sprint(within.Milliseconds()))
	req.Header.Set("X-Sent", fmt.Sprint(time.Now().UnixNano()))
	if c.object != "" {
		req.Header.Set("Masticturn-Affinity-Key", c.object)
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return result{}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{}
	}
	return result{status: resp.StatusCode, after: resp.Header.Get("Retry-After"), body: string(raw)}
}

// served counts requests and those that were answered.
type served struct {
	mu             sync.Mutex
	asked, answers int
}

func (s *served) note(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if ok {
		s.answers++
	}
}

func (s *served) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.answers) / float64(max(s.asked, 1))
}

// pick returns one of the VMs that run, at random; any one where none does.
func (f *memFleet) pick() *memVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := slices.DeleteFunc(slices.Clone(f.vms), func(v *memVM) bool { return v.daemon == nil })
	if len(running) == 0 {
		running = f.vms
	}
	return running[f.random.IntN(len(running))]
}

// each calls do once an interval until some time has passed, without waiting for
// it, and returns when all calls have ended.
func each(interval, length time.Duration, do func(n int)) {
	var group sync.WaitGroup
	for n := range int(length / interval) {
		group.Go(func() { do(n) })
		time.Sleep(interval)
	}
	group.Wait()
}

// callerPause is how long a caller waits before it asks once more.
const callerPause = 100 * time.Millisecond

// load sends a request of each number every interval, and once more to another VM
// when it fails.
func (f *memFleet) load(interval, length time.Duration, s *served, request func(n int) call) {
	client := f.newClient("a1")
	defer client.CloseIdleConnections()
	each(interval, length, func(n int) {
		c := request(n)
		r := f.send(client, f.pick(), c)
		if r.status != http.StatusOK {
			time.Sleep(callerPause)
			r = f.send(client, f.pick(), c)
		}
		s.note(r.status == http.StatusOK)
	})
}

// ownRead is a read that nobody else sends, about one of some objects.
func ownRead(n int) call {
	return call{method: "GET", path: fmt.Sprintf("/read/%d/%d", n%40, n), object: fmt.Sprint(n % 40)}
}

// repeat sends one request each interval, to any VM, and returns what came of it.
func (f *memFleet) repeat(interval, length time.Duration, c call) []result {
	client := f.newClient("b1")
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var results []result
	each(interval, length, func(int) {
		r := f.send(client, f.pick(), c)
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
	})
	return results
}

package e2e

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/placement"
	"masticturn/internal/settings"
)

// Sizes of the fleets under load, and the load that lets the VMs measure run times before the load that counts.
const (
	loadSlots     = 4
	loadQueue     = 6
	loadBetween   = 55 * time.Millisecond // one way between regions
	loadLength    = 12 * time.Second
	loadWarmUp    = time.Second
	loadWarmShare = 0.2 // of the load that counts
	loadSeed      = 1   // of arrivals and of the callers' choices
)

// loadZones are the availability zones of the VMs in turn, so that both regions have as many.
var loadZones = []string{"a1", "b1", "a2", "b2"}

// loadClass is a rule and the run time of its requests at a target of usual speed.
type loadClass struct {
	name      string
	priority  int
	objective time.Duration
	run       time.Duration
	objects   int // its requests are about one of so many objects; 0: about none
}

// loadStream is the requests of one class and one customer.
type loadStream struct {
	name      string // in figures; that of the customer if there is one
	class     *loadClass
	customer  bool // requests have the API key of the customer
	perSecond float64
	from      time.Duration    // since the begin of the load
	inA       float64          // fraction of the callers in region a; 0: half
	receives  func(i int) bool // whether the VM with this index receives them; nil: all do
}

// loadCase is a fleet under load.
type loadCase struct {
	vms     int
	targets map[string]int // by availability zone; nil: three each
	length  time.Duration  // 0: loadLength
	streams []loadStream
	begin   func(l *loadRun)   // before the load
	midway  func(l *loadRun)   // at half of the load
	want    map[string]float64 // least fraction in time by stream
	check   func(t *testing.T, l *loadRun)
}

// loadFigures counts the callers of a stream by result.
type loadFigures struct {
	asked, inTime, late   int
	refused, refusedAgain int
	unserved              int
	waited                int         // of those unserved, the first refusal came after loadToldWithin
	toldLate              int         // of these, it came when they could not be served any more, or not at all
	statuses              map[int]int // of last answers
}

// loadToldWithin is how soon a caller that is not served is refused, unless it could still have been served.
const loadToldWithin = 50 * time.Millisecond

func (f *loadFigures) share() float64 { return float64(f.inTime) / float64(max(f.asked, 1)) }

// loadRun is a load while it runs.
type loadRun struct {
	loadCase
	fleet   *memFleet
	clients map[string]*http.Client // by availability zone
	began   time.Time               // of the load that counts

	mu      sync.Mutex
	removed map[*memVM]bool // VMs that callers no longer use
	figures map[string]*loadFigures
}

// loadRuns plays the cases and checks the fractions in time.
func loadRuns(t *testing.T, cases map[string]loadCase) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.play) })
	}
}

func (c loadCase) play(t *testing.T) {
	c.length = cmp.Or(c.length, loadLength)
	if c.targets == nil {
		c.targets = map[string]int{"a1": 3, "a2": 3, "b1": 3, "b2": 3}
	}
	f := startMemFleet(t, memOptions{
		vms: c.vms, zones: loadZones, targets: c.targets, between: loadBetween, document: c.document(),
		slots: loadSlots, queue: loadQueue, work: c.work, overload: settings.Overload{Admission: true, Speeds: true, Regions: true, Returns: true},
	})
	defer f.stop()
	l := &loadRun{loadCase: c, fleet: f, clients: make(map[string]*http.Client), removed: make(map[*memVM]bool)}
	for _, zone := range memZones {
		l.clients[zone] = f.newClient(zone)
		l.clients[zone].Transport.(*http.Transport).DisableKeepAlives = true
	}
	if c.begin != nil {
		c.begin(l)
	}
	l.send(loadWarmUp, loadWarmShare)
	if c.midway != nil {
		time.AfterFunc(c.length/2, func() { c.midway(l) })
	}
	l.began = time.Now()
	l.send(c.length, 1)
	for _, s := range c.streams {
		g := l.figures[s.name]
		t.Logf("%s: %.3f in time; %+v", s.name, g.share(), *g)
		if want := c.want[s.name]; g.share() < want {
			t.Errorf("%s: %.3f in time, want %.2f", s.name, g.share(), want)
		}
	}
	if c.check != nil {
		c.check(t, l)
	}
}

// work returns the run time of a request at a target of usual speed.
func (c loadCase) work(path string) time.Duration {
	i := slices.IndexFunc(c.streams, func(s loadStream) bool { return strings.HasPrefix(path, "/"+s.class.name+"/") })
	return c.streams[i].class.run
}

// document returns the document with the rules and customers of the streams.
func (c loadCase) document() string {
	var rules, customers []string
	for _, s := range c.streams {
		r := fmt.Sprintf(`{"name":%q,"kind":"safe","targetLatency":"%dms","priority":%d,"sessionAffinity":%t,"match":{"pathPrefix":"/%s/"},`+
			`"action":{"service":"s","timeout":"2s","maxAttempts":2}}`, s.class.name, s.class.objective.Milliseconds(), s.class.priority, s.class.objects > 0, s.class.name)
		if !slices.Contains(rules, r) {
			rules = append(rules, r)
		}
		if s.customer {
			customers = append(customers, fmt.Sprintf(`{"name":%q,"apiKeys":["key-%s"],"ratePerS":1000,"burst":1000}`, s.name, s.name))
		}
	}
	return `{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3s","idleTimeout":"15s"},` +
		`"tenants":[` + strings.Join(customers, ",") + `],"listeners":[{"host":"one.example","rules":[` + strings.Join(rules, ",") + `]}],` +
		`"clusters":[{"name":"s","maxConnections":400}]}`
}

// send sends a fraction of the load for some time, and returns when all callers are done. Only the last
// call counts.
func (l *loadRun) send(length time.Duration, share float64) {
	l.figures = make(map[string]*loadFigures)
	var group sync.WaitGroup
	for i, s := range l.streams {
		l.figures[s.name] = &loadFigures{statuses: make(map[int]int)}
		group.Go(func() {
			random := rand.New(rand.NewPCG(loadSeed, uint64(i)))
			from := s.from
			if from >= length {
				from = 0 // warm-up
			}
			// Arrivals of a Poisson process with a given number of them.
			arrivals := make([]time.Duration, int(s.perSecond*share*(length-from).Seconds()))
			for i := range arrivals {
				arrivals[i] = from + time.Duration(random.Int64N(int64(length-from)))
			}
			slices.Sort(arrivals)
			start := time.Now()
			for n, at := range arrivals {
				time.Sleep(at - time.Since(start))
				caller := rand.New(rand.NewPCG(random.Uint64(), loadSeed))
				group.Go(func() { l.call(&s, n, caller) })
			}
		})
	}
	group.Wait()
}

// call is one caller. If it is refused it returns once, after Retry-After, but waits for at most a third of the
// time that is left of memTimeout.
func (l *loadRun) call(s *loadStream, n int, random *rand.Rand) {
	region := "b"
	if random.Float64() < cmp.Or(s.inA, 0.5) {
		region = "a"
	}
	zone := fmt.Sprintf("%s%d", region, 1+random.IntN(2))
	c := call{method: http.MethodGet, path: fmt.Sprintf("/%s/%s/%d", s.class.name, region, n), header: make(map[string]string)}
	if s.class.objects > 0 {
		c.object = fmt.Sprint(random.IntN(s.class.objects))
	}
	if s.customer {
		c.header["Api-Key"] = "key-" + s.name
	}
	o := loadOutcome{start: time.Now()}
	vm := func() *memVM { return l.pick(s, region, random) }
	if o.attempt(l.fleet, l.clients[zone], vm(), c) {
		after, _ := strconv.ParseFloat(o.last.after, 64)
		time.Sleep(min(time.Duration(after*float64(time.Second)), o.left()/3))
		o.attempt(l.fleet, l.clients[zone], vm(), c)
	}
	l.note(s, &o)
}

// loadOutcome is the result of one caller.
type loadOutcome struct {
	start    time.Time
	end      time.Time
	last     result
	refusals []time.Duration // since start
}

func (o *loadOutcome) left() time.Duration { return memTimeout - time.Since(o.start) }

// attempt sends one attempt and reports whether the caller returns: if it was refused or lost its connection.
func (o *loadOutcome) attempt(f *memFleet, client *http.Client, v *memVM, c call) bool {
	c.within = o.left()
	o.last = f.send(client, v, c)
	o.end = time.Now()
	refused := o.last.status == http.StatusServiceUnavailable || o.last.status == http.StatusTooManyRequests
	if refused {
		o.refusals = append(o.refusals, time.Since(o.start))
	}
	return (refused || o.last.status == 0) && o.left() > 0
}

// pick returns one of the VMs of a region that receive a stream; one of all its VMs if none of those is left.
func (l *loadRun) pick(s *loadStream, region string, random *rand.Rand) *memVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all, receiving []*memVM
	for i, v := range l.fleet.vms {
		if l.removed[v] || memPlaces[v.host.Zone] != region {
			continue
		}
		all = append(all, v)
		if s.receives == nil || s.receives(i) {
			receiving = append(receiving, v)
		}
	}
	if len(receiving) == 0 {
		receiving = all
	}
	return receiving[random.IntN(len(receiving))]
}

func (l *loadRun) note(s *loadStream, o *loadOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.figures[s.name]
	g.asked++
	g.statuses[o.last.status]++
	if len(o.refusals) > 0 {
		g.refused++
	}
	if len(o.refusals) > 1 {
		g.refusedAgain++
	}
	switch {
	case o.last.status != http.StatusOK:
		g.unserved++
		if len(o.refusals) == 0 || o.refusals[0] > loadToldWithin {
			g.waited++
			if len(o.refusals) == 0 || o.refusals[0] > memTimeout-s.class.run {
				g.toldLate++
			}
		}
	case o.end.Sub(o.start) <= s.class.objective:
		g.inTime++
	default:
		g.late++
	}
}

// root returns the root of the tree of load reports in a region, which decides for the region.
func (l *loadRun) root(region string) *memVM {
	vms := l.fleet.inZones(region)
	var names []string
	for _, v := range vms {
		names = append(names, v.host.Name)
	}
	return vms[slices.IndexFunc(names, func(name string) bool {
		p, ok := placement.TreePositionOf(name, names)
		return ok && p.Parent == ""
	})]
}

// remove removes a VM from those that callers use, as look-ups do with VMs that have failed.
func (l *loadRun) remove(v *memVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removed[v] = true
}

// killRoot kills the root of region a.
func (l *loadRun) killRoot() {
	v := l.root("a")
	l.remove(v)
	v.kill(l.fleet)
}

// freezeRoot holds all bytes to and from the root of region a.
func (l *loadRun) freezeRoot() {
	v := l.root("a")
	l.remove(v)
	hosts := slices.Clone(l.fleet.hosts)
	for _, other := range l.fleet.vms {
		hosts = append(hosts, other.host)
	}
	for _, g := range l.fleet.targets {
		hosts = append(hosts, g.host)
	}
	for _, h := range hosts {
		l.fleet.net.Hold(v.host, h)
	}
}

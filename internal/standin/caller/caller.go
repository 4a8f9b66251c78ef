// Package caller is the stand-in for callers: a generator of requests that
// arrive in an open loop, look up VMs, check each answer, and note what they
// were told.
package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/wait"
)

// Shape is one kind of request in a caller's mix.
type Shape struct {
	Name        string
	Service     string
	Class       string
	Method      string
	Path        string
	Weight      float64       // share of the requests, relative to the other shapes
	AnswerBytes int64         // length of the answer asked for
	BodyBytes   int64         // length of the request's body
	BodyPace    time.Duration // time over which the body is sent; zero: as fast as it goes
	Keyed       bool          // carries an Idempotency-Key
	Repeatable  bool          // running it twice does no harm
}

// Options configures a Caller.
type Options struct {
	Name         string   // begins the ids of its requests
	Prefix       string   // goes before Name, where a cluster gives that
	LocalAddress string   // 127.x.y.z to send from; empty: any
	Entries      []string // host:port of VMs that answer look-ups
	Fixed        string   // host:port to send all requests to, without look-ups; may be empty
	Shapes       []Shape
	Rate         float64       // requests a second, on average
	MaxOpen      int           // requests open at once; beyond it they are counted, not sent
	MaxTries     int           // tries of a request at different VMs; at least 1
	Timeout      time.Duration // how long the caller waits for one try
	NoTicket     bool          // keys are sent without the tickets of look-ups
	DoubleRate   float64       // fraction of the keyed requests that are sent to two VMs at once
	Seed         uint64
	Notes        *Notes
	// Dial opens connections; nil means a plain net.Dialer bound to LocalAddress.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Defaults of Options.
const (
	defaultMaxOpen = 2000
	defaultTimeout = 10 * time.Second
	lookupTimeout  = 2 * time.Second
)

// Caller is one source of requests.
type Caller struct {
	opts    Options
	pool    *pool
	answers *answers
	weights float64
}

// New returns a caller; Run starts it.
func New(opts Options) *Caller {
	opts.MaxTries = max(1, opts.MaxTries)
	if opts.MaxOpen == 0 {
		opts.MaxOpen = defaultMaxOpen
	}
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Dial == nil {
		opts.Dial = boundDialer(opts.LocalAddress).DialContext
	}
	c := &Caller{opts: opts, pool: newPool(opts.Dial)}
	c.answers = &answers{pool: c.pool, entries: opts.Entries, timeout: lookupTimeout, cached: make(map[string]*cachedAnswer)}
	for _, s := range opts.Shapes {
		c.weights += s.Weight
	}
	return c
}

func boundDialer(local string) *net.Dialer {
	if local == "" {
		return &net.Dialer{}
	}
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(local)}}
}

// Run sends requests until the context ends or count of them are sent (zero:
// no bound), and waits for those that are open.
func (c *Caller) Run(ctx context.Context, count int) {
	defer c.pool.closeIdle("")
	random := rand.New(rand.NewPCG(c.opts.Seed, c.opts.Seed))
	open := make(chan struct{}, c.opts.MaxOpen)
	var group sync.WaitGroup
	defer group.Wait()
	arrival := time.Now()
	for n := 1; count == 0 || n <= count; n++ {
		arrival = arrival.Add(time.Duration(random.ExpFloat64() / c.opts.Rate * float64(time.Second)))
		if !sleepUntil(ctx, arrival) {
			return
		}
		shape := c.pick(random.Float64())
		planned, seed := arrival, random.Uint64()
		select {
		case open <- struct{}{}:
		default:
			c.opts.Notes.addOverrun()
			continue
		}
		group.Go(func() {
			defer func() { <-open }()
			// Requests that are open at the end are finished, not cut.
			c.request(context.WithoutCancel(ctx), shape, n, seed, planned)
		})
	}
}

// RunCount sends a number of requests one after the other.
func (c *Caller) RunCount(ctx context.Context, count int) {
	defer c.pool.closeIdle("")
	random := rand.New(rand.NewPCG(c.opts.Seed, c.opts.Seed))
	for n := 1; n <= count && ctx.Err() == nil; n++ {
		c.request(ctx, c.pick(random.Float64()), n, random.Uint64(), time.Now())
	}
}

// RunAtOnce sends a number of requests at once and waits for all.
func (c *Caller) RunAtOnce(ctx context.Context, count int) {
	defer c.pool.closeIdle("")
	var group sync.WaitGroup
	defer group.Wait()
	for n := range count {
		group.Go(func() {
			random := rand.New(rand.NewPCG(c.opts.Seed, uint64(n)))
			c.request(ctx, c.pick(random.Float64()), n, random.Uint64(), time.Now())
		})
	}
}

// RunClosed sends requests one after the other from each of a number of
// workers until the context ends, and returns how many were sent.
func (c *Caller) RunClosed(ctx context.Context, workers int) int {
	defer c.pool.closeIdle("")
	var group sync.WaitGroup
	var sent atomic.Int64
	for w := range workers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(c.opts.Seed, uint64(w)))
			for ctx.Err() == nil {
				number := int(sent.Add(1))
				c.request(context.WithoutCancel(ctx), c.pick(random.Float64()), number, random.Uint64(), time.Now())
			}
		})
	}
	group.Wait()
	return int(sent.Load())
}

// RunLookups makes look-ups one after the other from each of a number of
// workers until the context ends, and returns how many were answered and how
// many failed.
func (c *Caller) RunLookups(ctx context.Context, workers int) (answered, failed int) {
	defer c.pool.closeIdle("")
	var group sync.WaitGroup
	var good, bad atomic.Int64
	for w := range workers {
		entry := c.opts.Entries[w%len(c.opts.Entries)]
		group.Go(func() {
			for ctx.Err() == nil {
				answer, err := c.answers.askOne(context.WithoutCancel(ctx), entry, "")
				if err == nil && len(answer.VMs) > 0 {
					good.Add(1)
				} else {
					bad.Add(1)
				}
			}
		})
	}
	group.Wait()
	return int(good.Load()), int(bad.Load())
}

// pick returns the shape at a point between 0 and 1 of the mix.
func (c *Caller) pick(point float64) *Shape {
	left := point * c.weights
	for i := range c.opts.Shapes {
		left -= c.opts.Shapes[i].Weight
		if left < 0 {
			return &c.opts.Shapes[i]
		}
	}
	return &c.opts.Shapes[len(c.opts.Shapes)-1]
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return wait.For(ctx, time.Until(at))
}

// request makes one request, with further tries at other VMs where what was
// told allows them. Each try has an id of its own and is noted.
func (c *Caller) request(ctx context.Context, shape *Shape, number int, seed uint64, planned time.Time) {
	req := &request{shape: shape, seed: seed}
	if shape.Keyed {
		req.key = fmt.Sprintf("%s-k%d", c.opts.Name, number)
	}
	var double sync.WaitGroup
	defer double.Wait()
	if shape.Keyed && c.doubled(seed) {
		c.sendDouble(ctx, req, number, &double)
	}
	told := ToldNotRun // nothing was sent yet
	for attempt := range c.opts.MaxTries {
		vm, err := c.chooseVM(ctx, req, attempt)
		if err != nil {
			break
		}
		req.id = fmt.Sprintf("%s-%d-%d", c.opts.Name, number, attempt)
		note, wait := c.try(ctx, req, vm)
		told = worse(told, note.Told)
		if !req.mayRetry(note.Told) {
			break
		}
		time.Sleep(wait)
	}
	c.opts.Notes.addRequest(ClassKey{shape.Service, shape.Class}, told, time.Since(planned))
}

// doubled tells whether the keyed request with a seed is sent to two VMs.
func (c *Caller) doubled(seed uint64) bool {
	const parts = 1 << 16
	return float64(seed%parts) < c.opts.DoubleRate*parts
}

// sendDouble sends a copy of a request, under the same key, to the VM next in
// the look-up's order, and does not wait for it.
func (c *Caller) sendDouble(ctx context.Context, req *request, number int, group *sync.WaitGroup) {
	first, err := c.chooseVM(ctx, req, 0)
	if err != nil {
		return
	}
	second, err := c.chooseVM(ctx, req, 1)
	if err != nil {
		return
	}
	req.takeTicket(first, c.opts.NoTicket)
	req.sent = true // whatever becomes of the first try, the key is out
	double := *req
	double.id = fmt.Sprintf("%s-%d-d", c.opts.Name, number)
	group.Go(func() { c.try(ctx, &double, second) })
}

// worse combines what earlier tries told with the last one: after an unknown
// try, a later one that was not run leaves the request unknown.
func worse(before, last Told) Told {
	if last == ToldNotRun && before != ToldNotRun {
		return before
	}
	return last
}

func (c *Caller) chooseVM(ctx context.Context, req *request, attempt int) (edge.LookupVM, error) {
	if c.opts.Fixed != "" {
		return edge.LookupVM{Address: c.opts.Fixed}, nil
	}
	vms, err := c.answers.vms(ctx, req.shape.Service)
	if err != nil {
		return edge.LookupVM{}, err
	}
	return vms[attempt%len(vms)], nil
}

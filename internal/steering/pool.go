package steering

import (
	"math/rand/v2"
	"time"
)

// Request is what the decisions need to know of a request.
type Request struct {
	Key          Key
	Class        string
	Tenant       string
	CallerRegion string
	Zone         string // availability zone of the VM that will send it
	Bytes        int64  // expected bytes over a link, both ways; 0 unknown
	Deadline     time.Time
	Exclude      []string // targets not to use
	Retry        bool     // a further attempt of a request that was counted
}

// Key identifies a request: the process that will send it and a number that
// the process uses once.
type Key struct {
	Holder      string
	Incarnation uint64
	Seq         uint64
}

// Decision is what became of a request: a slot at a target, or a refusal.
type Decision struct {
	Request    *Request
	Target     *Target       // nil: refused
	Shifted    bool          // the target is outside the caller's region
	RetryAfter time.Duration // of a refusal: when it is worth coming back
	Reason     Reason        // of a refusal
}

// Reason tells why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonExpectedWait Reason = "the expected wait is too long"
	ReasonDisplaced    Reason = "displaced by requests of classes that go before"
	ReasonWaited       Reason = "waited too long for a slot"
	ReasonNoTarget     Reason = "no target may be used"
	ReasonRecovering   Reason = "the broker is recovering"
)

// CapKey names the two regions of a shift cap.
type CapKey struct{ From, To string }

// PoolConfig configures a pool. It is taken from the document.
type PoolConfig struct {
	Region      string
	Classes     []ClassSpec
	Tenants     map[string]int
	ServiceTime time.Duration // before it is measured
	Policy      PolicyName
	Comparison  Comparison
	Caps        map[CapKey]CapLimits // pairs without a cap may not be shifted
	Links       map[string]*LinkShare
	Targets     []TargetSpec // of this region, and of others for static spill
	Seed        uint64
}

// TargetSpec is a target of the document.
type TargetSpec struct {
	Name   string
	Zone   string
	Region string
	Slots  int
}

// shiftHold is the least time between two changes of the choice whether a
// class is shifted to a region.
const shiftHold = 2 * time.Second

// Pool decides for the requests of one service that share slots: which goes
// next, to which target, and which is refused. It is used under one lock.
//
// Property: a target never has more permits out than its limit at the moment
// of each grant; a refused or cancelled request never holds a slot.
type Pool struct {
	cfg       PoolConfig
	local     *Group
	remotes   []*remote
	queue     *Queue
	service   ServiceTime
	rates     []Rate // arrivals by class, in the order of the queue
	caps      map[CapKey]*ShiftCap
	rng       *rand.Rand
	decisions []Decision
	now       time.Time // of the event being handled
	accept    func(*Request) bool
	chosen    placement

	frozenUntil time.Time
	trials      int     // usable slots that are trials
	utilisation float64 // of this region, smoothed over utilisationWindow
	smoothed    time.Time
}

// remote is another region whose targets this pool may use.
type remote struct {
	*Group
	validUntil time.Time // of the credits; zero: always valid (static spill)
	static     bool
	service    ServiceTime
	// utilisation of the region, as its broker told with the last credits.
	utilisation float64
	shift       []Hysteresis // by class
}

// placement is a free target for a request.
type placement struct {
	target *Target
	remote *remote // nil: in this region
	cap    *ShiftCap
}

// NewPool returns a pool whose targets all have a limit of 0.
func NewPool(cfg PoolConfig, now time.Time) *Pool {
	p := &Pool{
		cfg:     cfg,
		queue:   NewQueue(cfg.Classes, cfg.Tenants),
		service: NewServiceTime(cfg.ServiceTime),
		rates:   make([]Rate, len(cfg.Classes)),
		caps:    make(map[CapKey]*ShiftCap),
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		local:   newGroup(cfg.Region),
		now:     now,
	}
	for key, limits := range cfg.Caps {
		p.caps[key] = NewShiftCap(limits, now)
	}
	for _, spec := range cfg.Targets {
		p.addTarget(spec)
	}
	p.accept = p.place
	return p
}

func (p *Pool) addTarget(spec TargetSpec) {
	g := p.local
	if spec.Region != p.cfg.Region {
		r := p.remoteOf(spec.Region)
		r.static = true
		g = r.Group
	}
	if g.byName[spec.Name] == nil {
		g.add(&Target{Name: spec.Name, Zone: spec.Zone, Region: spec.Region, Slots: spec.Slots})
	}
}

// Arrive takes a request in. It returns the queued item, or nil when the
// request was decided at once. Decisions are collected until TakeDecisions.
func (p *Pool) Arrive(r *Request, now time.Time) *Item {
	p.now = now
	p.count(r)
	if p.placeStatic(r) {
		p.grant(r)
		return nil
	}
	if p.queue.Ahead(r.Class) == 0 && p.place(r) {
		p.grant(r)
		return nil
	}
	wait := max(p.ExpectedWait(r.Class, now), p.capWait(r))
	if !p.yields(r) && p.placeElsewhere(r, wait) {
		p.grant(r)
		return nil
	}
	if reason, late := p.tooLate(r, wait); late {
		p.refuse(r, reason)
		return nil
	}
	it := p.queue.Push(r, now)
	p.displace(r.Class)
	if it.flow == nil {
		return nil
	}
	return it
}

// Cancel takes a waiting request out without a decision.
func (p *Pool) Cancel(it *Item, now time.Time) {
	p.now = now
	p.queue.Remove(it)
}

// Release gives back a slot that was held for held; 0 means that the slot was
// not used and says nothing about service times.
func (p *Pool) Release(t *Target, held time.Duration, now time.Time) {
	p.now = now
	t.group.setInFlight(t, max(0, t.inFlight-1))
	if held > 0 {
		p.observe(t, held)
	}
	p.queue.SetNear(t.Zone)
	p.dispatch()
	p.queue.SetNear("")
}

// Pass takes a waiting request out that has been given the slot of another
// request of its holder at t, which held it for held. it is nil when the
// request does not wait.
func (p *Pool) Pass(t *Target, it *Item, held time.Duration, now time.Time) {
	p.now = now
	if held > 0 {
		p.observe(t, held)
	}
	if it != nil {
		p.queue.Taken(it)
	}
}

// Next calls f for the requests that will get slots next, most of them at
// most, until it returns false.
func (p *Pool) Next(most int, f func(*Request) bool) { p.queue.Next(most, f) }

func (p *Pool) observe(t *Target, held time.Duration) {
	if r := p.remoteByGroup(t.group); r != nil {
		if link := p.cfg.Links[r.Region]; link != nil {
			held -= 2 * link.OneWay
		}
		r.service.Observe(held)
		return
	}
	p.service.Observe(held)
}

// Restore counts a permit that another process gave out, even above the
// target's limit.
func (p *Pool) Restore(t *Target) { t.group.setInFlight(t, t.inFlight+1) }

// SetLimit sets how many slots of a target of this region may be used. Permits
// that are out stay out.
func (p *Pool) SetLimit(t *Target, limit int) {
	limit = max(limit, 0)
	if limit != t.limit {
		t.group.setLimit(t, limit)
	}
}

// SetTrials tells how many of this region's usable slots are trials of targets
// that are believed down: nothing is expected of them.
func (p *Pool) SetTrials(n int) { p.trials = n }

// solid returns the usable slots of this region that can be counted on.
func (p *Pool) solid() int { return max(0, p.local.limit-p.trials) }

// Tick refuses requests whose time in the queue is over, and dispatches what
// the passing of time has made possible.
func (p *Pool) Tick(now time.Time) {
	p.now = now
	p.smooth()
	for it := p.queue.Expired(now); it != nil; it = p.queue.Expired(now) {
		p.refuse(it.Request, ReasonWaited)
	}
	p.dispatch()
	p.shiftTails()
	for i := len(p.queue.classes) - 1; i >= 0; i-- {
		p.trim(p.queue.classes[i])
	}
}

// dispatch gives free slots to waiting requests in the queue's order.
func (p *Pool) dispatch() {
	for p.queue.Len() > 0 {
		it := p.queue.Pop(p.accept)
		if it == nil {
			return
		}
		p.grant(it.Request)
	}
}

// TakeDecisions returns the decisions since the last call. The slice is valid
// until the next event.
func (p *Pool) TakeDecisions() []Decision {
	d := p.decisions
	p.decisions = p.decisions[:0]
	return d
}

// grant takes the slot that place or placeElsewhere has chosen.
func (p *Pool) grant(r *Request) {
	c := p.chosen
	t := c.target
	if c.cap != nil {
		c.cap.Shift(p.now)
	}
	if link := p.cfg.Links[t.Region]; link != nil && c.remote != nil {
		link.Take(r.Bytes, p.now)
	}
	t.group.setInFlight(t, t.inFlight+1)
	p.decisions = append(p.decisions, Decision{Request: r, Target: t, Shifted: t.Region != r.CallerRegion})
}

// count takes an arrival into the rates and the caps of its caller's region.
func (p *Pool) count(r *Request) {
	if i := p.classIndex(r.Class); i >= 0 {
		p.rates[i].Add(1, p.now)
	}
	if r.Retry {
		return
	}
	for key, c := range p.caps {
		if key.From == r.CallerRegion {
			c.Count(p.now)
		}
	}
}

func (p *Pool) classIndex(name string) int {
	for i, c := range p.queue.classes {
		if c.spec.Name == name {
			return i
		}
	}
	return len(p.queue.classes) - 1
}

// Target returns the target of that name of any region, or nil.
func (p *Pool) Target(name string) *Target {
	if t := p.local.byName[name]; t != nil {
		return t
	}
	for _, r := range p.remotes {
		if t := r.byName[name]; t != nil {
			return t
		}
	}
	return nil
}

// Local returns the targets of this region.
func (p *Pool) Local() []*Target { return p.local.targets }

// utilisationWindow is the time constant over which utilisation is smoothed,
// so that a moment without a free slot does not count as a region without
// headroom.
const utilisationWindow = time.Second

// smooth takes the present utilisation in.
func (p *Pool) smooth() {
	weight := min(1, p.now.Sub(p.smoothed).Seconds()/utilisationWindow.Seconds())
	if p.smoothed.IsZero() {
		weight = 1
	}
	p.utilisation += weight * (p.local.Utilisation() - p.utilisation)
	p.smoothed = p.now
}

// Utilisation returns the permits out per usable slot of this region, smoothed
// over utilisationWindow.
func (p *Pool) Utilisation() float64 { return p.utilisation }

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int { return p.queue.Len() }

// EachTarget calls f for each target of the document that this pool may use.
func (p *Pool) EachTarget(f func(*Target)) {
	for _, t := range p.local.targets {
		f(t)
	}
	for _, r := range p.remotes {
		if r.static {
			for _, t := range r.targets {
				f(t)
			}
		}
	}
}

// InFlight returns how many permits for targets of this region are out.
func (p *Pool) InFlight() int { return p.local.inFlight }

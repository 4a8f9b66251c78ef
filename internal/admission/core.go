package admission

import (
	"time"

	"masticturn/internal/config"
	"masticturn/internal/measure"
	"masticturn/internal/outcome"
	"masticturn/internal/steering"
	"masticturn/internal/telemetry"
)

// refreshEvery is how often the limits of targets are derived anew when
// nothing has changed but time.
const refreshEvery = 50 * time.Millisecond

// shedPause is how long a target that said 'not run' is given no more than it
// has, since others load it in ways that are not seen here.
const shedPause = 100 * time.Millisecond

// leftFor is how long a target that said it is leaving gets no new work on its
// own word, whatever other sources say.
const leftFor = 10 * time.Second

// core is a pool with what limits its targets: health, outcomes and, for a
// broker, what is granted to others. It does no I/O and is used under a lock.
type core struct {
	pool      *steering.Pool
	ejector   *steering.Ejector
	evidence  *steering.Evidence
	trials    steering.Trials
	trial     string // target that is tried although it is believed down
	caution   steering.Caution
	cold      time.Duration // steering.cold_ms
	targets   map[string]*config.TargetIndex
	paused    map[string]time.Time // by target, end of the pause after a shed
	left      map[string]time.Time // by target, until when it counts as leaving
	withheld  func(t *steering.Target, usable int) int
	view      *measure.View // the last one seen
	notes     []note        // to be logged
	viewed    uint64
	refreshed time.Time
}

func newCore(s *config.Snapshot, svc *config.ServiceIndex, cfg steering.PoolConfig, now time.Time) *core {
	c := &core{
		pool:     steering.NewPool(cfg, now),
		ejector:  steering.NewEjector(),
		evidence: steering.NewEvidence(),
		paused:   make(map[string]time.Time),
		left:     make(map[string]time.Time),
		view:     &measure.View{},
	}
	c.setTargets(s, svc)
	return c
}

// reconfigure puts a new document in force and returns the items of the
// requests that wait.
func (c *core) reconfigure(s *config.Snapshot, svc *config.ServiceIndex, cfg steering.PoolConfig, now time.Time) []*steering.Item {
	pool, items := c.pool.Reconfigure(cfg, now)
	c.pool = pool
	c.setTargets(s, svc)
	c.refreshNow(now)
	return items
}

func (c *core) setTargets(s *config.Snapshot, svc *config.ServiceIndex) {
	c.caution = cautionOf(s.Document)
	c.cold = c.caution.Cold
	c.viewed, c.refreshed = 0, time.Time{}
	for name := range c.targets {
		c.ejector.SetSlots(name, 0)
		c.evidence.Forget(name)
	}
	c.targets = make(map[string]*config.TargetIndex, len(svc.AllTargets))
	for _, t := range svc.AllTargets {
		c.targets[t.Name] = t
		if c.pool.Target(t.Name) != nil {
			c.ejector.SetSlots(t.Name, t.Slots)
		}
	}
}

// tick derives limits and lets the pool act on the passing of time.
func (c *core) tick(view *measure.View, now time.Time) {
	c.refresh(view, now)
	c.pool.Tick(now)
}

// refresh derives the targets' limits from the view, when it has changed or
// some time has passed.
func (c *core) refresh(view *measure.View, now time.Time) {
	if view.Version == c.viewed && now.Sub(c.refreshed) < refreshEvery {
		return
	}
	c.view, c.viewed = view, view.Version
	c.refreshNow(now)
}

// refreshNow derives the targets' limits from the last view.
func (c *core) refreshNow(now time.Time) {
	c.refreshed = now
	view := c.view
	c.chooseTrial(now)
	c.caution.Cold = c.slowStart()
	c.pool.EachTarget(func(t *steering.Target) { c.limit(t, view.Target(t.Name), now) })
}

// slowStart returns how long cold targets are started slowly, 0 while slow
// start is waived.
func (c *core) slowStart() time.Duration {
	cold, warm := 0, 0
	for _, t := range c.pool.Local() {
		switch c.view.Target(t.Name).Health {
		case measure.Cold:
			cold += t.Slots
		case measure.Healthy, measure.Unmeasured:
			warm += t.Slots
		}
	}
	if steering.WaivesSlowStart(cold, warm) {
		return 0
	}
	return c.cold
}

// chooseTrial chooses the target to try while probes find most slots down.
func (c *core) chooseTrial(now time.Time) {
	var down []string
	slots, all := 0, 0
	for _, t := range c.pool.Local() {
		all += t.Slots
		s := c.view.Target(t.Name)
		if s.Health != measure.Down {
			continue
		}
		slots += t.Slots
		if c.evidence.Weigh(t.Name, s, 0, t.Slots, now) == 0 {
			down = append(down, t.Name)
		}
	}
	c.trial = c.trials.Next(down, steering.MostDown(slots, all), now)
	n := 0
	if c.trial != "" {
		n = steering.TrialSlots
	}
	c.pool.SetTrials(n)
}

func (c *core) limit(t *steering.Target, s measure.TargetState, now time.Time) {
	idx := c.targets[t.Name]
	if idx == nil {
		return
	}
	t.SetReported(steering.ReportedLoad(s, c.caution, now))
	usable := steering.UsableSlots(t.Slots, idx.Leaving, s, c.caution, now)
	if !idx.Leaving {
		usable = c.evidence.Weigh(t.Name, s, usable, t.Slots, now)
		if t.Name == c.trial {
			usable = max(usable, steering.TrialSlots)
		}
	}
	if c.ejector.Ejected(t.Name, now) || during(c.left, t.Name, now) {
		usable = 0
	}
	if c.ejector.OnTrial(t.Name, now) {
		usable = min(usable, steering.TrialSlots)
	}
	if during(c.paused, t.Name, now) {
		usable = min(usable, max(1, t.InFlight()))
	}
	if c.withheld != nil {
		usable -= c.withheld(t, usable)
	}
	c.pool.SetLimit(t, usable)
}

// during reports whether a target's time in ends lies ahead.
func during(ends map[string]time.Time, target string, now time.Time) bool {
	end, ok := ends[target]
	if ok && !now.Before(end) {
		delete(ends, target)
		return false
	}
	return ok
}

// release gives a slot back and learns from what the dispatch of a VM showed.
func (c *core) release(target, vm string, held time.Duration, r Result, now time.Time) {
	t := c.pool.Target(target)
	if t == nil {
		return
	}
	c.learn(t, vm, r, now)
	if !r.usedSlot() {
		held = 0
	}
	c.pool.Release(t, held, now)
}

// learn takes the outcome into the target's record before the slot is free
// again, so that a failing target is not chosen for the next request.
func (c *core) learn(t *steering.Target, vm string, r Result, now time.Time) {
	switch {
	case r.Canceled:
	case r.Draining:
		c.left[t.Name] = now.Add(leftFor)
		c.pool.SetLimit(t, 0)
	case r.Backoff > 0:
		c.left[t.Name] = now.Add(r.Backoff)
		c.pool.SetLimit(t, 0)
	case r.ShedByPeer:
		c.paused[t.Name] = now.Add(shedPause)
		c.pool.SetLimit(t, min(t.Limit(), max(1, t.InFlight()-1)))
	default:
		c.evidence.Observe(t.Name, r.succeeded(), now)
		if c.ejector.Observe(t.Name, vm, r.succeeded(), c.pool.InFlight(), now) {
			c.pool.SetLimit(t, 0)
			c.note(eventTargetEjected, telemetry.Value(fieldTarget, t.Name))
		}
	}
}

func (c *core) note(e *telemetry.Event, fields ...telemetry.Field) {
	c.notes = append(c.notes, note{e, fields})
}

// takeNotes returns what is to be logged.
func (c *core) takeNotes() []note {
	notes := c.notes
	c.notes = nil
	return notes
}

// succeeded reports whether the target did its work.
func (r Result) succeeded() bool {
	return r.Outcome == outcome.Answered && r.Status < statusServerError
}

// usedSlot reports whether the time of holding the slot tells how long the
// target takes.
func (r Result) usedSlot() bool { return r.Outcome == outcome.Answered && !r.Canceled }

// statusServerError is the lowest HTTP status that counts against a target.
const statusServerError = 500

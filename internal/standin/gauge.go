package standin

import (
	"sync"
	"time"
)

// Gauge counts the concurrency offered to one target or to all targets of a
// region: requests being run and requests queued inside.
type Gauge struct {
	mu       sync.Mutex
	capacity int
	now      int
	reading  GaugeReading
	overFrom time.Time
}

// GaugeReading is what a gauge has seen since its last reset.
type GaugeReading struct {
	High   int           `json:"high"`    // highest concurrency offered
	HighAt time.Time     `json:"high_at"` // when it was first reached
	Over   time.Duration `json:"over_ns"` // time above capacity
}

// NewGauge returns a gauge; capacity is the sum of slots.
func NewGauge(capacity int) *Gauge { return &Gauge{capacity: capacity} }

// Add changes the concurrency by delta.
func (g *Gauge) Add(delta int) {
	at := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now += delta
	if g.now > g.reading.High {
		g.reading.High = g.now
		g.reading.HighAt = at
	}
	g.account(at)
}

// AddCapacity changes the capacity, when a target dies or comes back.
func (g *Gauge) AddCapacity(delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity += delta
	g.account(time.Now())
}

// account keeps the time spent above capacity; g.mu is held.
func (g *Gauge) account(at time.Time) {
	if !g.overFrom.IsZero() {
		g.reading.Over += at.Sub(g.overFrom)
		g.overFrom = time.Time{}
	}
	if g.now > g.capacity {
		g.overFrom = at
	}
}

// Now returns the present concurrency and capacity.
func (g *Gauge) Now() (concurrency, capacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now, g.capacity
}

// Read returns what was seen and starts anew.
func (g *Gauge) Read() GaugeReading {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account(time.Now())
	r := g.reading
	g.reading = GaugeReading{High: g.now, HighAt: time.Now()}
	return r
}

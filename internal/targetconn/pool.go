// Package targetconn keeps the connections to targets: limited per target, aged out, never resent on,
// and never reused after an answer that was late, short or followed by unexpected bytes.
package targetconn

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
)

// Idle times. They stay well below usual servers' idle timeouts, as a request may race with the
// server's close.
const (
	// IdleLimit is the longest idle time of a connection for reuse.
	IdleLimit = 4 * time.Second
	maxAge    = 2 * time.Minute
	// recentLimit is that for a non-idempotent request.
	recentLimit = 2 * time.Second
	// distrustFor is how long a target's connections are not reused for such requests after a mismatched
	// response, as another one may follow on any of them.
	distrustFor  = 10 * time.Second
	maxAgeJitter = 30 * time.Second
)

// ErrLimit: all connections of this VM to the target are in use.
var ErrLimit = errors.New("limit of connections to the target is reached")

// Use is the purpose of a connection.
type Use uint8

// The uses of a connection.
const (
	UseAny    Use = iota // an idle one is good
	UseFresh             // only one on which nothing was sent yet
	UseRecent            // one that was in use within recentLimit, or a fresh one
)

// Deps is what Pools needs.
type Deps struct {
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Clock   kernel.Clock
	Metrics *metrics.Set
}

// Pools holds a pool of connections for each target in use.
type Pools struct {
	deps      Deps
	transport *http.Transport
	opened    *metrics.Counter
	reused    *metrics.Counter
	ahead     *metrics.Counter
	dropped   *metrics.Counter
	staleness staleness

	mu    sync.RWMutex
	pools map[poolKey]*pool
}

type poolKey struct{ target, address string }

type wireKey struct{}

// NewPools returns empty pools.
func NewPools(d Deps) *Pools {
	p := &Pools{
		deps:    d,
		pools:   make(map[poolKey]*pool),
		opened:  d.Metrics.GetOrCreateCounter("masticturn_target_connections_opened_total"),
		ahead:   d.Metrics.GetOrCreateCounter("masticturn_target_connections_ahead_total"),
		reused:  d.Metrics.GetOrCreateCounter("masticturn_target_connections_reused_total"),
		dropped: d.Metrics.GetOrCreateCounter("masticturn_target_connections_dropped_total"),
	}
	p.transport = &http.Transport{DialContext: p.dial, DisableCompression: true}
	return p
}

// dial wraps the connection in the wire found in the context.
func (p *Pools) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.deps.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w := ctx.Value(wireKey{}).(*wire)
	w.Conn = conn
	return w, nil
}

// Get returns a connection to the target, or ErrLimit if this VM's share of the target's connections
// is in use. No byte has been sent on an error.
func (p *Pools) Get(ctx context.Context, t *config.TargetIndex, limit int, use Use) (*Conn, error) {
	pl := p.pool(poolKey{t.Name, t.Address})
	if c := pl.acquireIdleFor(use, p.deps.Clock.Now()); c != nil {
		p.reused.Inc()
		return c, nil
	}
	if !pl.reserve(limit) {
		return nil, trace.Wrap(ErrLimit, "target %s, limit %d", t.Name, limit)
	}
	c, err := p.open(ctx, pl, t.Address)
	if err != nil {
		pl.unreserve()
		return nil, trace.Wrap(err, "connect to target %s at %s", t.Name, t.Address)
	}
	return c, nil
}

// open opens a connection for an exchange.
func (p *Pools) open(ctx context.Context, pl *pool, address string) (*Conn, error) {
	c, err := p.connect(ctx, pl, address)
	if err != nil {
		return nil, err
	}
	if !c.wire.begin() {
		_ = c.client.Close()
		return nil, trace.ConnectionProblem(nil, "the target spoke first or closed the new connection")
	}
	pl.add(c)
	return c, nil
}

// connect opens a connection.
func (p *Pools) connect(ctx context.Context, pl *pool, address string) (*Conn, error) {
	now := p.deps.Clock.Now()
	w := &wire{}
	c := &Conn{pool: pl, wire: w, openedAt: now, maxAge: maxAge + rand.N(maxAgeJitter)}
	w.quiet = func() { pl.releaseIdle(c, p.deps.Clock.Now()) }
	w.closed = func() { pl.forget(c) }
	client, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, w), "http", address)
	if err != nil {
		return nil, err
	}
	p.opened.Inc()
	c.client = client
	c.openedIn = p.deps.Clock.Now().Sub(now)
	pl.recordOpening(c.openedIn)
	return c, nil
}

func (p *Pools) pool(key poolKey) *pool {
	p.mu.RLock()
	pl := p.pools[key]
	p.mu.RUnlock()
	if pl != nil {
		return pl
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl = p.pools[key]; pl == nil {
		pl = p.newPool()
		p.pools[key] = pl
	}
	return pl
}

// Suspect drops the idle connections to a target after one of its connections turned silent, as the
// target may have lost all of them.
func (p *Pools) Suspect(t *config.TargetIndex) {
	p.pool(poolKey{t.Name, t.Address}).dropIdle()
}

// Distrust makes non-idempotent requests use new connections to a target for a while.
func (p *Pools) Distrust(t *config.TargetIndex) {
	pl := p.pool(poolKey{t.Name, t.Address})
	pl.distrust(p.deps.Clock.Now().Add(distrustFor))
}

// Adopt forgets targets that left the document and closes their idle connections. Exchanges in flight
// finish.
func (p *Pools) Adopt(s *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, pl := range p.pools {
		t := s.Target(key.target)
		if t != nil && t.Address == key.address {
			continue
		}
		pl.retire()
		delete(p.pools, key)
	}
}

// Sweep closes idle connections that are too old. It must be called about once a second.
func (p *Pools) Sweep() {
	now := p.deps.Clock.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, pl := range p.pools {
		pl.sweep(now)
	}
}

// Close closes the idle connections; others are closed when released.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, pl := range p.pools {
		pl.retire()
		delete(p.pools, key)
	}
}

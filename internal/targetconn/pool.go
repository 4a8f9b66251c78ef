// Package targetconn pools the connections to targets. It limits their number per target and their age.
// No request is sent twice on a connection, and no connection is reused after a response that was late,
// truncated or followed by unexpected bytes.
package targetconn

import (
	"cmp"
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
	"masticturn/internal/resetconn"
)

// Limits of idle time and age. They are well below the usual idle timeouts of servers, because a request
// may be sent while the server closes the connection.
const (
	// defaultIdleLimit is the longest idle time of a connection for reuse, unless the target announces a
	// longer keep-alive timeout.
	defaultIdleLimit = 4 * time.Second
	maxAge           = 2 * time.Minute
	// recentIdleLimit is the longest idle time of a connection that a non-idempotent request reuses.
	recentIdleLimit = 2 * time.Second
	// reuseRestrictionTime is how long non-idempotent requests reuse no connections of a target after a
	// mismatched response, as another one may arrive on any of them.
	reuseRestrictionTime = 10 * time.Second
	maxAgeJitter         = 30 * time.Second
)

// ErrLimit is returned if this VM has as many connections to the target as it may have, and none is idle.
var ErrLimit = errors.New("limit of connections to the target is reached")

// Use states which connections a request may use.
type Use uint8

// The values of Use.
const (
	UseAny    Use = iota // an idle connection, or else a new one
	UseNew               // only a new connection
	UseRecent            // a connection idle for at most recentIdleLimit, or else a new one
)

// Deps holds the dependencies of Pools.
type Deps struct {
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Targets Dialer // used instead of Dial if not nil
	// MaxHeadBytes is the maximum size of the head of a response, with the interim responses before it.
	MaxHeadBytes int64
	Clock        kernel.Clock
	Metrics      *metrics.Set
}

// Pools holds a connection pool for each target in use.
type Pools struct {
	deps      Deps
	transport *http.Transport
	opened    *metrics.Counter
	reused    *metrics.Counter
	ahead     *metrics.Counter
	dropped   *metrics.Counter
	connects  connectCounters
	needed    openCounters
	staleness staleness

	mu    sync.RWMutex
	pools map[poolKey]*pool
}

type poolKey struct{ target, address string }

type wireKey struct{}

// dialing is the value of a context with which the transport opens a connection.
type dialing struct {
	wire   *wire
	target *config.TargetIndex
	reach  Reach
}

// NewPools returns empty pools.
func NewPools(d Deps) *Pools {
	p := &Pools{
		deps:     d,
		pools:    make(map[poolKey]*pool),
		connects: newConnectCounters(d.Metrics),
		needed:   newOpenCounters(d.Metrics),
		opened:   d.Metrics.GetOrCreateCounter("masticturn_target_connections_opened_total"),
		ahead:    d.Metrics.GetOrCreateCounter("masticturn_target_connections_ahead_total"),
		reused:   d.Metrics.GetOrCreateCounter("masticturn_target_connections_reused_total"),
		dropped:  d.Metrics.GetOrCreateCounter("masticturn_target_connections_dropped_total"),
	}
	p.transport = &http.Transport{DialContext: p.dial, DisableCompression: true, MaxResponseHeaderBytes: d.MaxHeadBytes}
	d.Metrics.GetOrCreateGauge("masticturn_target_connections_idle", func() float64 { return float64(p.IdleCount()) })
	return p
}

// IdleCount returns the number of idle connections to all targets.
func (p *Pools) IdleCount() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n := 0
	for _, pl := range p.pools {
		n += pl.idleCount()
	}
	return n
}

// dial opens a connection and returns it wrapped in the wire that the context carries.
func (p *Pools) dial(ctx context.Context, _, address string) (net.Conn, error) {
	d := ctx.Value(wireKey{}).(*dialing)
	conn, err := p.dialTarget(ctx, d, address)
	if err != nil {
		return nil, err
	}
	d.wire.Conn = conn
	return d.wire, nil
}

func (p *Pools) dialTarget(ctx context.Context, d *dialing, address string) (net.Conn, error) {
	if p.deps.Targets != nil {
		return p.deps.Targets.DialTarget(ctx, d.target, d.reach)
	}
	return resetconn.Dial(ctx, p.deps.Dial, address)
}

// Get returns a connection to the target that suits the use and the reach. The limit is this VM's share of the target's
// connections; Get returns ErrLimit if all of them are in use. If Get fails, no byte was sent.
func (p *Pools) Get(ctx context.Context, t *config.TargetIndex, limit int, use Use, reach Reach) (*Conn, error) {
	pl := p.pool(poolKey{t.Name, t.Address})
	now := p.deps.Clock.Now()
	reason := pl.openReasonFor(use, now) // before acquireIdleFor, which closes unusable connections
	if c := pl.acquireIdleFor(use, request{t.Region, reach}, now); c != nil {
		p.reused.Inc()
		return c, nil
	}
	p.needed[reason].Inc()
	if !pl.reserve(limit) {
		return nil, trace.Wrap(ErrLimit, "target %s, limit %d", t.Name, limit)
	}
	c, err := p.open(ctx, pl, t, reach)
	if err != nil {
		pl.unreserve()
		return nil, trace.Wrap(err, "connect to target %s at %s", t.Name, t.Address)
	}
	return c, nil
}

// open opens a connection and begins an exchange on it.
func (p *Pools) open(ctx context.Context, pl *pool, t *config.TargetIndex, reach Reach) (*Conn, error) {
	c, err := p.connect(ctx, pl, t, reach)
	if err != nil {
		return nil, err
	}
	if !c.wire.beginExchange() {
		_ = c.client.Close()
		return nil, trace.ConnectionProblem(nil, "target sent data before any request or closed the new connection")
	}
	pl.add(c)
	return c, nil
}

// connect opens a connection for which the caller has a reservation.
func (p *Pools) connect(ctx context.Context, pl *pool, t *config.TargetIndex, reach Reach) (*Conn, error) {
	now := p.deps.Clock.Now()
	w := &wire{closed: make(chan struct{})}
	c := &Conn{
		pool: pl, wire: w, openedAt: now, maxAge: maxAge + rand.N(maxAgeJitter),
		maxHeadBytes: cmp.Or(p.deps.MaxHeadBytes, http.DefaultMaxHeaderBytes),
	}
	w.onIdle = func() { pl.putIdle(c, p.deps.Clock.Now()) }
	w.onClose = func() { pl.remove(c) }
	client, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, &dialing{w, t, reach}), "http", t.Address)
	p.connects[connectResultOf(err)].Inc()
	if err != nil {
		return nil, err
	}
	p.opened.Inc()
	c.client = client
	if w.tunnel() == nil {
		c.connectTime = p.deps.Clock.Now().Sub(now)
		pl.recordConnectTime(c.connectTime)
	}
	return c, nil
}

// pool returns the pool of a target and creates it if needed.
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

// DropIdle closes the idle connections to a target. It is called after the target was silent on one of
// its connections, as the target may have lost all of them.
func (p *Pools) DropIdle(t *config.TargetIndex) {
	p.pool(poolKey{t.Name, t.Address}).dropIdle()
}

// RestrictReuse makes non-idempotent requests use only new connections to a target for
// reuseRestrictionTime. It is called after a mismatched response.
func (p *Pools) RestrictReuse(t *config.TargetIndex) {
	pl := p.pool(poolKey{t.Name, t.Address})
	pl.restrictReuse(p.deps.Clock.Now().Add(reuseRestrictionTime))
}

// Adopt removes the pools of targets that are no longer in the document, or have another address, and
// closes their idle connections. Exchanges in flight continue.
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

// Sweep closes idle connections that are no longer usable. It should be called about once a second.
func (p *Pools) Sweep() {
	now := p.deps.Clock.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, pl := range p.pools {
		pl.sweep(now)
	}
}

// Close closes the idle connections. Those in use are closed when they are released.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, pl := range p.pools {
		pl.retire()
		delete(p.pools, key)
	}
}

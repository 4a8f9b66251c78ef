package tunnel

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/telemetry"
)

const (
	// minRelayedRoundTrip is the round trip to a region from which connections there are opened through ready
	// tunnels. Below it, connecting directly costs callers little more than another VM on the way.
	minRelayedRoundTrip = 40 * time.Millisecond
	// readyLifetime is how long a ready tunnel may be used. It is shorter than readyIdleTimeout, so that a
	// tunnel is not used while the carrying VM closes it.
	readyLifetime    = 20 * time.Second
	readyIdleTimeout = 30 * time.Second
	// demandDecay is the time constant of the measured rate of connections to a region.
	demandDecay = 5 * time.Second
	// minReadyRate is the rate of connections, per second, below which no tunnel is kept ready.
	minReadyRate = 0.1
	// maxReadyPerRegion bounds the ready tunnels of this VM to one region.
	maxReadyPerRegion = 16
	// openTime is the time to open a ready tunnel that is assumed before the first one.
	openTime = 300 * time.Millisecond
	// carrierResponseTime is how long the carrying VM may take to tell that it has connected, besides the round
	// trip. If it takes longer, the ready tunnels may have been lost as well.
	carrierResponseTime = 200 * time.Millisecond
	// openRetryTime is how long no tunnel is opened to a region after one could not be opened.
	openRetryTime = time.Second
)

// readyTunnel is a tunnel to a VM that waits for the target to connect to.
type readyTunnel struct {
	stream   net.Conn
	carrier  membership.Member
	process  process // of the carrier
	openedAt time.Time

	responded chan struct{} // closed when response or err is set
	response  OpenResponse
	err       error // the tunnel ended before a response
}

// awaitResponse reads the carrying VM's response, which follows the request for a target.
func (r *readyTunnel) awaitResponse() {
	defer close(r.responded)
	r.err = readMessage(r.stream, &r.response)
}

// settled reports whether the carrying VM has responded or the tunnel has ended.
func (r *readyTunnel) settled() bool {
	select {
	case <-r.responded:
		return true
	default:
		return false
	}
}

// readyRegion holds the ready tunnels to the VMs of one region.
type readyRegion struct {
	idle       []*readyTunnel // the most recently opened last
	opening    int
	failedAt   time.Time // when the last tunnel could not be opened; zero: it was opened
	rate       float64   // of connections, 1/s, at measuredAt
	measuredAt time.Time
	openTime   time.Duration // time that it took to open the last one
	roundTrip  time.Duration // shortest time of a direct connect
}

// recordUse records that a connection to the region is needed.
func (r *readyRegion) recordUse(now time.Time) {
	r.rate = r.rateAt(now) + float64(time.Second)/float64(demandDecay)
	r.measuredAt = now
}

// rateAt returns the rate of connections, 1/s.
func (r *readyRegion) rateAt(now time.Time) float64 {
	return r.rate * math.Exp(-float64(now.Sub(r.measuredAt))/float64(demandDecay))
}

// wanted returns how many tunnels to keep ready: twice as many as are used while one is opened, and one.
func (r *readyRegion) wanted(now time.Time) int {
	rate := r.rateAt(now)
	if rate < minReadyRate {
		return 0
	}
	return min(1+int(math.Ceil(2*rate*r.openTime.Seconds())), maxReadyPerRegion)
}

// readyTunnels holds the ready tunnels of this VM by region.
type readyTunnels struct {
	mu       sync.Mutex
	byRegion map[string]*readyRegion
	overdue  map[*Conn]struct{} // of repeatable requests; their carriers may be lost
	closed   bool
}

// region returns the tunnels to a region. mu is held.
func (t *readyTunnels) region(name string) *readyRegion {
	r := t.byRegion[name]
	if r == nil {
		r = &readyRegion{openTime: openTime}
		t.byRegion[name] = r
	}
	return r
}

// recordConnect records the time of a direct connect to a target.
func (t *readyTunnels) recordConnect(region string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.region(region); r.roundTrip == 0 || took < r.roundTrip {
		r.roundTrip = took
	}
}

// take takes a ready tunnel to a region whose carrier may be used; nil if there is none.
func (t *readyTunnels) take(region string, usable func(*readyTunnel) bool, now time.Time) (tunnel *readyTunnel, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(region)
	if r.roundTrip < minRelayedRoundTrip {
		return nil, 0
	}
	r.recordUse(now)
	for len(r.idle) > 0 {
		last := r.idle[len(r.idle)-1]
		r.idle = r.idle[:len(r.idle)-1]
		if usable(last) {
			return last, r.roundTrip
		}
		_ = last.stream.Close()
	}
	return nil, 0
}

// reserve reserves a tunnel to be opened; false if enough are ready.
func (t *readyTunnels) reserve(region string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(region)
	if t.closed || len(r.idle)+r.opening >= r.wanted(now) {
		return false
	}
	if !r.failedAt.IsZero() && (r.opening > 0 || now.Sub(r.failedAt) < openRetryTime) {
		return false
	}
	r.opening++
	return true
}

// add ends a reservation. The tunnel is nil if it could not be opened.
func (t *readyTunnels) add(region string, tunnel *readyTunnel, started, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(region)
	r.opening--
	switch {
	case tunnel == nil:
		r.failedAt = now
	case t.closed:
		_ = tunnel.stream.Close()
	default:
		r.failedAt = time.Time{}
		r.openTime = now.Sub(started)
		r.idle = append(r.idle, tunnel)
	}
}

// drop closes the ready tunnels to a region.
func (t *readyTunnels) drop(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.region(region)
	for _, tunnel := range r.idle {
		_ = tunnel.stream.Close()
	}
	r.idle = nil
}

// addOverdue adds a connection whose carrier has not responded in time.
func (t *readyTunnels) addOverdue(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overdue[c] = struct{}{}
}

// unsettled returns the overdue connections whose carrier still has not responded, and forgets the others.
func (t *readyTunnels) unsettled() (conns []*Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.overdue {
		if c.ready.settled() {
			delete(t.overdue, c)
			continue
		}
		conns = append(conns, c)
	}
	return conns
}

// count returns the number of ready tunnels.
func (t *readyTunnels) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.byRegion {
		n += len(r.idle)
	}
	return n
}

// sweep closes tunnels that may not be used and returns the regions.
func (t *readyTunnels) sweep(usable func(*readyTunnel) bool) (regions []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.byRegion {
		kept := r.idle[:0]
		for _, tunnel := range r.idle {
			if usable(tunnel) {
				kept = append(kept, tunnel)
				continue
			}
			_ = tunnel.stream.Close()
		}
		clear(r.idle[len(kept):])
		r.idle = kept
		regions = append(regions, name)
	}
	return regions
}

// close closes all ready tunnels and opens no more.
func (t *readyTunnels) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.sweep(func(*readyTunnel) bool { return false })
}

// usableReady reports whether a ready tunnel may be used.
func (s *Service) usableReady(r *readyTunnel) bool {
	return !r.settled() && s.deps.Clock.Now().Sub(r.openedAt) <= readyLifetime && !s.avoids(r.carrier.Name) && s.stillCarries(r.carrier.Name)
}

// maintainReady closes ready tunnels that may not be used and opens others.
func (s *Service) maintainReady(ctx context.Context) {
	for _, region := range s.ready.sweep(s.usableReady) {
		s.fillReady(ctx, region)
	}
}

// fillReady opens ready tunnels to a region in the background, as many as are wanted.
func (s *Service) fillReady(ctx context.Context, region string) {
	for s.ready.reserve(region, s.deps.Clock.Now()) {
		go func() {
			started := s.deps.Clock.Now()
			tunnel := s.openReady(ctx, region)
			s.ready.add(region, tunnel, started, s.deps.Clock.Now())
		}()
	}
}

// openReady opens a tunnel to a VM of a region; nil if it can't.
func (s *Service) openReady(ctx context.Context, region string) *readyTunnel {
	view := s.deps.Members.View()
	for _, m := range carriers(view, carrierQuery{self: s.deps.Self, targetRegion: region, avoid: s.avoids, random: random}) {
		if m.Region != region || s.avoids(m.Name) {
			return nil
		}
		ctx, cancel := context.WithTimeout(ctx, carrierTimeout)
		var response OpenResponse
		stream, err := s.deps.Streams.OpenStream(ctx, m.Name, &OpenRequest{Ready: true}, &response)
		cancel()
		if err == nil && response.Result == ResultOpened {
			r := &readyTunnel{
				stream: stream, carrier: m, process: newProcess(stream.Peer, view),
				openedAt: s.deps.Clock.Now(), responded: make(chan struct{}),
			}
			go r.awaitResponse()
			return r
		}
		if err == nil {
			_ = stream.Close()
			err = trace.ConnectionProblem(nil, "VM %s: %s", m.Name, response.Result)
		}
		s.logNotCarried(m.Name, "", err)
		s.avoid(m.Name)
	}
	return nil
}

// relay returns a connection to a target of another region through a ready tunnel; nil if none is ready. The
// connection accepts bytes at once, before the carrying VM has connected to the target.
func (s *Service) relay(t *config.TargetIndex, repeatable bool) net.Conn {
	r, roundTrip := s.ready.take(t.Region, s.usableReady, s.deps.Clock.Now())
	s.fillReady(s.lifetime(), t.Region)
	if r == nil {
		return nil
	}
	request := OpenRequest{Target: t.Name, Address: t.Address, ID: s.newID()}
	if err := writeMessage(r.stream, &request); err != nil {
		s.logNotCarried(r.carrier.Name, t.Name, err)
		_ = r.stream.Close()
		return nil
	}
	s.opened.Inc()
	s.relayed.Inc()
	conn := s.newConn(r.stream, r.carrier, &request)
	conn.ready, conn.overdue = r, make(chan struct{})
	conn.receiveNotice = s.receiveNotice
	go s.recordResponse(r, conn.id, s.deps.Clock.Now(), roundTrip+carrierResponseTime)
	time.AfterFunc(roundTrip+carrierResponseTime, func() { s.checkResponse(conn, repeatable) })
	return conn
}

// recordResponse records when the carrying VM responded.
func (s *Service) recordResponse(r *readyTunnel, id string, sentAt time.Time, limit time.Duration) {
	<-r.responded
	if r.err != nil {
		return
	}
	took := s.deps.Clock.Now().Sub(sentAt)
	s.responseTime.Update(took.Seconds())
	if took > limit {
		s.deps.Logger.Log(eventCarrierLate, telemetry.Peer(r.carrier.Name), telemetry.Value("tunnel", id),
			telemetry.Value("after_ms", took.Milliseconds()), telemetry.Value("result", r.response.Result.String()))
	}
}

// checkResponse stops using a carrying VM that has not told in time whether it has connected. The request under way
// stays: its carrier may be as slow as a full link, and is known to be lost only once it is gone.
func (s *Service) checkResponse(conn *Conn, repeatable bool) {
	r := conn.ready
	if r.settled() {
		return
	}
	s.deps.Logger.Log(eventCarrierSilent, telemetry.Peer(r.carrier.Name), telemetry.Value("tunnel", conn.id))
	s.avoid(r.carrier.Name)
	s.ready.drop(r.carrier.Region)
	close(conn.overdue)
	if repeatable {
		s.ready.addOverdue(conn)
	}
}

// closeLost closes the overdue connections of repeatable requests whose carrier's process has ended.
func (s *Service) closeLost() {
	overdue := s.ready.unsettled()
	if len(overdue) == 0 {
		return
	}
	view := s.deps.Members.View()
	for _, conn := range overdue {
		if conn.ready.process.hasEnded(view) {
			_ = conn.Close()
		}
	}
}

package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/resetconn"
	"masticturn/internal/targetconn"
	"masticturn/internal/telemetry"
)

const (
	// detourAfter is how long a direct connect may take until another VM is asked as well. It is above the round
	// trip between regions.
	detourAfter = 250 * time.Millisecond
	// carrierTimeout is how long one VM may take to open a tunnel.
	carrierTimeout = 700 * time.Millisecond
	// avoidTime is how long a VM that could not carry a connection is asked last.
	avoidTime = time.Second
)

// errNoCarrier is the error if no other VM can be asked to carry a connection.
var errNoCarrier = errors.New("this VM is partitioned from its targets, and no other VM can carry the connection")

var (
	_ targetconn.Dialer = (*Service)(nil)
	_ targetconn.Tunnel = (*Conn)(nil)
)

// dialResult is the end of one attempt to open a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

// DialTarget implements targetconn.Dialer. It connects directly, or through another VM if only other VMs reach the
// target. If the direct connect fails or takes long, another VM is asked: its answer tells whether the target
// has failed or this VM's way to it.
func (s *Service) DialTarget(ctx context.Context, t *config.TargetIndex, r targetconn.Reach) (net.Conn, error) {
	if s.health.Detour(t.Name, s.deps.Clock.Now()) {
		return s.dialDetour(ctx, t, r)
	}
	if r.Relay && t.Region != s.deps.Region {
		if conn := s.relay(t, r.Repeatable); conn != nil {
			return conn, nil
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	directly := s.start(func() dialResult { return s.dialDirect(ctx, t) })
	timer := time.NewTimer(detourAfter)
	defer timer.Stop()
	select {
	case d := <-directly:
		if d.err == nil || ctx.Err() != nil {
			return d.conn, d.err
		}
		return s.dialAfterFailure(ctx, t, r, d.err)
	case <-timer.C:
	case <-ctx.Done():
		s.discard(directly)
		return nil, ctx.Err()
	}
	return s.race(ctx, t, r, directly)
}

// start runs an attempt in the background. The channel gets its result.
func (s *Service) start(dial func() dialResult) <-chan dialResult {
	done := make(chan dialResult, 1)
	go func() { done <- dial() }()
	return done
}

// discard closes the connection of an attempt whose result is not needed.
func (s *Service) discard(attempt <-chan dialResult) {
	go func() {
		if d := <-attempt; d.conn != nil {
			_ = d.conn.Close()
		}
	}()
}

// dialDirect connects to a target from this VM.
func (s *Service) dialDirect(ctx context.Context, t *config.TargetIndex) dialResult {
	started := s.deps.Clock.Now()
	conn, err := resetconn.Dial(ctx, s.deps.Dial, t.Address)
	if err != nil {
		return dialResult{err: err}
	}
	s.ready.recordConnect(t.Region, s.deps.Clock.Now().Sub(started))
	s.apply(s.health.Connected(t.Name, s.deps.Clock.Now()), t.Name, "")
	return dialResult{conn: newDirect(conn, t.Name, s.health, s.deps.Clock.Now)}
}

// dialAfterFailure asks other VMs to connect after a direct connect has failed. No other VM is asked if a similar
// target accepts a connection, as the target has failed then.
func (s *Service) dialAfterFailure(ctx context.Context, t *config.TargetIndex, r targetconn.Reach, failure error) (net.Conn, error) {
	if s.reachesSimilar(ctx, t) {
		return nil, failure
	}
	return s.settle(t, failure, s.dialThrough(ctx, t, r))
}

// dialThrough connects to a target through another VM.
func (s *Service) dialThrough(ctx context.Context, t *config.TargetIndex, r targetconn.Reach) dialResult {
	conn, err := s.dialTunnel(ctx, t, r)
	if err != nil {
		return dialResult{err: err}
	}
	return dialResult{conn: conn}
}

// settle returns the result of a connect that has failed directly, or takes long, by that through another VM. If the
// target can't be reached through other VMs either, the error is that of the direct connect.
func (s *Service) settle(t *config.TargetIndex, failure error, other dialResult) (net.Conn, error) {
	if other.err != nil {
		return nil, s.combine(failure, other.err)
	}
	carrier := other.conn.(*Conn).carrier
	s.apply(s.health.ReachedByOther(t, spreadOf(s.deps.Config.Current()), s.deps.Clock.Now()), t.Name, carrier)
	if !s.health.Partitioned() {
		s.requestCheck()
	}
	return other.conn, nil
}

// combine returns the error of a connect that has failed directly and through other VMs. It is ECONNREFUSED only if
// other VMs were refused as well, or there are none.
func (s *Service) combine(failure, other error) error {
	s.health.Failed()
	if errors.Is(failure, syscall.ECONNREFUSED) && !errors.Is(other, syscall.ECONNREFUSED) && !errors.Is(other, errNoCarrier) {
		return trace.ConnectionProblem(nil, "%v; through other VMs: %v", failure, other)
	}
	return failure
}

// race waits for a direct connect that takes long and for a tunnel, and returns the connection that is open first.
func (s *Service) race(ctx context.Context, t *config.TargetIndex, r targetconn.Reach, directly <-chan dialResult) (net.Conn, error) {
	tunneled := s.start(func() dialResult { return s.dialThrough(ctx, t, r) })
	select {
	case d := <-directly:
		if d.err == nil {
			s.discard(tunneled)
			return d.conn, nil
		}
		return s.settle(t, d.err, <-tunneled)
	case other := <-tunneled:
		if other.err == nil {
			s.discard(directly)
			return s.settle(t, nil, other)
		}
		d := <-directly
		if d.err == nil {
			return d.conn, nil
		}
		return nil, s.combine(d.err, other.err)
	}
}

// dialDetour connects to a target that is reached through other VMs only. It connects directly as a last resort,
// but not while this VM is partitioned from all targets.
func (s *Service) dialDetour(ctx context.Context, t *config.TargetIndex, r targetconn.Reach) (net.Conn, error) {
	conn, err := s.dialTunnel(ctx, t, r)
	if err == nil {
		return conn, nil
	}
	if s.health.Partitioned() || errors.Is(err, syscall.ECONNREFUSED) || ctx.Err() != nil {
		return nil, err
	}
	d := s.dialDirect(ctx, t)
	return d.conn, d.err
}

// refusalsNeeded is the number of VMs that must find that nothing listens at a target's address, as one of them may
// be partitioned and not know it yet.
const refusalsNeeded = 2

// dialTunnel asks other VMs in turn to connect to a target. The error is ECONNREFUSED if they found that nothing
// listens there.
func (s *Service) dialTunnel(ctx context.Context, t *config.TargetIndex, r targetconn.Reach) (*Conn, error) {
	var failure error
	asked, refusals := 0, 0
	for _, m := range carriers(s.deps.Members.View(), carrierQuery{
		self: s.deps.Self, targetRegion: t.Region, reach: r, avoid: s.avoids, random: random,
	}) {
		conn, result, err := s.open(ctx, m, t)
		if err == nil && result == ResultOpened {
			return conn, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		asked++
		if err == nil {
			err = trace.ConnectionProblem(nil, "VM %s: %s", m.Name, result)
		}
		failure = err
		if result == ResultRefused {
			if refusals++; refusals == refusalsNeeded {
				break
			}
			continue
		}
		s.avoid(m.Name)
		s.logNotCarried(m.Name, t.Name, err)
	}
	switch {
	case asked == 0:
		return nil, errNoCarrier
	case refusals == min(asked, refusalsNeeded):
		return nil, fmt.Errorf("connect to %s through other VMs: %w", t.Address, syscall.ECONNREFUSED)
	}
	return nil, trace.Wrap(failure)
}

// logNotCarried logs that a VM did not open a tunnel. The target is empty for a ready tunnel.
func (s *Service) logNotCarried(vm, target string, err error) {
	s.deps.Logger.Log(eventNotCarried, telemetry.Peer(vm), telemetry.Value("target", target), telemetry.Err(err))
}

// open asks one VM to connect to a target.
func (s *Service) open(ctx context.Context, m membership.Member, t *config.TargetIndex) (*Conn, Result, error) {
	ctx, cancel := context.WithTimeout(ctx, carrierTimeout)
	defer cancel()
	request := OpenRequest{Target: t.Name, Address: t.Address, ID: s.newID()}
	var response OpenResponse
	stream, err := s.deps.Streams.OpenStream(ctx, m.Name, &request, &response)
	if err != nil {
		return nil, 0, err
	}
	if response.Result != ResultOpened {
		_ = stream.Close()
		return nil, response.Result, nil
	}
	s.receiveNotice(&response.Notice)
	s.opened.Inc()
	return s.newConn(stream, m, &request), ResultOpened, nil
}

// newID returns an ID for a tunnel of this VM.
func (s *Service) newID() string {
	return fmt.Sprintf("%s-%x-%d", s.deps.Self, s.deps.Incarnation, s.lastID.Add(1))
}

// newConn returns a connection that a VM carries.
func (s *Service) newConn(stream net.Conn, m membership.Member, request *OpenRequest) *Conn {
	s.carriersInUse.add(m.Name)
	return &Conn{
		Conn: stream, carrier: m.Name, region: m.Region, id: request.ID,
		detoured: func() bool { return s.health.Detoured(request.Target) },
		carries:  func() bool { return s.stillCarries(m.Name) },
		onClose:  func() { s.carriersInUse.remove(m.Name) },
		reader:   bufio.NewReaderSize(stream, maxChunkBytes),
	}
}

// stillCarries reports whether a VM may still be used for further requests.
func (s *Service) stillCarries(name string) bool {
	m, ok := s.deps.Members.View().Member(name)
	return ok && m.State == membership.Alive && !m.Partitioned
}

// avoid makes a VM the last to be asked for avoidTime.
func (s *Service) avoid(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[name] = s.deps.Clock.Now().Add(avoidTime)
}

func (s *Service) avoids(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deps.Clock.Now().Before(s.avoidUntil[name])
}

// useCount counts uses by VM.
type useCount struct {
	mu     sync.Mutex
	counts map[string]int
}

func newUseCount() *useCount { return &useCount{counts: make(map[string]int)} }

func (c *useCount) add(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[vm]++
}

func (c *useCount) remove(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[vm]--; c.counts[vm] == 0 {
		delete(c.counts, vm)
	}
}

// vms returns the VMs in use.
func (c *useCount) vms() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.counts))
}

// total returns the number of uses.
func (c *useCount) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, count := range c.counts {
		n += count
	}
	return n
}

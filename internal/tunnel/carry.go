package tunnel

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"masticturn/internal/peer"
	"masticturn/internal/resetconn"
	"masticturn/internal/telemetry"
)

const (
	// carryTimeout and remoteCarryTimeout are how long a connect for another VM may take, to a target of this
	// region and of another one.
	carryTimeout       = 150 * time.Millisecond
	remoteCarryTimeout = 400 * time.Millisecond
	// carryMemoryFraction is the part of this VM's memory for the buffers of carried connections.
	carryMemoryFraction = 16
	defaultMaxTunnels   = 512
	lingerTimeout       = 5 * time.Second // for the other VM to close, or to send more, after the target's end
)

// carriedTunnel is a connection to a target that this VM carries for another VM.
type carriedTunnel struct {
	origin process // that opened it
	id     string
	target string
	conn   net.Conn    // to the target
	stream net.Conn    // to the VM that opened it; nil until it is used
	ended  atomic.Bool // the target has ended its stream
}

// close closes both ends. The target's is reset, as the other VM may not have sent all.
func (c *carriedTunnel) close() {
	reset(c.conn)
	if c.stream != nil {
		_ = c.stream.Close()
	}
}

// reset closes a connection in a way that is not mistaken for a clean end.
func reset(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// maxTunnels returns how many connections this VM carries at most.
func (s *Service) maxTunnels() int {
	if s.deps.MemoryBytes <= 0 {
		return defaultMaxTunnels
	}
	return int(s.deps.MemoryBytes / carryMemoryFraction / (2 * maxChunkBytes))
}

// acceptStream implements peer.StreamHandler.
func (s *Service) acceptStream(ctx context.Context, from peer.StreamPeer, payload []byte) (any, func(net.Conn)) {
	var request OpenRequest
	if err := peer.Decode(payload, &request); err != nil {
		s.deps.Logger.Log(eventRequestInvalid, telemetry.Peer(from.VM), telemetry.Err(err))
		return &OpenResponse{Result: ResultUnknown}, nil
	}
	if request.Ready {
		if !s.addWaiting() {
			return &OpenResponse{Result: ResultBusy}, nil
		}
		return &OpenResponse{Result: ResultOpened}, func(stream net.Conn) { s.serveReady(from, stream) }
	}
	conn, result := s.connectFor(ctx, &request)
	response := &OpenResponse{Result: result}
	if result != ResultOpened {
		return response, nil
	}
	response.Notice = s.notice(request.Target)
	c := &carriedTunnel{origin: newProcess(from, s.deps.Members.View()), id: request.ID, target: request.Target, conn: conn}
	s.addTunnel(c)
	return response, func(stream net.Conn) { s.carry(c, stream) }
}

// connectFor connects to the target that another VM asks for. Only targets that this VM knows at that address
// are connected to. It never asks a third VM, so that no tunnel has more than one.
func (s *Service) connectFor(ctx context.Context, r *OpenRequest) (net.Conn, Result) {
	snap := s.deps.Config.Current()
	if snap == nil {
		return nil, ResultUnknown
	}
	t := snap.Target(r.Target)
	switch {
	case t == nil || t.Address != r.Address:
		return nil, ResultUnknown
	case s.health.Partitioned():
		return nil, ResultPartitioned
	case s.originsInUse.total() >= s.maxTunnels():
		return nil, ResultBusy
	}
	timeout := carryTimeout
	if t.Region != s.deps.Region {
		timeout = remoteCarryTimeout
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := s.deps.Clock.Now()
	conn, err := resetconn.Dial(dialCtx, s.deps.Dial, t.Address)
	s.connectTime.Update(s.deps.Clock.Now().Sub(started).Seconds())
	switch {
	case err == nil:
		s.apply(s.health.Connected(t.Name, s.deps.Clock.Now()), t.Name, "")
		return conn, ResultOpened
	case s.health.Detoured(t.Name):
		return nil, ResultPartitioned // this VM's way to the target is known to be lost
	case errors.Is(err, syscall.ECONNREFUSED) && s.reachesOthers(ctx, t):
		return nil, ResultRefused
	}
	return nil, ResultUnreachable
}

func (s *Service) addTunnel(c *carriedTunnel) {
	s.originsInUse.add(c.origin.VM)
	s.carried.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tunnels[c] = struct{}{}
}

func (s *Service) removeTunnel(c *carriedTunnel) {
	s.mu.Lock()
	delete(s.tunnels, c)
	s.mu.Unlock()
	s.originsInUse.remove(c.origin.VM)
}

// closeTunnels closes the carried connections for which match returns true.
func (s *Service) closeTunnels(match func(*carriedTunnel) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.tunnels {
		if match(c) {
			c.close()
		}
	}
}

// closeOrphans closes the connections of processes that have ended.
func (s *Service) closeOrphans() {
	if s.originsInUse.total() == 0 {
		return
	}
	view := s.deps.Members.View()
	s.closeTunnels(func(c *carriedTunnel) bool { return c.origin.hasEnded(view) })
}

// carry copies bytes between the other VM and the target until either ends.
func (s *Service) carry(c *carriedTunnel, stream net.Conn) {
	started := s.deps.Clock.Now()
	s.mu.Lock()
	c.stream = stream
	s.mu.Unlock()
	up := make(chan int64, 1)
	go func() {
		n := s.copyRequests(c, stream)
		_ = c.conn.Close() // what the other VM has closed must end at the target too
		up <- n
	}()
	received, err := s.copyResponses(stream, c.conn)
	if err == nil {
		c.ended.Store(true)
		s.limitLinger(stream)
	} else {
		_ = stream.Close()
	}
	sent := <-up
	reset(c.conn)
	_ = stream.Close()
	s.removeTunnel(c)
	s.carriedBytes.Add(int(sent + received))
	s.deps.Logger.Log(eventCarried, telemetry.Peer(c.origin.VM), telemetry.Value("tunnel", c.id), telemetry.Value("target", c.target),
		telemetry.Value("sent_bytes", sent), telemetry.Value("received_bytes", received),
		telemetry.Value("open_ms", s.deps.Clock.Now().Sub(started).Milliseconds()))
}

// limitLinger makes a read from the other VM fail if that sends nothing for lingerTimeout.
func (s *Service) limitLinger(stream net.Conn) {
	_ = stream.SetReadDeadline(s.deps.Clock.Now().Add(lingerTimeout))
}

// copyRequests copies to the target what the other VM sends, and returns the number of bytes. A target that has ended
// its stream may still read the rest of a request.
func (s *Service) copyRequests(c *carriedTunnel, stream net.Conn) (total int64) {
	buf := s.buffers.Get().(*[chunkHeadBytes + maxChunkBytes]byte)
	defer s.buffers.Put(buf)
	for {
		n, err := stream.Read(buf[:])
		if n > 0 {
			if _, werr := c.conn.Write(buf[:n]); werr != nil {
				return total
			}
			total += int64(n)
		}
		if err != nil {
			return total
		}
		if c.ended.Load() {
			s.limitLinger(stream)
		}
	}
}

// copyResponses copies to the other VM in chunks what the target sends. It returns nil after the target's clean
// end, which it passes on.
func (s *Service) copyResponses(to io.Writer, from io.Reader) (total int64, err error) {
	buf := s.buffers.Get().(*[chunkHeadBytes + maxChunkBytes]byte)
	defer s.buffers.Put(buf)
	for {
		n, err := from.Read(buf[chunkHeadBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buf[:], uint16(n))
			if _, werr := to.Write(buf[:chunkHeadBytes+n]); werr != nil {
				return total, werr
			}
			total += int64(n)
		}
		if errors.Is(err, io.EOF) {
			_, err = to.Write(make([]byte, chunkHeadBytes))
			return total, err
		}
		if err != nil {
			return total, err
		}
	}
}

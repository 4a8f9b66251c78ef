package tunnel

import (
	"io"
	"net"
	"time"

	"masticturn/internal/peer"
	"masticturn/internal/telemetry"
)

// addWaiting reports whether one more ready tunnel of another VM is accepted.
func (s *Service) addWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) < s.maxTunnels() && s.ctx.Err() == nil
}

// closeWaiting closes the ready tunnels of other VMs.
func (s *Service) closeWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for stream := range s.waiting {
		_ = stream.Close()
	}
}

// slowConnectTime is the time from which on a connect for another VM is logged.
const slowConnectTime = 50 * time.Millisecond

// connectReady connects to the target of a ready tunnel.
func (s *Service) connectReady(origin peer.StreamPeer, r *OpenRequest) (net.Conn, Result) {
	started := s.deps.Clock.Now()
	conn, result := s.connectFor(s.lifetime(), r)
	if took := s.deps.Clock.Now().Sub(started); took >= slowConnectTime {
		s.deps.Logger.Log(eventSlowConnect, telemetry.Peer(origin.VM), telemetry.Value("tunnel", r.ID), telemetry.Value("target", r.Target),
			telemetry.Value("connect_ms", took.Milliseconds()), telemetry.Value("result", result.String()))
	}
	return conn, result
}

// serveReady waits for the target of a ready tunnel, connects to it and carries the connection.
func (s *Service) serveReady(origin peer.StreamPeer, stream net.Conn) {
	s.mu.Lock()
	s.waiting[stream] = struct{}{}
	s.mu.Unlock()
	var request OpenRequest
	_ = stream.SetReadDeadline(s.deps.Clock.Now().Add(readyIdleTimeout))
	err := readMessage(stream, &request) // fails when the origin has closed the tunnel unused
	s.mu.Lock()
	delete(s.waiting, stream)
	s.mu.Unlock()
	if err != nil {
		_ = stream.Close()
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	response := OpenResponse{Result: ResultNotAccepting, Notice: s.notice(request.Target)}
	var conn net.Conn
	if response.Notice.isZero() {
		conn, response.Result = s.connectReady(origin, &request)
	}
	err = writeMessage(stream, &response)
	if response.Result != ResultOpened {
		// Closing with unread bytes would reset the stream before the origin has read the response.
		_ = stream.SetReadDeadline(s.deps.Clock.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, stream)
		_ = stream.Close()
		return
	}
	c := &carriedTunnel{origin: newProcess(origin, s.deps.Members.View()), id: request.ID, target: request.Target, conn: conn}
	s.addTunnel(c)
	if err != nil {
		_ = stream.Close()
	}
	s.carry(c, stream)
}

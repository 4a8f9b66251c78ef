package tunnel

import (
	"io"
	"net"
	"time"
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

// serveReady waits for the target of a ready tunnel, connects to it and carries the connection.
func (s *Service) serveReady(origin string, stream net.Conn) {
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
		conn, response.Result = s.connectFor(s.lifetime(), &request)
	}
	err = writeMessage(stream, &response)
	if response.Result != ResultOpened {
		// Closing with unread bytes would reset the stream before the origin has read the response.
		_ = stream.SetReadDeadline(s.deps.Clock.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, stream)
		_ = stream.Close()
		return
	}
	c := &carriedTunnel{origin: origin, id: request.ID, target: request.Target, conn: conn}
	s.addTunnel(c)
	if err != nil {
		_ = stream.Close()
	}
	s.carry(c, stream)
}

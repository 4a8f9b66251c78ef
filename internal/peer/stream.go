package peer

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
)

// StreamPeer is the process at the other end of a stream.
type StreamPeer struct {
	VM          string
	Incarnation uint64 // at the start of the process, as in membership.Member.Process
}

// Stream is a byte stream to another VM.
type Stream struct {
	net.Conn
	Peer    StreamPeer
	session *session // whose reader may hold bytes that followed the handshake
}

// Read implements net.Conn.
func (s *Stream) Read(p []byte) (int, error) {
	if s.session.reader.Buffered() > 0 {
		return s.session.reader.Read(p)
	}
	return s.Conn.Read(p)
}

// StreamHandler accepts a stream that another VM opens. It returns the response to the request and a
// function that uses and closes the connection; without that function, the connection is closed soon after the
// response. The context ends with the timeout of opening a connection.
type StreamHandler func(ctx context.Context, from StreamPeer, request []byte) (response any, serve func(net.Conn))

// Streams opens byte streams to other VMs. Each stream is a connection of its own, with the handshake of
// message connections. Builds without streams take its first message for that of a message connection, so
// that streams must be opened only to VMs that are known to accept them.
type Streams interface {
	// HandleStreams sets the handler of streams. It must be called before the network is started.
	HandleStreams(h StreamHandler)
	// OpenStream opens a stream to a VM and decodes the response. The caller closes the connection.
	OpenStream(ctx context.Context, to string, request, response any) (*Stream, error)
}

var _ Streams = (*TCP)(nil)

// HandleStreams implements Streams.
func (t *TCP) HandleStreams(h StreamHandler) { t.streams = h }

// OpenStream implements Streams.
func (t *TCP) OpenStream(ctx context.Context, to string, request, response any) (*Stream, error) {
	conn, err := t.openStream(ctx, to, request, response)
	if err != nil {
		return nil, &Error{Peer: to, Step: StepConnect, Err: err}
	}
	return conn, nil
}

func (t *TCP) openStream(ctx context.Context, to string, request, response any) (*Stream, error) {
	t.mu.Lock()
	address := t.addresses[to]
	t.mu.Unlock()
	if address == "" {
		return nil, ErrNoRoute
	}
	payload, err := Encode(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.opts.DialTimeout)
	defer cancel()
	raw, err := t.opts.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	s, err := t.handshake(ctx, raw, false, to, payload)
	if err == nil {
		err = Decode(s.remote.StreamResponse, response)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return s.stream(), nil
}

// acceptStream passes the stream that a hello opens to the handler and returns the encoded response.
func (t *TCP) acceptStream(ctx context.Context, s *session) ([]byte, error) {
	if t.streams == nil {
		return nil, trace.BadParameter("this VM accepts no streams")
	}
	response, serve := t.streams(ctx, s.peer(), s.remote.StreamRequest)
	s.serveStream = serve
	payload, err := Encode(response)
	if err != nil {
		s.abandonStream()
	}
	return payload, err
}

// serveStream lets the handler use an accepted stream. If the handler has rejected it, the dialing end has some
// time to read the response and close the connection.
func (t *TCP) serveStream(s *session) {
	if s.serveStream == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(t.opts.DialTimeout))
		_, _ = s.conn.Read(make([]byte, 1))
		_ = s.conn.Close()
		return
	}
	s.serveStream(s.stream())
}

// abandonStream closes the connection of an accepted stream and lets its handler release what it holds.
func (s *session) abandonStream() {
	if s.serveStream != nil {
		_ = s.conn.Close()
		s.serveStream(s.conn)
		s.serveStream = nil
	}
}

// peer returns the process at the other end.
func (s *session) peer() StreamPeer {
	return StreamPeer{VM: s.remote.VM, Incarnation: s.remote.Incarnation}
}

// stream returns the session's connection for use as a byte stream.
func (s *session) stream() *Stream { return &Stream{Conn: s.conn, Peer: s.peer(), session: s} }

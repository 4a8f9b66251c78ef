package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
)

// protocolVersion is incremented by incompatible changes of the protocol.
const protocolVersion = 1

// maxHelloBytes is the maximum size of the first frame, which is read before the
// peer is verified.
const maxHelloBytes = 1 << 10

// hello is the first message sent by each end.
type hello struct {
	Version     uint32
	VM          string
	Incarnation uint64
	Expected    string // VM that the dialing end wants to reach; empty if it knows only an address
	// StreamRequest, if not empty, opens a stream; StreamResponse is the accepting end's response.
	StreamRequest  []byte
	StreamResponse []byte
}

// readBufferBytes is the size of the read buffer of each connection.
const readBufferBytes = 16 << 10

// session is a connection that has completed the handshake.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
	remote hello
	// serveStream uses the connection of an accepted stream; nil: none was accepted.
	serveStream func(net.Conn)
}

// handshake runs the TLS handshake, if keys are set, and exchanges hello messages.
// expected is empty at the accepting end, and at the dialing end if only the
// address of the VM is known. A streamRequest opens a stream.
func (t *TCP) handshake(ctx context.Context, raw net.Conn, server bool, expected string, streamRequest []byte) (*session, error) {
	deadline, _ := ctx.Deadline()
	if err := raw.SetDeadline(deadline); err != nil {
		return nil, trace.Wrap(err)
	}
	conn := raw
	if t.keys != nil {
		tlsConn, err := t.keys.secure(ctx, raw, server)
		if err != nil {
			return nil, newRefusal(err)
		}
		conn = tlsConn
	}
	s := &session{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	if err := t.exchangeHellos(ctx, s, server, expected, streamRequest); err != nil {
		s.abandonStream()
		return nil, err
	}
	return s, trace.Wrap(conn.SetDeadline(time.Time{}))
}

// exchangeHellos exchanges and verifies hello messages. The dialing end sends
// first, so that the accepting end reveals nothing to an unverified peer.
func (t *TCP) exchangeHellos(ctx context.Context, s *session, server bool, expected string, streamRequest []byte) error {
	if !server {
		if err := t.writeHello(s.conn, &hello{Expected: expected, StreamRequest: streamRequest}); err != nil {
			return err
		}
	}
	if err := s.readHello(); err != nil {
		return err
	}
	if err := t.checkHello(s, server, expected); err != nil {
		return newRefusal(err)
	}
	if !server {
		return nil
	}
	reply := &hello{}
	if len(s.remote.StreamRequest) > 0 {
		response, err := t.acceptStream(ctx, s)
		if err != nil {
			return newRefusal(err)
		}
		reply.StreamResponse = response
	}
	return t.writeHello(s.conn, reply)
}

// writeHello sends a hello, in which it fills in this VM.
func (t *TCP) writeHello(conn net.Conn, h *hello) error {
	h.Version, h.VM, h.Incarnation = protocolVersion, t.opts.VM, t.opts.Incarnation
	payload, err := Encode(h)
	if err != nil {
		return err
	}
	_, err = conn.Write(appendFrame(nil, frameHello, 0, 0, 0, payload))
	return trace.Wrap(err, "write hello")
}

func (s *session) readHello() error {
	f, err := readFrame(s.reader, maxHelloBytes, nil)
	if err != nil {
		return trace.Wrap(err, "read hello")
	}
	defer f.payload.release()
	if f.typ != frameHello {
		return trace.Wrap(ErrMalformed, "first frame has type %d", f.typ)
	}
	return Decode(f.bytes(), &s.remote)
}

func (t *TCP) checkHello(s *session, server bool, expected string) error {
	h := s.remote
	if h.Version != protocolVersion {
		return trace.BadParameter("protocol version %d is not supported, want %d", h.Version, protocolVersion)
	}
	if h.VM == "" {
		return trace.BadParameter("hello without VM name")
	}
	if server && h.Expected != "" && h.Expected != t.opts.VM {
		return trace.BadParameter("VM %s expects %s, but this is %s", h.VM, h.Expected, t.opts.VM)
	}
	if expected != "" && h.VM != expected {
		return trace.BadParameter("connected to VM %s instead of %s", h.VM, expected)
	}
	return verifyPeerName(s.conn, h.VM)
}

// newRefusal wraps err so that it also matches ErrRefused.
func newRefusal(err error) error { return &refusal{err} }

// refusal is an error that matches both ErrRefused and its cause.
type refusal struct{ err error }

func (r *refusal) Error() string   { return ErrRefused.Error() + ": " + r.err.Error() }
func (r *refusal) Unwrap() []error { return []error{ErrRefused, r.err} }

package peer

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
)

// protocolVersion is raised by changes that older daemons cannot read.
const protocolVersion = 1

// maxHelloBytes bounds the frame of a peer that is not known yet.
const maxHelloBytes = 1 << 10

// hello is the first message of both ends.
type hello struct {
	Version     uint32
	VM          string
	Incarnation uint64
	Expected    string // VM that the dialer means to reach; empty if it does not know
}

// readBufferBytes is the size of the read buffer of a connection.
const readBufferBytes = 16 << 10

// session is a connection after the exchange of hellos.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
	remote hello
}

// handshake exchanges hellos, and runs TLS before when keys are set. expected
// is empty at the accepting end, and where the VM behind the address is not
// known.
func (t *TCP) handshake(ctx context.Context, raw net.Conn, server bool, expected string) (*session, error) {
	deadline, _ := ctx.Deadline()
	if err := raw.SetDeadline(deadline); err != nil {
		return nil, trace.Wrap(err)
	}
	conn := raw
	if t.keys != nil {
		secured, err := t.keys.secure(ctx, raw, server)
		if err != nil {
			return nil, refused(err)
		}
		conn = secured
	}
	s := &session{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
	if err := t.exchange(s, server, expected); err != nil {
		return nil, err
	}
	return s, trace.Wrap(conn.SetDeadline(time.Time{}))
}

// exchange lets the dialer speak first, so that the accepting end shows
// nothing to a stranger.
func (t *TCP) exchange(s *session, server bool, expected string) error {
	if !server {
		if err := t.writeHello(s.conn, expected); err != nil {
			return err
		}
	}
	if err := s.readHello(); err != nil {
		return err
	}
	if err := t.checkHello(s, server, expected); err != nil {
		return refused(err)
	}
	if server {
		return t.writeHello(s.conn, "")
	}
	return nil
}

func (t *TCP) writeHello(conn net.Conn, expected string) error {
	payload, err := Encode(&hello{Version: protocolVersion, VM: t.opts.VM, Incarnation: t.opts.Incarnation, Expected: expected})
	if err != nil {
		return err
	}
	_, err = conn.Write(appendFrame(nil, frameHello, 0, 0, 0, payload))
	return trace.Wrap(err, "write hello")
}

func (s *session) readHello() error {
	f, err := readFrame(s.reader, maxHelloBytes)
	if err != nil {
		return trace.Wrap(err, "read hello")
	}
	defer f.payload.release()
	if f.typ != frameHello {
		return trace.Wrap(ErrMalformed, "first frame is of type %d", f.typ)
	}
	return Decode(f.bytes(), &s.remote)
}

func (t *TCP) checkHello(s *session, server bool, expected string) error {
	h := s.remote
	if h.Version != protocolVersion {
		return trace.BadParameter("protocol version %d, allowed is %d", h.Version, protocolVersion)
	}
	if h.VM == "" {
		return trace.BadParameter("hello names no VM")
	}
	if server && h.Expected != "" && h.Expected != t.opts.VM {
		return trace.BadParameter("VM %s looks for %s, this is %s", h.VM, h.Expected, t.opts.VM)
	}
	if expected != "" && h.VM != expected {
		return trace.BadParameter("VM %s answers in place of %s", h.VM, expected)
	}
	return verifyName(s.conn, h.VM)
}

// refused marks an error as a refusal.
func refused(err error) error { return &refusal{err} }

// refusal is an error that is also ErrRefused.
type refusal struct{ err error }

func (r *refusal) Error() string   { return ErrRefused.Error() + ": " + r.err.Error() }
func (r *refusal) Unwrap() []error { return []error{ErrRefused, r.err} }

package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// What a target sends travels in chunks, each with its length in front of it in two bytes, big-endian. A chunk
// of length 0 is the end of the target's stream. A tunnel that ends without one was broken, so that its end is
// not mistaken for the target's.
const (
	chunkHeadBytes = 2
	maxChunkBytes  = 16 << 10
)

// errBroken is the error of a tunnel that ended without the end of the target's stream.
var errBroken = errors.New("the tunnel broke")

// Conn is a connection to a target that another VM carries.
type Conn struct {
	net.Conn
	carrier  string // VM
	region   string // of the carrier
	id       string
	detoured func() bool // whether connections to the target still go through another VM
	carries  func() bool // whether the carrier is still to be used
	onClose  func()
	once     sync.Once

	ready         *readyTunnel  // nil: the carrier had connected before the first byte was sent
	overdue       chan struct{} // closed when the carrier has not responded in time; nil if ready is nil
	receiveNotice func(*Notice)
	answered      bool // the carrier's response on a ready tunnel was seen

	reader *bufio.Reader
	left   int   // unread bytes of the current chunk
	end    error // io.EOF after the end of the target's stream
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 || c.end != nil {
		return 0, c.end
	}
	if err := c.awaitCarrier(); err != nil {
		return 0, err
	}
	if c.left == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, c.brokenBy(err)
}

// errUndelivered is the error of a connection whose carrier did not connect to the target.
var errUndelivered = errors.New("the carrying VM did not connect to the target")

// awaitCarrier waits until the carrier has connected to the target.
func (c *Conn) awaitCarrier() error {
	if c.ready == nil || c.answered {
		return nil
	}
	<-c.ready.responded
	if c.ready.err != nil {
		return c.brokenBy(io.EOF)
	}
	c.receiveNotice(&c.ready.response.Notice)
	if c.ready.response.Result != ResultOpened {
		return errUndelivered
	}
	c.answered = true
	return nil
}

// Relayed reports whether bytes were accepted before the carrier had connected to the target.
func (c *Conn) Relayed() bool { return c.ready != nil }

// Overdue returns a channel that is closed if the carrier does not respond in time. It may be slow or lost. The
// channel is nil if the carrier had connected before the first byte was sent.
func (c *Conn) Overdue() <-chan struct{} { return c.overdue }

// Undelivered reports whether the carrier has told that it did not connect to the target, so that no byte
// reached it.
func (c *Conn) Undelivered() bool {
	return c.ready != nil && c.ready.settled() && c.ready.err == nil && c.ready.response.Result != ResultOpened
}

// nextChunk reads the head of a chunk; at the end of the target's stream it returns io.EOF.
func (c *Conn) nextChunk() error {
	head, err := c.reader.Peek(chunkHeadBytes)
	if err != nil {
		return c.brokenBy(err)
	}
	c.left = int(binary.BigEndian.Uint16(head))
	_, _ = c.reader.Discard(chunkHeadBytes) // can't fail after Peek
	if c.left == 0 {
		c.end = io.EOF
	}
	return c.end
}

// brokenBy replaces the end of the tunnel by an error. A timeout is passed on: reading can be continued.
func (c *Conn) brokenBy(err error) error {
	if errors.Is(err, io.EOF) {
		return &net.OpError{Op: "read", Net: "tunnel", Addr: c.RemoteAddr(), Err: errors.Join(errBroken, syscall.ECONNRESET)}
	}
	return err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// Usable reports whether a request may be sent on the idle connection.
func (c *Conn) Usable() bool { return c.ready == nil && c.detoured() && c.carries() }

// Carrier implements targetconn.Tunnel.
func (c *Conn) Carrier() (vm, region, id string) { return c.carrier, c.region, c.id }

// direct is a connection to a target that reports its traffic to Health.
type direct struct {
	net.Conn
	target string
	health *Health
	now    func() time.Time
}

// directSocket is a direct connection that is a socket.
type directSocket struct {
	*direct
	syscall.Conn
}

// newDirect wraps a connection. The result is a syscall.Conn if the connection is one.
func newDirect(conn net.Conn, target string, health *Health, now func() time.Time) net.Conn {
	d := &direct{Conn: conn, target: target, health: health, now: now}
	if sc, ok := conn.(syscall.Conn); ok {
		return &directSocket{direct: d, Conn: sc}
	}
	return d
}

// Read implements net.Conn.
func (d *direct) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	if n > 0 {
		d.health.Received(d.now())
	}
	return n, err
}

// Write implements net.Conn.
func (d *direct) Write(p []byte) (int, error) {
	d.health.Sent(d.now())
	return d.Conn.Write(p)
}

// Usable reports whether a request may be sent on the idle connection.
func (d *direct) Usable() bool { return !d.health.Detoured(d.target) }

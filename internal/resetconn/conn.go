// Package resetconn tells the end of a TCP stream from a reset. The kernel reports a reset to one call only: if that
// is a write, the next read returns io.EOF, as if the peer had ended its stream.
package resetconn

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is a TCP connection whose reads fail after a reset that a write has met. Reads and writes may run at the same
// time, several writes may not.
type Conn struct {
	net.Conn
	socket *net.TCPConn

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

var (
	_ net.Conn     = (*Conn)(nil)
	_ syscall.Conn = (*Conn)(nil)
)

// Wrap returns a TCP connection as a Conn, and any other connection as it is.
func Wrap(conn net.Conn) net.Conn {
	if socket, ok := conn.(*net.TCPConn); ok {
		return &Conn{Conn: conn, socket: socket}
	}
	return conn
}

// Dial opens a connection with a dial function and wraps it.
func Dial(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address string) (net.Conn, error) {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return Wrap(conn), nil
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its stream.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if reset := c.resetMetByWrite(); reset != nil {
			return n, reset
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// resetMetByWrite returns the error of a write that has met a reset, or nil. It waits for a write in progress, which
// may have met the reset and not returned yet. EPIPE means that the peer had ended its stream before the reset.
func (c *Conn) resetMetByWrite() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }

// CloseWrite ends the outgoing direction, as net.TCPConn.CloseWrite.
func (c *Conn) CloseWrite() error { return c.socket.CloseWrite() }

// SetLinger sets what Close does with unsent data, as net.TCPConn.SetLinger.
func (c *Conn) SetLinger(seconds int) error { return c.socket.SetLinger(seconds) }

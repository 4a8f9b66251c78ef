package targetconn

import (
	"errors"
	"net"
	"sync"
)

// phase is the state of a connection.
type phase uint8

const (
	phaseIdle     phase = iota // between exchanges, a read is pending
	phaseExchange              // a request may be written and an answer read
	phaseSettling              // the exchange is over, the reader has not come back yet
	phaseSealed                // nothing may be written any more
)

var (
	errUnsolicited = errors.New("target sent bytes that no request asked for")
	errSealed      = errors.New("connection is sealed")
)

// wire is the net.Conn below a ClientConn. It records whether a byte of the exchange was written, refuses
// writes outside an exchange, and drops bytes that arrive before a request is written.
//
// An HTTP/1 client connection reads from its net.Conn only if its buffer is empty. A pending read after
// an exchange thus proves that nothing followed the answer; only then quiet is called.
type wire struct {
	net.Conn
	quiet  func() // the exchange ended and nothing followed the answer
	closed func() // the connection was closed by either side

	mu      sync.Mutex
	phase   phase
	reading bool
	wrote   bool
	broken  bool
	// received counts the bytes that Read has returned.
	received uint64
}

// begin starts an exchange; false if the connection is unusable. Bytes received since the last answer
// make it so, even before the reader is scheduled.
func (w *wire) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken || w.phase != phaseIdle || receivedMore(w.Conn, w.received) {
		return false
	}
	w.phase = phaseExchange
	w.wrote = false
	return true
}

// settle ends an exchange after the clean end of its answer.
func (w *wire) settle() {
	w.mu.Lock()
	if w.phase != phaseExchange {
		w.mu.Unlock()
		return
	}
	w.phase = phaseSettling
	ready := w.reading
	if ready {
		w.phase = phaseIdle
	}
	w.mu.Unlock()
	if ready {
		w.quiet()
	}
}

// seal forbids further writes and reports whether no write of this exchange was begun. After true no
// byte of the request is sent.
func (w *wire) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = phaseSealed
	return !w.wrote
}

// Read implements net.Conn.
func (w *wire) Read(p []byte) (int, error) {
	w.enterRead()
	n, err := w.Conn.Read(p)
	return w.leaveRead(n, err)
}

func (w *wire) enterRead() {
	w.mu.Lock()
	w.reading = true
	settled := w.phase == phaseSettling
	if settled {
		w.phase = phaseIdle
	}
	w.mu.Unlock()
	if settled {
		w.quiet()
	}
}

func (w *wire) leaveRead(n int, err error) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = false
	w.received += uint64(n)
	if err != nil {
		w.broken = true
	}
	if n > 0 && (w.phase != phaseExchange || !w.wrote) {
		w.broken = true
		return 0, errUnsolicited
	}
	return n, err
}

// Write implements net.Conn.
func (w *wire) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.phase != phaseExchange {
		w.mu.Unlock()
		return 0, errSealed
	}
	w.wrote = true
	w.mu.Unlock()
	return w.Conn.Write(p)
}

// Close implements net.Conn.
func (w *wire) Close() error {
	err := w.Conn.Close()
	w.closed()
	return err
}

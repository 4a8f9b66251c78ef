package targetconn

import (
	"errors"
	"io"
	"net"
	"sync"
)

// phase is the state of a wire.
type phase uint8

const (
	phaseIdle     phase = iota // between exchanges, a read is pending
	phaseExchange              // a request may be written and a response read
	phaseEnding                // the exchange is over, but no read is pending yet
	phaseSealed                // no further writes are allowed
)

var (
	errUnsolicited = errors.New("target sent unsolicited data")
	errNoExchange  = errors.New("write outside of an exchange")
)

// wire is the net.Conn below an http.ClientConn. It records whether any byte of an exchange was written,
// rejects writes outside of exchanges, and discards data that arrives before a request is written.
//
// An HTTP/1 client connection reads from its net.Conn only if its buffer is empty. A pending read after
// an exchange thus proves that no data followed the response; only then is onIdle called.
type wire struct {
	net.Conn
	onIdle  func() // called when an exchange has ended and no data followed the response
	onClose func() // called by Close, whichever side ended the connection

	closed    chan struct{} // closed by Close
	closeOnce sync.Once

	mu      sync.Mutex
	phase   phase
	reading bool
	wrote   bool
	broken  bool
	request *requestWrite // of the present exchange
	framing framingCheck  // of its response
	// received is the number of bytes read from the connection.
	received uint64
}

// beginExchange begins an exchange. It returns false if the connection is unusable, also if it has received
// data since the last response that its reader has not been scheduled to read yet.
func (w *wire) beginExchange() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken || w.phase != phaseIdle || hasUnread(w.Conn, w.received) {
		return false
	}
	w.phase = phaseExchange
	w.wrote = false
	w.request = newRequestWrite()
	w.framing = framingCheck{}
	return true
}

// endExchange ends an exchange after a complete response.
func (w *wire) endExchange() {
	w.mu.Lock()
	if w.phase != phaseExchange {
		w.mu.Unlock()
		return
	}
	w.phase = phaseEnding
	ready := w.reading
	if ready {
		w.phase = phaseIdle
	}
	w.mu.Unlock()
	if ready {
		w.onIdle()
	}
}

// seal forbids further writes and reports whether no write of this exchange was begun. If so, no byte of
// the request will be sent.
func (w *wire) seal() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.phase = phaseSealed
	return !w.wrote
}

// Read implements net.Conn.
func (w *wire) Read(p []byte) (int, error) {
	w.beginRead()
	n, err := w.Conn.Read(p)
	if err == io.EOF {
		err = w.awaitRequest()
	}
	return w.endRead(p[:n], err)
}

// beginRead marks a read as pending, which completes the end of an exchange.
func (w *wire) beginRead() {
	w.mu.Lock()
	w.reading = true
	ended := w.phase == phaseEnding
	if ended {
		w.phase = phaseIdle
	}
	w.mu.Unlock()
	if ended {
		w.onIdle()
	}
}

// endRead checks the result of a read: data that arrives before a request is written, or in a faulty framing, breaks
// the connection.
func (w *wire) endRead(p []byte, err error) (int, error) {
	n := len(p)
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
	if faulty := w.framing.add(p); faulty != nil {
		w.broken = true
		return 0, faulty
	}
	return n, err
}

// Write implements net.Conn.
func (w *wire) Write(p []byte) (int, error) {
	w.mu.Lock()
	if w.phase != phaseExchange {
		w.mu.Unlock()
		return 0, errNoExchange
	}
	w.wrote = true
	w.mu.Unlock()
	return w.Conn.Write(p)
}

// Close implements net.Conn.
func (w *wire) Close() error {
	err := w.Conn.Close()
	w.closeOnce.Do(func() { close(w.closed) })
	w.onClose()
	return err
}

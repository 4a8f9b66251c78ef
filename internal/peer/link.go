package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"masticturn/internal/telemetry"
)

// link holds the address of a VM, the connections to it, and the calls and frames
// that wait for them. Each link has its own lock, so that links do not contend
// with each other.
type link struct {
	net  *TCP
	vm   string
	refs atomic.Int32 // reference count; incremented only under the lock of the network

	mu      sync.Mutex
	address string
	current *conn // connection used for new messages; may be nil
	conns   map[*conn]struct{}
	nextID  uint32
	calls   map[uint32]*call

	dialing       bool
	backlog       []byte // frames queued until the dial completes
	backlogFrames uint32
	backoff       *backoff.ExponentialBackOff
	retryAt       time.Time // earliest time of the next dial
	dialErr       error     // error of the latest failed dial
}

// call is a call that awaits its response.
type call struct {
	done chan result // capacity 1
	conn *conn       // nil while the frame is in the backlog
}

// result is the outcome of a call.
type result struct {
	payload *buffer
	err     error
}

func newCall() any { return &call{done: make(chan result, 1)} }

func newLink(t *TCP, vm, address string) *link {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = t.opts.MinBackoff
	b.MaxInterval = t.opts.MaxBackoff
	return &link{net: t, vm: vm, address: address, conns: make(map[*conn]struct{}), calls: make(map[uint32]*call), backoff: b}
}

func (l *link) wrapError(step Step, err error) error {
	return &Error{Peer: l.vm, Step: step, Err: err}
}

// setAddress changes the address. A connection dialed to the previous address is
// no longer used for new messages.
func (l *link) setAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address == address {
		return
	}
	l.address = address
	l.retryAt = time.Time{}
	if l.current != nil && l.current.dialed {
		l.current = nil
	}
}

// send queues a one-way message.
func (l *link) send(kind Kind, payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := l.enqueue(frameSend, kind, 0, payload)
	return err
}

// enqueue queues a frame on the current connection. Without one it adds the frame
// to the backlog, dials if necessary, and returns a nil connection. It fails if a
// dial is needed but not possible now. The caller must hold l.mu.
func (l *link) enqueue(typ frameType, kind Kind, id uint32, payload []byte) (*conn, error) {
	if l.current != nil {
		return l.current, l.current.enqueue(typ, kind, id, payload)
	}
	if err := l.ensureDial(); err != nil {
		return nil, err
	}
	if len(l.backlog)+len(payload)+frameOverheadBytes > l.net.opts.MaxQueueBytes {
		l.net.counters.dropped.Inc()
		return nil, l.wrapError(StepQueue, ErrQueueFull)
	}
	l.backlog = appendFrame(l.backlog, typ, kind, id, 0, payload)
	l.backlogFrames++
	l.net.counters.bytesOut[kind].Add(frameOverheadBytes + len(payload))
	return nil, nil
}

func (l *link) ensureDial() error {
	switch {
	case l.dialing:
		return nil
	case l.address == "":
		return l.wrapError(StepRoute, ErrNoRoute)
	case l.net.ctx.Err() != nil:
		return l.wrapError(StepConnect, ErrClosed)
	case time.Now().Before(l.retryAt):
		return l.wrapError(StepConnect, l.dialErr)
	}
	l.dialing = true
	address := l.address
	l.net.spawn(func() { l.dial(address) })
	return nil
}

// call sends a call and waits for its result or the end of ctx. If the response is being received when the deadline
// of ctx passes, call waits for the rest of it.
func (l *link) call(ctx context.Context, kind Kind, payload []byte) result {
	c := l.net.calls.Get().(*call)
	id, err := l.startCall(c, kind, payload)
	if err != nil {
		l.net.calls.Put(c)
		return result{err: err}
	}
	select {
	case res := <-c.done:
		l.net.calls.Put(c)
		return res
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		l.awaitArriving(c, id)
	}
	if l.abandon(id, kind) {
		l.net.calls.Put(c)
		return result{err: l.wrapError(StepAnswer, ctx.Err())}
	}
	// The call has completed meanwhile.
	res := <-c.done
	l.net.calls.Put(c)
	return res
}

// Limits of waiting for the rest of a response after the deadline of its call.
const (
	maxArrival           = 3 * time.Second
	arrivalCheckInterval = 50 * time.Millisecond
)

// awaitArriving waits while a response is being received. Without it, the caller would have to request all of the
// response again, over a link that is busy with it.
func (l *link) awaitArriving(c *call, id uint32) {
	for end := time.Now().Add(maxArrival); time.Now().Before(end) && l.isArriving(c, id); {
		time.Sleep(arrivalCheckInterval)
	}
}

// isArriving reports whether the response to a call is being received and makes progress.
func (l *link) isArriving(c *call, id uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.conn != nil && l.calls[id] == c && c.conn.receipt.isResponse(id, time.Now().Add(-l.net.opts.DetachAfter))
}

func (l *link) startCall(c *call, kind Kind, payload []byte) (id uint32, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	id = l.nextID
	c.conn, err = l.enqueue(frameCall, kind, id, payload)
	if err != nil {
		return 0, err
	}
	l.calls[id] = c
	if c.conn != nil {
		c.conn.pendingCalls++
	}
	return id, nil
}

// abandon removes a call whose context has ended and sends a cancel frame to the
// peer. It reports false if the call has already completed.
func (l *link) abandon(id uint32, kind Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.removeCall(id)
	if !ok {
		return false
	}
	if c.conn != nil {
		if c.conn.receipt.isResponse(id, time.Time{}) {
			l.net.counters.abandonedReceiving.Inc()
		}
		_ = c.conn.enqueue(frameCancel, kind, id, nil)
	}
	return true
}

// removeCall removes a waiting call. The caller must hold l.mu.
func (l *link) removeCall(id uint32) (*call, bool) {
	c, ok := l.calls[id]
	if !ok {
		return nil, false
	}
	delete(l.calls, id)
	if c.conn != nil {
		c.conn.pendingCalls--
	}
	return c, true
}

// complete delivers the result of a call. It reports false if the call is no
// longer waiting.
func (l *link) complete(id uint32, res result) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.removeCall(id)
	if ok {
		c.done <- res
	}
	return ok
}

// failCalls fails the waiting calls that were sent on a connection, or those in
// the backlog if it is nil. The caller must hold l.mu.
func (l *link) failCalls(owner *conn, err error) {
	for id, c := range l.calls {
		if c.conn == owner {
			_, _ = l.removeCall(id)
			c.done <- result{err: err}
		}
	}
}

// dial opens a connection and serves it until it is closed.
func (l *link) dial(address string) {
	c, err := l.connect(address)
	if err != nil {
		l.dialFailed(err)
		return
	}
	l.attach(c)
	c.run()
}

func (l *link) connect(address string) (*conn, error) {
	t := l.net
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.DialTimeout)
	defer cancel()
	t.counters.dials.Inc()
	raw, err := t.opts.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(t.ctx, func() { _ = raw.Close() })
	defer stop()
	expected := l.vm
	if expected == address {
		expected = ""
	}
	s, err := t.handshake(ctx, raw, false, expected, nil)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return newConn(l, s, true), nil
}

func (l *link) dialFailed(err error) {
	if errors.Is(err, ErrRefused) {
		l.net.reportHandshakeError(l.vm, err)
	} else {
		l.net.opts.Logger.Log(eventDialFailed, telemetry.Peer(l.vm), telemetry.Step(string(StepConnect)), telemetry.Err(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	l.dialErr = err
	l.retryAt = time.Now().Add(l.backoff.NextBackOff())
	if l.current != nil {
		l.moveBacklog(l.current)
		return
	}
	l.backlog, l.backlogFrames = nil, 0
	l.failCalls(nil, l.wrapError(StepConnect, err))
}

// moveBacklog moves the frames and calls of the backlog to a connection. The
// caller must hold l.mu.
func (l *link) moveBacklog(c *conn) {
	c.appendBacklog(l.backlog, l.backlogFrames)
	l.backlog, l.backlogFrames = nil, 0
	for _, call := range l.calls {
		if call.conn == nil {
			call.conn = c
			c.pendingCalls++
		}
	}
}

// attach adds an established connection. If it was dialed by this end, attach
// moves the backlog to it.
func (l *link) attach(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	if l.prefers(c) {
		l.current = c
	}
	if !c.dialed {
		return
	}
	l.dialing = false
	l.retryAt = time.Time{}
	l.backoff.Reset()
	l.moveBacklog(c)
}

// prefers reports whether a new connection replaces the current one. Usually it
// does, because the peer would not have dialed if it had a working connection. If
// both ends dialed at about the same time, both keep the connection dialed by the
// VM with the lexically smaller name.
func (l *link) prefers(c *conn) bool {
	current := l.current
	if current == nil || current.dialed == c.dialed || c.since.Sub(current.since) > 2*l.net.opts.DialTimeout {
		return true
	}
	return c.dialed == (l.net.opts.VM < c.remote)
}

// detach removes a closed connection and fails its calls.
func (l *link) detach(c *conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if l.current == c {
		l.current = nil
	}
	l.failCalls(c, l.wrapError(StepAnswer, err))
}

func (l *link) closeAll(err error) {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.close(err)
	}
}

// hasUnwritten reports whether frames have not been written yet.
func (l *link) hasUnwritten() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if len(c.out) > 0 || c.writingBytes > 0 {
			return true
		}
	}
	return len(l.backlog) > 0 && l.dialing
}

// isUnused reports whether the link can be removed: it has no references,
// connections, waiting calls or dial in progress, and MaxBackoff has passed since
// retryAt, so that the backoff state survives between dials. The caller must hold
// l.mu.
func (l *link) isUnused(now time.Time) bool {
	inUse := l.refs.Load() > 0 || len(l.conns) > 0 || l.dialing || len(l.calls) > 0
	return !inUse && now.Sub(l.retryAt) > l.net.opts.MaxBackoff
}

// sweep checks all connections and closes those that fail the check. It reports
// whether the link can be removed and whether any connection is silent.
func (l *link) sweep(now time.Time, paused time.Duration) (unused, silent bool) {
	l.mu.Lock()
	var ended []*conn
	var causes []error
	for c := range l.conns {
		if err := c.check(now, paused); err != nil {
			ended = append(ended, c)
			causes = append(causes, err)
		}
		silent = silent || c.isSilent(now)
	}
	unused = l.isUnused(now)
	l.mu.Unlock()
	for i, c := range ended {
		c.close(causes[i])
	}
	return unused, silent
}

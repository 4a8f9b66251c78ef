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

// link is the way to one VM: its address, its connections and what waits for
// them. A lock of its own keeps links apart from each other.
type link struct {
	net   *TCP
	vm    string
	users atomic.Int32 // who holds the link; raised under the network's lock only

	mu      sync.Mutex
	address string
	current *conn // carries new messages; nil when none does
	conns   map[*conn]struct{}
	nextID  uint32
	calls   map[uint32]*call

	dialing       bool
	backlog       []byte // frames that wait for the dial
	backlogFrames uint32
	backoff       *backoff.ExponentialBackOff
	retryAt       time.Time // no dial before
	dialErr       error     // of the last dial
}

// call is one call that waits for its answer.
type call struct {
	done chan result // holds one
	conn *conn       // nil while the call is in the backlog
}

// result is the end of a call.
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

func (l *link) fail(step Step, err error) error {
	return &Error{Peer: l.vm, Step: step, Err: err}
}

// setAddress changes the address. New messages leave a connection that was
// dialed to another one.
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

// enqueue puts a frame on the current connection, or into the backlog of a
// dial, which it starts if it may. The lock is held. The connection returned
// is nil for the backlog.
func (l *link) enqueue(typ frameType, kind Kind, id uint32, payload []byte) (*conn, error) {
	if l.current != nil {
		return l.current, l.current.enqueue(typ, kind, id, payload)
	}
	if err := l.ensureDial(); err != nil {
		return nil, err
	}
	if len(l.backlog)+len(payload)+frameBytes > l.net.opts.MaxQueueBytes {
		l.net.meters.dropped.Inc()
		return nil, l.fail(StepQueue, ErrQueueFull)
	}
	l.backlog = appendFrame(l.backlog, typ, kind, id, 0, payload)
	l.backlogFrames++
	l.net.meters.out[kind].Add(frameBytes + len(payload))
	return nil, nil
}

func (l *link) ensureDial() error {
	switch {
	case l.dialing:
		return nil
	case l.address == "":
		return l.fail(StepRoute, ErrNoRoute)
	case l.net.ctx.Err() != nil:
		return l.fail(StepConnect, ErrClosed)
	case time.Now().Before(l.retryAt):
		return l.fail(StepConnect, l.dialErr)
	}
	l.dialing = true
	address := l.address
	l.net.spawn(func() { l.dial(address) })
	return nil
}

// call sends a call and waits for its end.
func (l *link) call(ctx context.Context, kind Kind, payload []byte) result {
	c := l.net.calls.Get().(*call)
	id, err := l.begin(c, kind, payload)
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
	if l.abandon(id, kind) {
		l.net.calls.Put(c)
	}
	return result{err: l.fail(StepAnswer, ctx.Err())}
}

func (l *link) begin(c *call, kind Kind, payload []byte) (id uint32, err error) {
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
		c.conn.pending++
	}
	return id, nil
}

// abandon forgets a call whose caller left and tells the peer. It reports
// false when the call's end came in between.
func (l *link) abandon(id uint32, kind Kind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.take(id)
	if !ok {
		return false
	}
	if c.conn != nil {
		_ = c.conn.enqueue(frameCancel, kind, id, nil)
	}
	return true
}

// take removes a call that waits. The lock is held.
func (l *link) take(id uint32) (*call, bool) {
	c, ok := l.calls[id]
	if !ok {
		return nil, false
	}
	delete(l.calls, id)
	if c.conn != nil {
		c.conn.pending--
	}
	return c, true
}

// complete ends a call. It reports false when nobody waits for it.
func (l *link) complete(id uint32, res result) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.take(id)
	if ok {
		c.done <- res
	}
	return ok
}

// failCalls ends the calls that were given to a connection, or those in the
// backlog when it is nil. The lock is held.
func (l *link) failCalls(of *conn, err error) {
	for id, c := range l.calls {
		if c.conn == of {
			_, _ = l.take(id)
			c.done <- result{err: err}
		}
	}
}

// dial opens a connection and runs it to its end.
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
	t.meters.dials.Inc()
	raw, err := t.opts.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	unhook := context.AfterFunc(t.ctx, func() { _ = raw.Close() })
	defer unhook()
	expected := l.vm
	if expected == address {
		expected = ""
	}
	s, err := t.handshake(ctx, raw, false, expected)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return newConn(l, s, true), nil
}

func (l *link) dialFailed(err error) {
	if errors.Is(err, ErrRefused) {
		l.net.reportHandshake(l.vm, err)
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
	l.failCalls(nil, l.fail(StepConnect, err))
}

// moveBacklog gives what waited for a dial to a connection. The lock is held.
func (l *link) moveBacklog(c *conn) {
	c.adopt(l.backlog, l.backlogFrames)
	l.backlog, l.backlogFrames = nil, 0
	for _, call := range l.calls {
		if call.conn == nil {
			call.conn = c
			c.pending++
		}
	}
}

// attach adds a connection that stands, and moves the backlog to it if it was
// dialed here.
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

// prefers reports whether a new connection takes the place of the current one.
// It does, since the peer would not have dialed if it had one that works,
// unless both ends dialed at once: then both keep the one whose dialer has the
// smaller name.
func (l *link) prefers(c *conn) bool {
	cur := l.current
	if cur == nil || cur.dialed == c.dialed || c.since.Sub(cur.since) > 2*l.net.opts.DialTimeout {
		return true
	}
	return c.dialed == (l.net.opts.VM < c.remote)
}

// remove takes a closed connection away and ends its calls.
func (l *link) remove(c *conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if l.current == c {
		l.current = nil
	}
	l.failCalls(c, l.fail(StepAnswer, err))
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

// unwritten reports whether frames wait to be written.
func (l *link) unwritten() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if len(c.out) > 0 || c.writing {
			return true
		}
	}
	return len(l.backlog) > 0 && l.dialing
}

// unused reports whether nobody holds the link and it holds nothing. The state
// of the backoff is kept for a while after the last dial. The lock is held.
func (l *link) unused(now time.Time) bool {
	held := l.users.Load() > 0 || len(l.conns) > 0 || l.dialing || len(l.calls) > 0
	return !held && now.Sub(l.retryAt) > l.net.opts.MaxBackoff
}

// sweep looks after the connections and reports whether the link holds
// nothing any more, and whether a connection is silent.
func (l *link) sweep(now time.Time, paused time.Duration) (empty, silent bool) {
	l.mu.Lock()
	var ended []*conn
	var causes []error
	for c := range l.conns {
		if err := c.check(now, paused); err != nil {
			ended = append(ended, c)
			causes = append(causes, err)
		}
		silent = silent || c.silentAt(now)
	}
	empty = l.unused(now)
	l.mu.Unlock()
	for i, c := range ended {
		c.close(causes[i])
	}
	return empty, silent
}

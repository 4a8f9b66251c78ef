package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"masticturn/internal/telemetry"
)

// inboxFrames bounds the one-way messages of a connection that wait for their
// handlers; more are dropped.
const inboxFrames = 1024

// maxSpareBytes is the largest write buffer that is kept for reuse.
const maxSpareBytes = 256 << 10

// conn is one connection that stands. A reader, a writer and a goroutine for
// one-way messages run it; calls run on the network's workers.
type conn struct {
	link   *link
	sess   *session
	remote string // VM at the other end
	dialed bool   // by this end
	since  time.Time
	ctx    context.Context // done when the connection is closed; parent of the calls it brought
	cancel context.CancelFunc
	wake   chan struct{} // holds one: there is something to write
	inbox  chan frame
	unread [kinds]bool // kinds of one-way messages that could not be handled; of handleSends

	received atomic.Uint32 // frames received that count for acks
	acked    atomic.Uint32 // frames that the peer has received
	progress atomic.Int64  // when acked rose, or frames began to wait for acks, last: ns from since; 0: not since the last check
	used     atomic.Bool   // messages went either way since the last check

	// Guarded by link.mu.
	out          []byte // frames to write
	spare        []byte // buffer for the next out
	writing      bool
	sent         uint32 // frames queued that count for acks
	unackedSince time.Time
	pinged       bool // a ping is on the way
	pending      int  // calls that wait for answers from here
	lastUse      time.Time
	byeSent      bool
	byeReceived  bool
	closed       bool

	runMu   sync.Mutex
	running map[uint32]context.CancelFunc // calls of the peer, by id
}

func newConn(l *link, s *session, dialed bool) *conn {
	now := time.Now()
	c := &conn{
		link:    l,
		sess:    s,
		remote:  s.remote.VM,
		dialed:  dialed,
		since:   now,
		lastUse: now,
		wake:    make(chan struct{}, 1),
		inbox:   make(chan frame, inboxFrames),
		running: make(map[uint32]context.CancelFunc),
	}
	c.ctx, c.cancel = context.WithCancel(l.net.ctx)
	return c
}

// run serves the connection until it is closed.
func (c *conn) run() {
	t := c.link.net
	t.opts.Logger.Log(eventConnected, telemetry.Peer(c.remote))
	unhook := context.AfterFunc(t.ctx, func() { c.close(ErrClosed) })
	defer unhook()
	t.spawn(c.write)
	t.spawn(c.handleSends)
	c.close(c.read())
}

// close ends the connection once; the first cause counts.
func (c *conn) close(err error) {
	c.link.mu.Lock()
	closed := c.closed
	c.closed = true
	c.link.mu.Unlock()
	if closed {
		return
	}
	c.cancel()
	_ = c.sess.conn.Close()
	c.link.remove(c, err)
	c.report(err)
}

func (c *conn) report(err error) {
	t := c.link.net
	event := eventClosed
	switch {
	case errors.Is(err, ErrSilent):
		event = eventSilent
		t.meters.silent.Inc()
	case errors.Is(err, ErrMalformed):
		event = eventMalformed
		t.meters.bad.Inc()
	}
	t.opts.Logger.Log(event, telemetry.Peer(c.remote), telemetry.Err(err))
}

// enqueue appends a frame to the write queue. link.mu is held.
func (c *conn) enqueue(typ frameType, kind Kind, id uint32, payload []byte) error {
	if c.closed {
		return c.link.fail(StepQueue, ErrClosed)
	}
	t := c.link.net
	if len(c.out)+len(payload)+frameBytes > t.opts.MaxQueueBytes {
		t.meters.dropped.Inc()
		return c.link.fail(StepQueue, ErrQueueFull)
	}
	c.out = appendFrame(c.out, typ, kind, id, c.received.Load(), payload)
	t.meters.out[kind].Add(frameBytes + len(payload))
	if typ != framePong {
		c.expectAcks(1)
	}
	if isMessage(typ) {
		c.used.Store(true)
	}
	c.signal()
	return nil
}

// adopt takes over frames that waited for the connection. link.mu is held.
func (c *conn) adopt(frames []byte, n uint32) {
	if n == 0 {
		return
	}
	c.out = append(c.out, frames...)
	c.expectAcks(n)
	c.signal()
}

func (c *conn) expectAcks(frames uint32) {
	if c.sent == c.acked.Load() {
		c.recordProgress()
	}
	c.sent += frames
}

func (c *conn) recordProgress() { c.progress.Store(int64(max(time.Since(c.since), 1))) }

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// isMessage reports whether a frame counts as use of the connection.
func isMessage(typ frameType) bool {
	return typ == frameSend || typ == frameCall || typ == frameAnswer || typ == frameError
}

// write writes what is queued; all that came in during one write goes out
// with the next one.
func (c *conn) write() {
	for {
		select {
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}
		for {
			batch := c.takeBatch()
			if len(batch) == 0 {
				break
			}
			if _, err := c.sess.conn.Write(batch); err != nil {
				c.close(err)
				return
			}
			c.giveBack(batch)
		}
	}
}

func (c *conn) takeBatch() []byte {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	batch := c.out
	c.out, c.spare = c.spare[:0], nil
	c.writing = len(batch) > 0
	return batch
}

func (c *conn) giveBack(batch []byte) {
	if cap(batch) > maxSpareBytes {
		return
	}
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.spare == nil {
		c.spare = batch[:0]
	}
}

// limitEvery is how many frames are taken together from the rate limiter.
const limitEvery = 64

// read reads frames until an error.
func (c *conn) read() error {
	t := c.link.net
	limiter := rate.NewLimiter(rate.Limit(t.opts.FramesPerSecond), t.opts.FramesPerSecond+limitEvery)
	for n := 1; ; n++ {
		f, err := readFrame(c.sess.reader, t.opts.MaxFrameBytes)
		if err != nil {
			return closeCause(err)
		}
		if n%limitEvery == 0 {
			if err := limiter.WaitN(c.ctx, limitEvery); err != nil {
				return ErrClosed
			}
		}
		t.meters.in[f.kind].Add(frameBytes + len(f.bytes()))
		if f.typ != framePong {
			c.received.Add(1)
		}
		if int32(f.ack-c.acked.Load()) > 0 {
			c.acked.Store(f.ack)
			c.recordProgress()
		}
		if err := c.dispatch(f); err != nil {
			return err
		}
	}
}

// closeCause maps the ends of a stream to ErrClosed.
func closeCause(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return ErrClosed
	}
	return err
}

// dispatch hands a frame on; it never blocks.
func (c *conn) dispatch(f frame) error {
	if isMessage(f.typ) {
		c.used.Store(true)
	}
	switch f.typ {
	case frameSend:
		c.receiveSend(f)
	case frameCall:
		return c.receiveCall(f)
	case frameAnswer:
		if !c.link.complete(f.id, result{payload: f.payload}) {
			f.payload.release()
		}
	case frameError:
		c.receiveError(f)
	case frameCancel:
		c.endCall(f.id)
	case framePing:
		c.reply(framePong, f.kind, f.id, nil)
	case frameBye:
		c.receiveBye()
	case frameHello:
		return ErrMalformed
	}
	return nil
}

func (c *conn) receiveSend(f frame) {
	select {
	case c.inbox <- f:
	default:
		c.link.net.meters.dropped.Inc()
		f.payload.release()
	}
}

// handleSends runs the handlers of one-way messages in their order.
func (c *conn) handleSends() {
	for {
		select {
		case f := <-c.inbox:
			if err := c.handleSend(f); err != nil {
				c.reportUnread(f.kind, err)
			}
			f.payload.release()
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *conn) handleSend(f frame) error {
	h := c.link.net.handlers[f.kind]
	if h == nil {
		return trace.NotFound("no handler of kind %s (%d)", f.kind, f.kind)
	}
	_, err := h(c.ctx, c.remote, f.bytes())
	return err
}

// reportUnread counts an undecodable one-way message and logs the first of its kind on
// this connection. It is called by handleSends only.
func (c *conn) reportUnread(kind Kind, err error) {
	c.link.net.meters.unread.Inc()
	if c.unread[kind] {
		return
	}
	c.unread[kind] = true
	c.link.net.opts.Logger.Log(eventUnread, telemetry.Peer(c.remote), telemetry.Value("kind", kind.String()), telemetry.Err(err))
}

// reply queues a frame on this connection, whatever the current one is. When
// the queue is full it is dropped and the caller's deadline ends the call.
func (c *conn) reply(typ frameType, kind Kind, id uint32, payload []byte) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	_ = c.enqueue(typ, kind, id, payload)
}

func (c *conn) receiveError(f frame) {
	defer f.payload.release()
	var text string
	if err := Decode(f.bytes(), &text); err != nil {
		text = err.Error()
	}
	c.link.complete(f.id, result{err: c.link.fail(StepRemote, &RemoteError{Message: text})})
}

func (c *conn) receiveBye() {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.byeReceived = true
	c.sayBye()
}

// sayBye lets new messages leave this connection. link.mu is held.
func (c *conn) sayBye() {
	if c.byeSent {
		return
	}
	c.byeSent = true
	if c.link.current == c {
		c.link.current = nil
	}
	_ = c.enqueue(frameBye, 0, 0, nil)
}

// check is the regular look at a connection; an error closes it. link.mu is
// held.
func (c *conn) check(now time.Time, paused time.Duration) error {
	if c.used.Swap(false) {
		c.lastUse = now
	}
	if at := c.progress.Swap(0); at != 0 {
		c.unackedSince, c.pinged = c.since.Add(time.Duration(at)), false
	}
	if paused > sweepInterval {
		c.unackedSince = c.unackedSince.Add(paused)
	}
	if c.sent != c.acked.Load() {
		if err := c.checkSilence(now.Sub(c.unackedSince)); err != nil {
			return err
		}
	}
	return c.checkIdle(now)
}

// silentAt reports whether an ack is overdue.
func (c *conn) silentAt(now time.Time) bool {
	return c.sent != c.acked.Load() && now.Sub(c.unackedSince) > silentAfter
}

func (c *conn) checkSilence(silent time.Duration) error {
	o := &c.link.net.opts
	if silent >= o.DeadAfter {
		return ErrSilent
	}
	if silent >= o.DetachAfter && c.link.current == c && c.link.address != "" {
		c.link.current = nil
	}
	if silent >= o.PingAfter && !c.pinged {
		c.pinged = true
		_ = c.enqueue(framePing, KindPing, 0, nil)
	}
	return nil
}

// checkIdle lets the dialer end a connection that is not used: both ends say
// bye first, so that no message is lost. The other end closes one whose dialer
// has not done so for much longer.
func (c *conn) checkIdle(now time.Time) error {
	busy := c.pending > 0 || c.runningCalls() > 0 || len(c.out) > 0 || c.writing
	if busy {
		return nil
	}
	idle := now.Sub(c.lastUse)
	timeout := c.link.net.opts.IdleTimeout
	if c.dialed && idle >= timeout {
		c.sayBye()
	}
	if c.dialed && c.byeReceived || !c.dialed && idle >= 3*timeout {
		return ErrClosed
	}
	return nil
}

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

// inboxCapacity is the maximum number of one-way messages of a connection that
// wait for their handlers. Messages beyond it are dropped.
const inboxCapacity = 1024

// maxSpareBufferBytes is the largest write buffer that a connection reuses.
const maxSpareBufferBytes = 256 << 10

// conn is an established connection. It has a reader goroutine, a writer
// goroutine and a goroutine that handles one-way messages; calls are handled by
// the worker pool of the network.
type conn struct {
	link            *link
	session         *session
	remote          string // name of the VM at the other end
	dialed          bool   // this end opened the connection
	since           time.Time
	ctx             context.Context // canceled when the connection closes; parent context of calls received on it
	cancel          context.CancelFunc
	wake            chan struct{} // capacity 1; signals that frames are queued
	inbox           chan frame
	unhandledLogged [kindCount]bool // kinds whose handling failure has been logged; used by handleSends only

	receipt        receipt
	received       atomic.Uint32 // frames received, except pongs; sent to the peer as the ack
	acked          atomic.Uint32 // latest ack from the peer
	lastProgress   atomic.Int64  // time of the latest ack, or of queuing the first unacknowledged frame, in ns after since; 0 if neither happened since the last check
	usedSinceCheck atomic.Bool   // a message was sent or received since the last check

	// Guarded by link.mu.
	out          []byte // frames queued for writing
	spare        []byte // empty buffer to reuse as out
	writingBytes int    // size of the batch that is being written
	sent         uint32 // frames queued, except pongs
	unackedSince time.Time
	pingSent     bool // a ping was sent since unackedSince
	pendingCalls int  // calls sent on this connection that await a response
	lastUse      time.Time
	byeSent      bool
	byeReceived  bool
	closed       bool

	runMu   sync.Mutex
	running map[uint32]context.CancelFunc // cancel functions of calls received from the peer, by ID
}

func newConn(l *link, s *session, dialed bool) *conn {
	now := time.Now()
	c := &conn{
		link:    l,
		session: s,
		remote:  s.remote.VM,
		dialed:  dialed,
		since:   now,
		lastUse: now,
		wake:    make(chan struct{}, 1),
		inbox:   make(chan frame, inboxCapacity),
		running: make(map[uint32]context.CancelFunc),
	}
	c.ctx, c.cancel = context.WithCancel(l.net.ctx)
	return c
}

// run serves the connection until it is closed.
func (c *conn) run() {
	t := c.link.net
	t.opts.Logger.Log(eventConnected, telemetry.Peer(c.remote))
	stop := context.AfterFunc(t.ctx, func() { c.close(ErrClosed) })
	defer stop()
	t.spawn(c.write)
	t.spawn(c.handleSends)
	c.close(c.read())
}

// close closes the connection. Calls after the first have no effect.
func (c *conn) close(err error) {
	c.link.mu.Lock()
	closed := c.closed
	c.closed = true
	c.link.mu.Unlock()
	if closed {
		return
	}
	c.cancel()
	_ = c.session.conn.Close()
	c.link.detach(c, err)
	c.report(err)
}

func (c *conn) report(err error) {
	t := c.link.net
	event := eventClosed
	switch {
	case errors.Is(err, ErrSilent):
		c.reportSilent(err)
		return
	case errors.Is(err, ErrMalformed):
		event = eventMalformedFrame
		t.counters.malformed.Inc()
	}
	t.opts.Logger.Log(event, telemetry.Peer(c.remote), telemetry.Err(err))
}

// reportSilent logs and counts a silent connection with what was under way on it: a link that carries large frames
// slowly delays acks, too.
func (c *conn) reportSilent(err error) {
	t := c.link.net
	t.counters.silent.Inc()
	fields := []telemetry.Field{telemetry.Peer(c.remote), telemetry.Err(err)}
	if p := c.receipt.current(); p != nil {
		t.counters.silentReceiving.Inc()
		fields = append(fields, telemetry.Value("receiving", p.kind.String()),
			telemetry.Value("received_bytes", p.received), telemetry.Value("frame_bytes", p.size))
	}
	c.link.mu.Lock()
	unwritten := len(c.out) + c.writingBytes
	c.link.mu.Unlock()
	t.opts.Logger.Log(eventConnectionSilent, append(fields, telemetry.Value("unwritten_bytes", unwritten))...)
}

// enqueue appends a frame to the write queue. The caller must hold link.mu.
func (c *conn) enqueue(typ frameType, kind Kind, id uint32, payload []byte) error {
	if c.closed {
		return c.link.wrapError(StepQueue, ErrClosed)
	}
	t := c.link.net
	if len(c.out)+len(payload)+frameOverheadBytes > t.opts.MaxQueueBytes {
		t.counters.dropped.Inc()
		return c.link.wrapError(StepQueue, ErrQueueFull)
	}
	c.out = appendFrame(c.out, typ, kind, id, c.received.Load(), payload)
	t.counters.bytesOut[kind].Add(frameOverheadBytes + len(payload))
	if typ != framePong {
		c.expectAcks(1)
	}
	if isMessage(typ) {
		c.usedSinceCheck.Store(true)
	}
	c.wakeWriter()
	return nil
}

// appendBacklog queues frames that were encoded before the connection was
// established. The caller must hold link.mu.
func (c *conn) appendBacklog(frames []byte, n uint32) {
	if n == 0 {
		return
	}
	c.out = append(c.out, frames...)
	c.expectAcks(n)
	c.wakeWriter()
}

func (c *conn) expectAcks(frames uint32) {
	if c.sent == c.acked.Load() {
		c.recordProgress()
	}
	c.sent += frames
}

func (c *conn) recordProgress() { c.lastProgress.Store(int64(max(time.Since(c.since), 1))) }

func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// isMessage reports whether a frame of the type resets the idle timeout of the
// connection.
func isMessage(typ frameType) bool {
	return typ == frameSend || typ == frameCall || typ == frameResponse || typ == frameError
}

// write writes queued frames. Frames queued during one write are batched into
// the next.
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
			if err := c.writeBatch(batch); err != nil {
				c.close(err)
				return
			}
			c.recycleBuffer(batch)
		}
	}
}

const (
	// writeChunkBytes is the number of bytes that are written at once.
	writeChunkBytes = 16 << 10
	// blockedWrite is the duration from which on a write has waited for the peer to take earlier bytes. A shorter
	// one has only filled a buffer of this VM.
	blockedWrite = 5 * time.Millisecond
)

// writeBatch writes a batch in chunks. On a slow link a large batch takes longer than a peer may be silent, and the
// peer acknowledges a frame only when it has all of it, so that chunks that the peer takes count as progress.
func (c *conn) writeBatch(batch []byte) error {
	for len(batch) > 0 {
		chunk := batch[:min(len(batch), writeChunkBytes)]
		begun := time.Now()
		if _, err := c.session.conn.Write(chunk); err != nil {
			return err
		}
		if time.Since(begun) >= blockedWrite {
			c.recordProgress()
		}
		batch = batch[len(chunk):]
	}
	return nil
}

func (c *conn) takeBatch() []byte {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	batch := c.out
	c.out, c.spare = c.spare[:0], nil
	c.writingBytes = len(batch)
	return batch
}

func (c *conn) recycleBuffer(batch []byte) {
	if cap(batch) > maxSpareBufferBytes {
		return
	}
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.spare == nil {
		c.spare = batch[:0]
	}
}

// rateLimitBatch is the number of frames per request to the rate limiter.
const rateLimitBatch = 64

// read reads and dispatches frames until an error occurs.
func (c *conn) read() error {
	t := c.link.net
	limiter := rate.NewLimiter(rate.Limit(t.opts.FramesPerSecond), t.opts.FramesPerSecond+rateLimitBatch)
	for n := 1; ; n++ {
		f, err := readFrame(c.session.reader, t.opts.MaxFrameBytes, &c.receipt)
		if err != nil {
			return closeCause(err)
		}
		if n%rateLimitBatch == 0 {
			if err := limiter.WaitN(c.ctx, rateLimitBatch); err != nil {
				return ErrClosed
			}
		}
		t.counters.bytesIn[f.kind].Add(frameOverheadBytes + len(f.bytes()))
		if f.typ != framePong {
			c.received.Add(1)
		}
		if int32(f.ack-c.acked.Load()) > 0 {
			c.acked.Store(f.ack)
			c.recordProgress()
		}
		large := len(f.bytes()) > receiveChunkBytes
		err = c.dispatch(f)
		if large {
			c.receipt.end() // not before the call of a response has completed
		}
		if err != nil {
			return err
		}
	}
}

// closeCause maps errors that mean the end of the stream to ErrClosed.
func closeCause(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return ErrClosed
	}
	return err
}

// dispatch processes a received frame without blocking.
func (c *conn) dispatch(f frame) error {
	if isMessage(f.typ) {
		c.usedSinceCheck.Store(true)
	}
	switch f.typ {
	case frameSend:
		c.receiveSend(f)
	case frameCall:
		return c.receiveCall(f)
	case frameResponse:
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
		c.link.net.counters.dropped.Inc()
		f.payload.release()
	}
}

// handleSends runs the handlers of one-way messages in the order of arrival.
func (c *conn) handleSends() {
	for {
		select {
		case f := <-c.inbox:
			if err := c.handleSend(f); err != nil {
				c.reportUnhandled(f.kind, err)
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

// reportUnhandled counts a one-way message that has no handler or whose handler
// failed, and logs the first of each kind on this connection. Only handleSends
// may call it.
func (c *conn) reportUnhandled(kind Kind, err error) {
	c.link.net.counters.unhandled.Inc()
	if c.unhandledLogged[kind] {
		return
	}
	c.unhandledLogged[kind] = true
	c.link.net.opts.Logger.Log(eventUnhandledMessage, telemetry.Peer(c.remote), telemetry.Value("kind", kind.String()), telemetry.Err(err))
}

// reply queues a frame on this connection, even if it is no longer the current
// one of its link. If the queue is full, the frame is dropped and the call ends
// with the deadline at the sender.
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
	c.link.complete(f.id, result{err: c.link.wrapError(StepRemote, &RemoteError{Message: text})})
}

func (c *conn) receiveBye() {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.byeReceived = true
	c.sendBye()
}

// sendBye sends a bye frame and stops using the connection for new messages. The
// caller must hold link.mu.
func (c *conn) sendBye() {
	if c.byeSent {
		return
	}
	c.byeSent = true
	if c.link.current == c {
		c.link.current = nil
	}
	_ = c.enqueue(frameBye, 0, 0, nil)
}

// check applies the silence and idle timeouts. It is called periodically; if it
// returns an error, the connection must be closed. paused is by how much the
// call is late. The caller must hold link.mu.
func (c *conn) check(now time.Time, paused time.Duration) error {
	if c.usedSinceCheck.Swap(false) {
		c.lastUse = now
	}
	if at := c.lastProgress.Swap(0); at != 0 {
		c.unackedSince, c.pingSent = c.since.Add(time.Duration(at)), false
	}
	if paused > fastSweepInterval {
		c.unackedSince = c.unackedSince.Add(paused)
	}
	o := &c.link.net.opts
	receiving := c.receipt.delaysAcks(c.unackedSince.Add(o.DeadAfter), now.Add(-o.DetachAfter))
	if c.sent != c.acked.Load() && !receiving {
		if err := c.checkSilence(now.Sub(c.unackedSince)); err != nil {
			return err
		}
	}
	return c.checkIdle(now)
}

// isSilent reports whether an ack has been outstanding for longer than
// silentAfter.
func (c *conn) isSilent(now time.Time) bool {
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
	if silent >= o.PingAfter && !c.pingSent {
		c.pingSent = true
		_ = c.enqueue(framePing, KindPing, 0, nil)
	}
	return nil
}

// checkIdle closes unused connections. Normally the dialing end does this, after
// both ends have sent a bye frame, so that no message is lost. The accepting end
// closes the connection if the dialing end has not done so for three times the
// idle timeout.
func (c *conn) checkIdle(now time.Time) error {
	inUse := c.pendingCalls > 0 || c.runningCalls() > 0 || len(c.out) > 0 || c.writingBytes > 0
	if inUse {
		return nil
	}
	idle := now.Sub(c.lastUse)
	timeout := c.link.net.opts.IdleTimeout
	if c.dialed && idle >= timeout {
		c.sendBye()
	}
	if c.dialed && c.byeReceived || !c.dialed && idle >= 3*timeout {
		return ErrClosed
	}
	return nil
}

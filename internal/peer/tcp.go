package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/kernel"
	"masticturn/internal/telemetry"
	"masticturn/internal/wait"
)

// ServiceName is the name under which the kernel knows the network.
const ServiceName = "peer.network"

// How often connections are looked at: every sweepInterval while one is silent,
// which adds to the time in which it is found, else every sweepRest, as each look
// wakes a process that may have nothing else to do. A connection counts as silent
// when an ack is overdue by more than silentAfter; with sweepRest that is well before
// anything is done about it.
const (
	sweepInterval = 50 * time.Millisecond
	sweepRest     = 200 * time.Millisecond
	silentAfter   = 100 * time.Millisecond
)

// keyCheckInterval is how often the key files are looked at.
const keyCheckInterval = 5 * time.Second

// TCP is a Network over TCP. One connection serves both ways between two VMs:
// each end uses the one that stands, whoever dialed it.
type TCP struct {
	opts     Options
	handlers [kinds]Handler
	meters   *meters
	keys     *keys // nil without TLS
	workers  *workers
	listener net.Listener
	slots    chan struct{} // one token for each accepted connection
	calls    sync.Pool     // of *call

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]string // by VM
	links     map[string]*link  // by VM, those in use
	stopped   bool
}

var (
	_ Network        = (*TCP)(nil)
	_ kernel.Service = (*TCP)(nil)
)

// NewTCP returns a network that is not started yet. It reads the key files.
func NewTCP(opts Options) (*TCP, error) {
	opts.setDefaults()
	t := &TCP{
		opts:    opts,
		meters:  newMeters(opts.Metrics),
		workers: newWorkers(),
		slots:   make(chan struct{}, opts.MaxConnections),
		links:   make(map[string]*link),

		addresses: make(map[string]string),
		calls:     sync.Pool{New: newCall},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if !opts.TLS.Enabled() {
		return t, nil
	}
	k, err := newKeys(opts.TLS)
	if err != nil {
		return nil, trace.Wrap(err, "peer listener")
	}
	t.keys = k
	return t, nil
}

// Provision does nothing: the network depends on no service.
func (t *TCP) Provision(*kernel.Kernel) error { return nil }

// Start opens the listener.
func (t *TCP) Start(context.Context) error {
	t.listener = t.opts.Listener
	if t.listener == nil {
		l, err := net.Listen("tcp", t.opts.Listen)
		if err != nil {
			return trace.Wrap(err, "listen for peers on %s", t.opts.Listen)
		}
		t.listener = l
	}
	t.spawn(t.accept)
	t.spawn(t.sweep)
	if t.keys != nil {
		t.spawn(t.watchKeys)
	}
	return nil
}

// Address returns the address of the listener; it must be started.
func (t *TCP) Address() string { return t.listener.Addr().String() }

// Drain does nothing: the services above the network drain.
func (t *TCP) Drain(context.Context) error { return nil }

// flushTime bounds how long Stop waits for what is queued to be written.
const flushTime = 200 * time.Millisecond

// Stop writes what is queued, for a short while, and closes all connections.
func (t *TCP) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	t.flush(ctx)
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.cancel()
	if t.listener != nil {
		_ = t.listener.Close()
	}
	for _, l := range t.snapshot() {
		l.closeAll(ErrClosed)
	}
	t.wg.Wait()
	t.workers.close()
	return nil
}

// flushPoll is how often flush looks whether all is written.
const flushPoll = 5 * time.Millisecond

func (t *TCP) flush(ctx context.Context) {
	for _, l := range t.snapshot() {
		for l.unwritten() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(flushPoll):
			}
		}
	}
}

// spawn runs f until Stop; Stop waits for it.
func (t *TCP) spawn(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		f()
	}()
}

// Handle sets the handler of a kind.
func (t *TCP) Handle(kind Kind, h Handler) { t.handlers[kind] = h }

// SetAddress tells where a VM listens.
func (t *TCP) SetAddress(vm, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address == "" {
		delete(t.addresses, vm)
	} else {
		t.addresses[vm] = address
	}
	if l, ok := t.links[vm]; ok {
		l.setAddress(address)
	}
}

// link returns the link to a VM and makes it if there is none. It stays in the
// table until its release.
func (t *TCP) link(vm string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[vm]
	if !ok {
		l = newLink(t, vm, t.addresses[vm])
		t.links[vm] = l
	}
	l.users.Add(1)
	return l
}

func (l *link) release() { l.users.Add(-1) }

func (t *TCP) snapshot() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	links := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		links = append(links, l)
	}
	return links
}

// Send queues a one-way message.
func (t *TCP) Send(to string, kind Kind, msg any) error {
	e := getEncoder()
	defer e.release()
	if err := t.encode(e, to, msg); err != nil {
		return err
	}
	l := t.link(to)
	defer l.release()
	return l.send(kind, e.buf.Bytes())
}

// Call sends a message and waits for its answer.
func (t *TCP) Call(ctx context.Context, to string, kind Kind, msg, answer any) error {
	if ctx.Err() != nil {
		return &Error{Peer: to, Step: StepQueue, Err: ctx.Err()}
	}
	e := getEncoder()
	defer e.release()
	if err := t.encode(e, to, msg); err != nil {
		return err
	}
	l := t.link(to)
	defer l.release()
	res := l.call(ctx, kind, e.buf.Bytes())
	if res.err != nil {
		return res.err
	}
	defer res.payload.release()
	if answer == nil {
		return nil
	}
	f := frame{payload: res.payload}
	if err := Decode(f.bytes(), answer); err != nil {
		return &Error{Peer: to, Step: StepDecode, Err: err}
	}
	return nil
}

func (t *TCP) encode(e *encoder, to string, msg any) error {
	if err := e.encode(msg); err != nil {
		return &Error{Peer: to, Step: StepEncode, Err: err}
	}
	if e.buf.Len()+frameBytes > t.opts.MaxFrameBytes {
		return &Error{Peer: to, Step: StepEncode, Err: ErrTooLarge}
	}
	return nil
}

// acceptPause is the wait after a failed accept, such as for want of file
// descriptors.
const acceptPause = 10 * time.Millisecond

func (t *TCP) accept() {
	for {
		select {
		case t.slots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		raw, err := t.listener.Accept()
		if err != nil {
			<-t.slots
			if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		t.spawn(func() {
			defer func() { <-t.slots }()
			t.serve(raw)
		})
	}
}

// serve runs an accepted connection to its end.
func (t *TCP) serve(raw net.Conn) {
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.DialTimeout)
	defer cancel()
	unhook := context.AfterFunc(t.ctx, func() { _ = raw.Close() })
	defer unhook()
	s, err := t.handshake(ctx, raw, true, "")
	if err != nil {
		t.reportHandshake(raw.RemoteAddr().String(), err)
		_ = raw.Close()
		return
	}
	t.meters.accepted.Inc()
	l := t.link(s.remote.VM)
	defer l.release()
	c := newConn(l, s, false)
	l.attach(c)
	c.run()
}

func (t *TCP) reportHandshake(who string, err error) {
	switch {
	case errors.Is(err, ErrRefused):
		t.meters.refused.Inc()
		t.opts.Logger.Log(eventRefused, telemetry.Peer(who), telemetry.Step(string(StepConnect)), telemetry.Err(err))
	case errors.Is(err, ErrMalformed):
		t.meters.bad.Inc()
		t.opts.Logger.Log(eventMalformed, telemetry.Peer(who), telemetry.Step(string(StepConnect)), telemetry.Err(err))
	default:
		t.opts.Logger.Log(eventClosed, telemetry.Peer(who), telemetry.Step(string(StepConnect)), telemetry.Err(err))
	}
}

// sweep looks after all connections until the network stops. A pause of this
// process is not taken for silence of the peers.
func (t *TCP) sweep() {
	last := time.Now()
	interval := sweepRest
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		paused := now.Sub(last) - interval
		last = now
		interval = sweepRest
		if t.sweepLinks(now, paused) {
			interval = sweepInterval
		}
		timer.Reset(interval)
	}
}

// sweepLinks looks after all connections once and reports whether one is silent.
func (t *TCP) sweepLinks(now time.Time, paused time.Duration) (silent bool) {
	for _, l := range t.snapshot() {
		empty, waits := l.sweep(now, paused)
		silent = silent || waits
		if empty {
			t.forget(l)
		}
	}
	return silent
}

// forget removes a link that holds nothing; the next message makes it again.
func (t *TCP) forget(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unused(time.Now()) {
		delete(t.links, l.vm)
	}
}

func (t *TCP) watchKeys() {
	wait.Every(t.ctx, keyCheckInterval, func() {
		changed, err := t.keys.reload()
		switch {
		case err != nil:
			t.opts.Logger.Log(eventKeysInvalid, telemetry.Err(err))
		case changed:
			t.opts.Logger.Log(eventKeysReloaded)
		}
	})
}

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

// ServiceName is the name under which the network is registered in the kernel.
const ServiceName = "peer.network"

// Intervals of checking connections. The fast interval is used while a connection
// is silent, because it delays the detection of dead connections; the slow one
// otherwise, because each check wakes a process that may be idle. A connection is
// silent when an ack has been outstanding for longer than silentAfter. At the slow
// interval this is noticed well before the first timeout, Options.PingAfter.
const (
	fastSweepInterval = 50 * time.Millisecond
	slowSweepInterval = 200 * time.Millisecond
	silentAfter       = 100 * time.Millisecond
)

// keyCheckInterval is how often the key files are checked for changes.
const keyCheckInterval = 5 * time.Second

// TCP is a Network over TCP. Two VMs use one connection in both directions,
// whichever end dialed it.
type TCP struct {
	opts     Options
	handlers [kindCount]Handler
	streams  StreamHandler // nil: streams are refused
	counters *counters
	keys     *keys // nil without TLS
	workers  *workerPool
	listener net.Listener
	slots    chan struct{} // semaphore of accepted connections
	calls    sync.Pool     // of *call

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	addresses map[string]string // by VM
	links     map[string]*link  // by VM
	stopped   bool
}

var (
	_ Network        = (*TCP)(nil)
	_ kernel.Service = (*TCP)(nil)
)

// NewTCP returns a network that has not been started. It reads the key files.
func NewTCP(opts Options) (*TCP, error) {
	opts.setDefaults()
	t := &TCP{
		opts:     opts,
		counters: newCounters(opts.Metrics),
		workers:  newWorkerPool(),
		slots:    make(chan struct{}, opts.MaxConnections),
		links:    make(map[string]*link),

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

// Provision does nothing: the network does not depend on other services.
func (t *TCP) Provision(*kernel.Kernel) error { return nil }

// Start opens the listener and starts the background goroutines.
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

// Address returns the address of the listener. The network must have been started.
func (t *TCP) Address() string { return t.listener.Addr().String() }

// Drain does nothing: the services that use the network drain themselves.
func (t *TCP) Drain(context.Context) error { return nil }

// flushTimeout is the longest time for which Stop waits for queued frames to be
// written.
const flushTimeout = 200 * time.Millisecond

// Stop waits up to flushTimeout for queued frames to be written and closes all
// connections.
func (t *TCP) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	t.flush(ctx)
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.cancel()
	if t.listener != nil {
		_ = t.listener.Close()
	}
	for _, l := range t.allLinks() {
		l.closeAll(ErrClosed)
	}
	t.wg.Wait()
	t.workers.close()
	return nil
}

// flushPollInterval is how often flush checks whether all frames are written.
const flushPollInterval = 5 * time.Millisecond

func (t *TCP) flush(ctx context.Context) {
	for _, l := range t.allLinks() {
		for l.hasUnwritten() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(flushPollInterval):
			}
		}
	}
}

// spawn runs f in a goroutine for which Stop waits. After Stop it does nothing.
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

// SetAddress sets the address at which a VM listens, or removes it if empty.
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

// link returns the link to a VM and creates it if necessary. The link is not
// removed before the caller calls release.
func (t *TCP) link(vm string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[vm]
	if !ok {
		l = newLink(t, vm, t.addresses[vm])
		t.links[vm] = l
	}
	l.refs.Add(1)
	return l
}

func (l *link) release() { l.refs.Add(-1) }

func (t *TCP) allLinks() []*link {
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

// Call sends a message and waits for its response.
func (t *TCP) Call(ctx context.Context, to string, kind Kind, msg, resp any) error {
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
	if resp == nil {
		return nil
	}
	f := frame{payload: res.payload}
	if err := Decode(f.bytes(), resp); err != nil {
		return &Error{Peer: to, Step: StepDecode, Err: err}
	}
	return nil
}

func (t *TCP) encode(e *encoder, to string, msg any) error {
	if err := e.encode(msg); err != nil {
		return &Error{Peer: to, Step: StepEncode, Err: err}
	}
	if e.buf.Len()+frameOverheadBytes > t.opts.MaxFrameBytes {
		return &Error{Peer: to, Step: StepEncode, Err: ErrTooLarge}
	}
	return nil
}

// acceptErrorDelay is the delay after a failed accept, for example when the
// process has run out of file descriptors.
const acceptErrorDelay = 10 * time.Millisecond

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
			time.Sleep(acceptErrorDelay)
			continue
		}
		t.spawn(func() {
			defer func() { <-t.slots }()
			t.serve(raw)
		})
	}
}

// serve serves an accepted connection until it is closed.
func (t *TCP) serve(raw net.Conn) {
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.DialTimeout)
	defer cancel()
	stop := context.AfterFunc(t.ctx, func() { _ = raw.Close() })
	defer stop()
	s, err := t.handshake(ctx, raw, true, "", nil)
	if err != nil {
		t.reportHandshakeError(raw.RemoteAddr().String(), err)
		_ = raw.Close()
		return
	}
	if len(s.remote.StreamRequest) > 0 {
		t.serveStream(s)
		return
	}
	t.counters.accepted.Inc()
	l := t.link(s.remote.VM)
	defer l.release()
	c := newConn(l, s, false)
	l.attach(c)
	c.run()
}

func (t *TCP) reportHandshakeError(who string, err error) {
	switch {
	case errors.Is(err, ErrRefused):
		t.counters.refused.Inc()
		t.opts.Logger.Log(eventRefused, telemetry.Peer(who), telemetry.Step(string(StepConnect)), telemetry.Err(err))
	case errors.Is(err, ErrMalformed):
		t.counters.malformed.Inc()
		t.opts.Logger.Log(eventMalformedFrame, telemetry.Peer(who), telemetry.Step(string(StepConnect)), telemetry.Err(err))
	default:
		t.opts.Logger.Log(eventClosed, telemetry.Peer(who), telemetry.Step(string(StepConnect)), telemetry.Err(err))
	}
}

// sweep checks all connections periodically until the network stops. It measures
// by how much a check is late, so that a pause of this process is not taken for
// silence of the peers.
func (t *TCP) sweep() {
	last := time.Now()
	interval := slowSweepInterval
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
		interval = slowSweepInterval
		if t.sweepLinks(now, paused) {
			interval = fastSweepInterval
		}
		timer.Reset(interval)
	}
}

// sweepLinks checks all connections once and reports whether any is silent.
func (t *TCP) sweepLinks(now time.Time, paused time.Duration) (silent bool) {
	for _, l := range t.allLinks() {
		unused, linkSilent := l.sweep(now, paused)
		silent = silent || linkSilent
		if unused {
			t.removeIfUnused(l)
		}
	}
	return silent
}

// removeIfUnused removes a link if it is still unused. The next message to the VM
// creates it again.
func (t *TCP) removeIfUnused(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isUnused(time.Now()) {
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

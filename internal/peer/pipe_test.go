package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pipeNetwork provides in-memory connections that work with the fake clock of
// testing/synctest.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	conns     []*pipeConn   // dialing ends, in the order of dials
	dialDelay time.Duration // duration of a dial
}

func newPipeNetwork() *pipeNetwork { return &pipeNetwork{listeners: make(map[string]*pipeListener)} }

// pipeConn is one end of a connection. While silent is set, writes succeed but the
// data is discarded. Its rate can be limited.
type pipeConn struct {
	net.Conn
	silent         atomic.Bool
	bytesPerSecond atomic.Int64 // of writes; 0: unlimited
	remote         *pipeConn
}

// pipeChunkBytes is the number of bytes that a limited connection writes at once.
const pipeChunkBytes = 1 << 10

func (c *pipeConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if c.silent.Load() {
			return len(p), nil
		}
		chunk := p[written:]
		if r := c.bytesPerSecond.Load(); r > 0 {
			chunk = chunk[:min(len(chunk), pipeChunkBytes)]
			time.Sleep(time.Duration(len(chunk)) * time.Second / time.Duration(r))
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close closes the connection. If it is silent, the other end does not notice.
func (c *pipeConn) Close() error {
	if c.silent.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

type pipeListener struct {
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

func (p *pipeNetwork) listen(address string) net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{address: address, queue: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[address] = l
	return l
}

func (p *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, net.UnknownNetworkError(address)
	}
	time.Sleep(p.dialDelay)
	a, b := net.Pipe()
	near, far := &pipeConn{Conn: a}, &pipeConn{Conn: b}
	near.remote, far.remote = far, near
	select {
	case l.queue <- far:
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, near)
	return near, nil
}

// newestConn returns the dialing end of the newest connection.
func (p *pipeNetwork) newestConn() *pipeConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[len(p.conns)-1]
}

func (p *pipeNetwork) dialCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// closeAll closes all pipes, including silent ones.
func (p *pipeNetwork) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Conn.Close()
		_ = c.remote.Conn.Close()
	}
}

// message is the payload used by the tests.
type message struct {
	Number int
	Text   string
}

// startNetwork starts the network of a VM, whose name is also its address. It
// echoes calls of KindPermit; calls of KindDemand block until they are canceled.
func (p *pipeNetwork) startNetwork(t *testing.T, vm string, configure func(*Options)) *TCP {
	t.Helper()
	opts := Options{VM: vm, Incarnation: 1, Listener: p.listen(vm), DialContext: p.dial}
	if configure != nil {
		configure(&opts)
	}
	n, err := NewTCP(opts)
	if err != nil {
		t.Fatal(err)
	}
	n.Handle(KindPermit, echo)
	n.Handle(KindDemand, func(ctx context.Context, _ string, _ []byte) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return n
}

func echo(_ context.Context, _ string, payload []byte) (any, error) {
	var m message
	if err := Decode(payload, &m); err != nil {
		return nil, err
	}
	return &m, nil
}

// startPair starts two networks a and b that know the addresses of each other.
func startPair(t *testing.T, configure func(*Options)) (p *pipeNetwork, a, b *TCP, stop func()) {
	p = newPipeNetwork()
	a, b = p.startNetwork(t, "a", configure), p.startNetwork(t, "b", configure)
	a.SetAddress("b", "b")
	b.SetAddress("a", "a")
	return p, a, b, func() {
		stopAll(a, b)
		p.closeAll()
	}
}

func stopAll(networks ...*TCP) {
	for _, n := range networks {
		_ = n.Stop(context.Background())
	}
}

// callWithTimeout makes a call with a timeout and returns its error.
func callWithTimeout(n *TCP, to string, kind Kind, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var resp message
	return n.Call(ctx, to, kind, &message{Number: 1, Text: "hello"}, &resp)
}

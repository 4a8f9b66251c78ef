package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pipes is a network of in-memory connections that work under fake time.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	conns     []*pipeConn   // dialing ends, in order
	delay     time.Duration // of a dial
}

func newPipes() *pipes { return &pipes{listeners: make(map[string]*pipeListener)} }

// pipeConn is one end of a connection. While silent, what it writes is lost
// without an error.
type pipeConn struct {
	net.Conn
	silent atomic.Bool
	other  *pipeConn
}

func (c *pipeConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close of a silent connection does not reach the other end.
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

func (p *pipes) listen(address string) net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &pipeListener{address: address, queue: make(chan net.Conn), closed: make(chan struct{})}
	p.listeners[address] = l
	return l
}

func (p *pipes) dial(ctx context.Context, _, address string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[address]
	p.mu.Unlock()
	if l == nil {
		return nil, net.UnknownNetworkError(address)
	}
	time.Sleep(p.delay)
	a, b := net.Pipe()
	near, far := &pipeConn{Conn: a}, &pipeConn{Conn: b}
	near.other, far.other = far, near
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

// last returns the dialing end of the newest connection.
func (p *pipes) last() *pipeConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[len(p.conns)-1]
}

func (p *pipes) dials() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// closeAll ends all pipes, also the silent ones.
func (p *pipes) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Conn.Close()
		_ = c.other.Conn.Close()
	}
}

// message is the message of the tests.
type message struct {
	Number int
	Text   string
}

// start runs a network under the name, which is its address too. Calls of
// KindPermit are echoed; those of KindDemand wait until they are canceled.
func (p *pipes) start(t *testing.T, vm string, change func(*Options)) *TCP {
	t.Helper()
	opts := Options{VM: vm, Incarnation: 1, Listener: p.listen(vm), DialContext: p.dial}
	if change != nil {
		change(&opts)
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

// pairOf starts the networks a and b, which know each other.
func pairOf(t *testing.T, change func(*Options)) (p *pipes, a, b *TCP, stop func()) {
	p = newPipes()
	a, b = p.start(t, "a", change), p.start(t, "b", change)
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

// ask calls within the time and returns the error.
func ask(n *TCP, to string, kind Kind, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var answer message
	return n.Call(ctx, to, kind, &message{Number: 1, Text: "hello"}, &answer)
}

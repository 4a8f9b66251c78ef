package network

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// acceptBacklog is how many connections wait to be accepted; further ones are
// refused.
const acceptBacklog = 1024

// Memory is a network within one process that needs no sockets, so that it runs
// in fake time. Hosts are known by their IP.
type Memory struct {
	delays Delays

	mu        sync.Mutex
	hosts     map[string]Host // by IP
	listeners map[string]*memoryListener
	conns     map[*memoryConn]struct{} // both ends of each
	held      map[way]bool
	refused   map[way]bool
	heal      chan struct{} // closed and replaced when a way is released
	nextPort  int
}

// NewMemory returns a network without hosts.
func NewMemory(delays Delays) *Memory {
	return &Memory{
		delays:    delays,
		hosts:     make(map[string]Host),
		listeners: make(map[string]*memoryListener),
		conns:     make(map[*memoryConn]struct{}),
		held:      make(map[way]bool),
		refused:   make(map[way]bool),
		heal:      make(chan struct{}),
		nextPort:  firstPort,
	}
}

// firstPort is the first port that dialers and listeners without one get.
const firstPort = 32768

// Add adds a host.
func (m *Memory) Add(h Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts[h.IP] = h
}

func (m *Memory) port() int {
	m.nextPort++
	return m.nextPort
}

// Listen opens a listener at host:port; port 0 means any that is free.
func (m *Memory) Listen(address string) (net.Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Port() == 0 {
		at = netip.AddrPortFrom(at.Addr(), uint16(m.port()))
	}
	if m.listeners[at.String()] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &memoryListener{
		network: m,
		address: net.TCPAddrFromAddrPort(at),
		waiting: make(chan net.Conn, acceptBacklog),
		closed:  make(chan struct{}),
	}
	m.listeners[at.String()] = l
	return l, nil
}

// Dialer returns the function by which a host opens connections.
func (m *Memory) Dialer(from Host) DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		w := way{from.IP, to.Addr().String()}
		delay, err := m.cross(ctx, w)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
		}
		conn, err := m.connect(w, to, delay)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
		}
		return conn, nil
	}
}

// cross waits for a round trip, and while a direction is held.
func (m *Memory) cross(ctx context.Context, w way) (time.Duration, error) {
	m.mu.Lock()
	delay := m.delays(m.hosts[w.from], m.hosts[w.to])
	m.mu.Unlock()
	timer := time.NewTimer(2 * delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	for {
		m.mu.Lock()
		held, heal := m.held[w] || m.held[way{w.to, w.from}], m.heal
		m.mu.Unlock()
		if !held {
			return delay, nil
		}
		select {
		case <-heal:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// connect hands one end of a connection to the listener and returns the other.
func (m *Memory) connect(w way, to netip.AddrPort, delay time.Duration) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.listeners[to.String()]
	if l == nil || m.refused[w] {
		return nil, syscall.ECONNREFUSED
	}
	there, back := newQueue(delay), newQueue(delay)
	from := &net.TCPAddr{IP: net.ParseIP(w.from), Port: m.port()}
	near := newMemoryConn(m, w, from, l.address, there, back)
	far := newMemoryConn(m, way{w.to, w.from}, l.address, from, back, there)
	select {
	case l.waiting <- far:
	default:
		return nil, syscall.ECONNREFUSED
	}
	m.conns[near], m.conns[far] = struct{}{}, struct{}{}
	there.hold(m.held[w])
	back.hold(m.held[way{w.to, w.from}])
	return near, nil
}

// Hold holds back all bytes between two hosts, either way, until Release.
func (m *Memory) Hold(a, b Host) {
	m.change(func() { m.held[way{a.IP, b.IP}], m.held[way{b.IP, a.IP}] = true, true })
}

// Release ends Hold.
func (m *Memory) Release(a, b Host) {
	m.change(func() {
		delete(m.held, way{a.IP, b.IP})
		delete(m.held, way{b.IP, a.IP})
	})
}

// ReleaseAll ends all Holds.
func (m *Memory) ReleaseAll() { m.change(func() { clear(m.held) }) }

// Refuse refuses new connections from one host to another, or no longer does. Open ones live on.
func (m *Memory) Refuse(from, to Host, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused[way{from.IP, to.IP}] = on
}

func (m *Memory) change(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
	for c := range m.conns {
		c.out.hold(m.held[c.way])
	}
	close(m.heal)
	m.heal = make(chan struct{})
}

// End ends what runs on a host, as its kernel would: listeners and connections are
// closed.
func (m *Memory) End(h Host) {
	m.mu.Lock()
	var listeners []*memoryListener
	for _, l := range m.listeners {
		if l.address.IP.String() == h.IP {
			listeners = append(listeners, l)
		}
	}
	var conns []*memoryConn
	for c := range m.conns {
		if c.way.from == h.IP {
			conns = append(conns, c)
		}
	}
	m.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// Reset resets the open connections between two hosts.
func (m *Memory) Reset(a, b Host) {
	m.mu.Lock()
	var conns []*memoryConn
	for c := range m.conns {
		if c.way == (way{a.IP, b.IP}) {
			conns = append(conns, c)
		}
	}
	m.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

func (m *Memory) forget(c *memoryConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// memoryListener accepts connections of a Memory.
type memoryListener struct {
	network *Memory
	address *net.TCPAddr
	waiting chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

var _ net.Listener = (*memoryListener)(nil)

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that were not accepted are closed.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address.String())
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.waiting:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryConn is one end of a connection of a Memory.
type memoryConn struct {
	network       *Memory
	way           way
	local, remote net.Addr
	out, in       *queue
	read, write   *deadline
	closed        chan struct{}
	once          sync.Once
}

var _ net.Conn = (*memoryConn)(nil)

func newMemoryConn(m *Memory, w way, local, remote net.Addr, out, in *queue) *memoryConn {
	return &memoryConn{
		network: m, way: w, local: local, remote: remote, out: out, in: in,
		read: newDeadline(), write: newDeadline(), closed: make(chan struct{}),
	}
}

// Read implements net.Conn.
func (c *memoryConn) Read(p []byte) (int, error) {
	n, err := c.in.take(p, c.read)
	return n, c.wrap("read", err)
}

// Write implements net.Conn.
func (c *memoryConn) Write(p []byte) (int, error) {
	if err := c.out.put(p, c.write); err != nil {
		return 0, c.wrap("write", err)
	}
	return len(p), nil
}

// wrap tells this end's own close from the other's.
func (c *memoryConn) wrap(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	select {
	case <-c.closed:
		err = net.ErrClosed
	default:
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Close implements net.Conn. What was written still arrives.
func (c *memoryConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.out.close(io.EOF)
		c.in.abort(syscall.ECONNRESET)
		c.network.forget(c)
	})
	return nil
}

func (c *memoryConn) reset() {
	c.out.abort(syscall.ECONNRESET)
	c.in.abort(syscall.ECONNRESET)
	_ = c.Close()
}

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return nil
}

package forward

import (
	"net"
	"net/netip"
	"sync"

	"masticturn/internal/config"
)

// limitedListener limits the number of connections from one address. Connections above the limit are
// closed at once.
type limitedListener struct {
	net.Listener
	config config.Source

	mu     sync.Mutex
	counts map[netip.Addr]int
}

func newLimitedListener(l net.Listener, c config.Source) *limitedListener {
	return &limitedListener{Listener: l, config: c, counts: make(map[netip.Addr]int)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		addr, err := netip.ParseAddrPort(conn.RemoteAddr().String())
		if err == nil && l.acquire(addr.Addr()) {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.release(addr.Addr()) })}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitedListener) acquire(addr netip.Addr) bool {
	limit := 0
	if s := l.config.Current(); s != nil {
		limit = s.Document.Limits.MaxConnectionsPerAddr
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit > 0 && l.counts[addr] >= limit {
		return false
	}
	l.counts[addr]++
	return true
}

func (l *limitedListener) release(addr netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[addr]--; l.counts[addr] == 0 {
		delete(l.counts, addr)
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

package forward

import (
	"net"
	"net/netip"
	"sync"

	"masticturn/internal/config"
)

// limitedListener bounds the connections from one address. One above the
// limit is closed at once.
type limitedListener struct {
	net.Listener
	config config.Source

	mu    sync.Mutex
	count map[netip.Addr]int
}

func newLimitedListener(l net.Listener, c config.Source) *limitedListener {
	return &limitedListener{Listener: l, config: c, count: make(map[netip.Addr]int)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		addr, err := netip.ParseAddrPort(conn.RemoteAddr().String())
		if err == nil && l.take(addr.Addr()) {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.give(addr.Addr()) })}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitedListener) take(addr netip.Addr) bool {
	limit := 0
	if s := l.config.Current(); s != nil {
		limit = s.Document.Limits.MaxConnectionsPerAddr
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit > 0 && l.count[addr] >= limit {
		return false
	}
	l.count[addr]++
	return true
}

func (l *limitedListener) give(addr netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count[addr]--; l.count[addr] == 0 {
		delete(l.count, addr)
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

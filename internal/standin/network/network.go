// Package network puts one-way delays, silences and cuts between hosts that
// are loopback addresses of one process. Everything happens at the dialer;
// listeners are plain.
package network

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Host is one end of connections, known by its loopback IP.
type Host struct {
	Name string
	Zone string
	IP   string
}

// Delays returns the one-way delay between two hosts.
type Delays func(from, to Host) time.Duration

// Network knows the hosts and the state of the ways between them.
type Network struct {
	delays Delays

	mu    sync.Mutex
	hosts map[string]Host // by IP
	held  map[way]bool
	heal  chan struct{} // closed and replaced when a way is released
	conns map[*conn]struct{}
}

// way is a direction between two hosts, by IP.
type way struct{ from, to string }

// New returns a network without hosts.
func New(delays Delays) *Network {
	return &Network{
		delays: delays,
		hosts:  make(map[string]Host),
		held:   make(map[way]bool),
		heal:   make(chan struct{}),
		conns:  make(map[*conn]struct{}),
	}
}

// Add adds a host.
func (n *Network) Add(h Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[h.IP] = h
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns the function by which a host opens connections. They come
// from the host's IP, and opening one takes a round trip.
func (n *Network) Dialer(from Host) DialFunc {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from.IP)}}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		w := way{from.IP, ip}
		delay := n.delay(w)
		if err := n.cross(ctx, w, delay); err != nil {
			return nil, trace.Wrap(err, "dial %s", address)
		}
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.wrap(raw, w, delay), nil
	}
}

func (n *Network) delay(w way) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays(n.hosts[w.from], n.hosts[w.to])
}

// cross waits for a round trip, and while one direction is held.
func (n *Network) cross(ctx context.Context, w way, delay time.Duration) error {
	timer := time.NewTimer(2 * delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		held, heal := n.state(w)
		if !held {
			return nil
		}
		select {
		case <-heal:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// state reports whether either direction is held.
func (n *Network) state(w way) (held bool, heal <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held[w] || n.held[way{w.to, w.from}], n.heal
}

func (n *Network) wrap(raw net.Conn, w way, delay time.Duration) net.Conn {
	c := newConn(n, raw, w, delay)
	n.mu.Lock()
	n.conns[c] = struct{}{}
	c.out.hold(n.held[w])
	c.in.hold(n.held[way{w.to, w.from}])
	n.mu.Unlock()
	c.start()
	return c
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// Hold holds back all bytes from one host to another, on open and on new
// connections, until Release. Nothing is lost: as with TCP, what was held
// arrives afterwards.
func (n *Network) Hold(from, to Host) { n.setHeld(way{from.IP, to.IP}, true) }

// Release ends Hold.
func (n *Network) Release(from, to Host) { n.setHeld(way{from.IP, to.IP}, false) }

func (n *Network) setHeld(w way, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[w] = on
	for c := range n.conns {
		switch {
		case c.way == w:
			c.out.hold(on)
		case c.way == way{w.to, w.from}:
			c.in.hold(on)
		}
	}
	close(n.heal)
	n.heal = make(chan struct{})
}

// Silence makes the open connections between two hosts silent for good: no
// byte and no end passes any more, either way. New connections work. It
// returns how many there were.
func (n *Network) Silence(a, b Host) int {
	return n.each(a, b, func(c *conn) { c.silence() })
}

// Cut resets the open connections between two hosts and returns how many
// there were.
func (n *Network) Cut(a, b Host) int {
	return n.each(a, b, func(c *conn) { c.reset() })
}

func (n *Network) each(a, b Host, f func(*conn)) int {
	n.mu.Lock()
	var chosen []*conn
	for c := range n.conns {
		if c.way == (way{a.IP, b.IP}) || c.way == (way{b.IP, a.IP}) {
			chosen = append(chosen, c)
		}
	}
	n.mu.Unlock()
	for _, c := range chosen {
		f(c)
	}
	return len(chosen)
}

// Close ends all connections, silent ones too.
func (n *Network) Close() {
	n.mu.Lock()
	conns := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

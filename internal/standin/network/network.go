// Package network puts one-way delays, silences and cuts between hosts that
// are loopback addresses of one process. Everything happens at the dialer;
// listeners are plain.
package network

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
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

	mu      sync.Mutex
	hosts   map[string]Host // by IP
	held    map[way]bool
	alone   map[string]bool // hosts whose ways are all held, by IP
	down    map[string]bool // by IP
	refused map[way]bool
	heal    chan struct{} // closed and replaced when a way is released
	conns   map[*conn]struct{}
}

// way is a direction between two hosts, by IP.
type way struct{ from, to string }

// New returns a network without hosts.
func New(delays Delays) *Network {
	return &Network{
		delays:  delays,
		hosts:   make(map[string]Host),
		held:    make(map[way]bool),
		alone:   make(map[string]bool),
		down:    make(map[string]bool),
		refused: make(map[way]bool),
		heal:    make(chan struct{}),
		conns:   make(map[*conn]struct{}),
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

// errDown is the error of a connection from or to a host that is down.
var errDown = fmt.Errorf("host is down: %w", syscall.ECONNREFUSED)

// Down takes a host away: its connections are reset, and none can be opened
// from it or to it.
func (n *Network) Down(h Host) {
	n.mu.Lock()
	n.down[h.IP] = true
	n.mu.Unlock()
	n.each(func(w way) bool { return w.from == h.IP || w.to == h.IP }, (*conn).reset)
}

// Up ends Down.
func (n *Network) Up(h Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, h.IP)
}

// Refuse refuses new connections from one host to another, or no longer does. Open ones live on.
func (n *Network) Refuse(from, to Host, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[way{from.IP, to.IP}] = on
}

func (n *Network) isDown(w way) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[w.from] || n.down[w.to] || n.refused[w]
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
	if n.isDown(w) {
		return errDown
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
	return n.isHeld(w) || n.isHeld(way{w.to, w.from}), n.heal
}

func (n *Network) wrap(raw net.Conn, w way, delay time.Duration) net.Conn {
	c := newConn(n, raw, w, delay)
	n.mu.Lock()
	n.conns[c] = struct{}{}
	c.out.hold(n.isHeld(w))
	c.in.hold(n.isHeld(way{w.to, w.from}))
	down := n.down[w.from] || n.down[w.to]
	n.mu.Unlock()
	if down {
		c.reset()
	}
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
func (n *Network) Hold(from, to Host) {
	n.change(func() { n.held[way{from.IP, to.IP}] = true })
}

// Release ends Hold.
func (n *Network) Release(from, to Host) {
	n.change(func() { delete(n.held, way{from.IP, to.IP}) })
}

// HoldHost holds back all bytes from and to a host, or lets them go again.
func (n *Network) HoldHost(h Host, on bool) {
	n.change(func() { n.alone[h.IP] = on })
}

// isHeld reports whether a direction is held; n.mu is held.
func (n *Network) isHeld(w way) bool { return n.held[w] || n.alone[w.from] || n.alone[w.to] }

// change changes what is held and tells the connections.
func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	for c := range n.conns {
		c.out.hold(n.isHeld(c.way))
		c.in.hold(n.isHeld(way{c.way.to, c.way.from}))
	}
	close(n.heal)
	n.heal = make(chan struct{})
}

// Silence makes the open connections between two hosts silent for good: no
// byte and no end passes any more, either way. New connections work. It
// returns how many there were.
func (n *Network) Silence(a, b Host) int {
	return n.each(between(a, b), (*conn).silence)
}

// Cut resets the open connections between two hosts and returns how many
// there were.
func (n *Network) Cut(a, b Host) int {
	return n.each(between(a, b), (*conn).reset)
}

func between(a, b Host) func(way) bool {
	return func(w way) bool { return w == way{a.IP, b.IP} || w == way{b.IP, a.IP} }
}

// each calls f for the open connections on chosen ways.
func (n *Network) each(chosen func(way) bool, f func(*conn)) int {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if chosen(c.way) {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
	return len(conns)
}

// Close ends all connections, silent ones too.
func (n *Network) Close() {
	n.each(func(way) bool { return true }, (*conn).reset)
}

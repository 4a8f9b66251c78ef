package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// maxIdle bounds the idle connections that a caller keeps to each VM.
const maxIdle = 64

// pool keeps connections to VMs. Other than http.Transport it never sends a
// request a second time.
type pool struct {
	transport *http.Transport
	mu        sync.Mutex
	idle      map[string][]*http.ClientConn
}

func newPool(dial func(ctx context.Context, network, address string) (net.Conn, error)) *pool {
	return &pool{
		transport: &http.Transport{DialContext: dial, DisableCompression: true},
		idle:      make(map[string][]*http.ClientConn),
	}
}

// get returns an idle connection, or opens one.
func (p *pool) get(ctx context.Context, address string) (*http.ClientConn, error) {
	if conn := p.takeIdle(address); conn != nil {
		return conn, nil
	}
	return p.transport.NewClientConn(ctx, "http", address)
}

func (p *pool) takeIdle(address string) *http.ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for len(idle) > 0 {
		conn := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		p.idle[address] = idle
		if conn.Err() == nil {
			return conn
		}
		conn.Close()
	}
	return nil
}

// put takes a connection back after a whole answer.
func (p *pool) put(address string, conn *http.ClientConn) {
	if conn.Err() != nil {
		conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdle {
		conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], conn)
}

// closeIdle closes the idle connections to one VM, or to all when the address
// is empty.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, idle := range p.idle {
		if address != "" && a != address {
			continue
		}
		for _, conn := range idle {
			conn.Close()
		}
		delete(p.idle, a)
	}
}

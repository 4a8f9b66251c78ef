package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
	"masticturn/internal/kernel"
)

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// rawTarget starts a listener that handles each connection with f. The connections
// are numbered from 0.
func rawTarget(t *testing.T, f func(n int, conn net.Conn)) *config.TargetIndex {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				f(n, conn)
			}()
		}
	}()
	return &config.TargetIndex{Target: &config.Target{Name: "t", Address: l.Addr().String()}}
}

// soundTarget starts a target that answers every request with completeResponse and
// keeps its connections open.
func soundTarget(t *testing.T) *config.TargetIndex {
	t.Helper()
	return rawTarget(t, func(_ int, conn net.Conn) {
		br := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			fmt.Fprint(conn, completeResponse)
		}
	})
}

func newPools(t *testing.T) *Pools {
	p := NewPools(Deps{Dial: (&net.Dialer{}).DialContext, Clock: kernel.SystemClock{}, Metrics: metrics.NewSet()})
	t.Cleanup(p.Close)
	return p
}

func get(t *testing.T, p *Pools, target *config.TargetIndex, limit int, use Use) *Conn {
	t.Helper()
	c, err := p.Get(t.Context(), target, limit, use, Reach{})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// exchange sends one request and returns the body of the response.
func exchange(ctx context.Context, c *Conn, method string) (string, error) {
	req := &http.Request{Method: method, URL: &url.URL{Scheme: "http", Host: "target", Path: "/"}, Header: http.Header{}}
	resp, err := c.RoundTrip(ctx, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// waitIdle waits until the target's pool has n idle connections.
func waitIdle(t *testing.T, p *Pools, target *config.TargetIndex, n int) {
	t.Helper()
	pl := p.pool(poolKey{target.Name, target.Address})
	for t.Context().Err() == nil {
		pl.mu.Lock()
		got := len(pl.idle)
		pl.mu.Unlock()
		if got == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("the pool never had %d idle connections", n)
}

func TestConnectionIsReusedAfterCleanAnswer(t *testing.T) {
	var conns atomic.Int32
	target := rawTarget(t, func(_ int, conn net.Conn) {
		conns.Add(1)
		br := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			fmt.Fprint(conn, completeResponse)
		}
	})
	p := newPools(t)
	for range 5 {
		c := get(t, p, target, 2, UseAny)
		if body, err := exchange(t.Context(), c, "GET"); err != nil || body != "ok" {
			t.Fatal(body, err)
		}
		c.Keep()
		waitIdle(t, p, target, 1)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
	if c := get(t, p, target, 2, UseNew); c.reused {
		t.Error("a connection was reused although a new one was requested")
	}
}

// A connection on which data follows the response must not be reused, or the next
// request would get that data as its response. This covers data that has arrived
// before the next request; the forwarder detects later data by its request id.
func TestConnectionWithMoreThanWasAskedIsNeverReused(t *testing.T) {
	tests := map[string]func(conn net.Conn){
		"in one write": func(conn net.Conn) { fmt.Fprint(conn, completeResponse+completeResponse) },
		"in two writes": func(conn net.Conn) {
			fmt.Fprint(conn, completeResponse)
			fmt.Fprint(conn, completeResponse)
		},
		"a stray byte": func(conn net.Conn) { fmt.Fprint(conn, completeResponse+"H") },
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			target := rawTarget(t, func(_ int, conn net.Conn) {
				br := bufio.NewReader(conn)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				answer(conn)
				arrived <- struct{}{}
				_, _ = io.Copy(io.Discard, br)
			})
			p := newPools(t)
			for range 20 {
				c := get(t, p, target, 100, UseAny)
				if c.reused {
					t.Fatal("the connection was reused")
				}
				if _, err := exchange(t.Context(), c, "GET"); err != nil {
					t.Fatal(err)
				}
				c.Keep()
				<-arrived
			}
		})
	}
}

func TestLimitCountsIdleAndUsedConnections(t *testing.T) {
	target := rawTarget(t, func(_ int, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	p := newPools(t)
	a := get(t, p, target, 2, UseNew)
	get(t, p, target, 2, UseNew)
	if _, err := p.Get(t.Context(), target, 2, UseAny, Reach{}); !errors.Is(err, ErrLimit) {
		t.Errorf("got %v, want ErrLimit", err)
	}
	a.Drop()
	get(t, p, target, 2, UseAny)
}

func TestSealIsFinal(t *testing.T) {
	target := rawTarget(t, func(_ int, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	p := newPools(t)
	c := get(t, p, target, 1, UseNew)
	if !c.Seal() {
		t.Fatal("Seal is false although nothing was written")
	}
	if _, err := c.wire.Write([]byte("GET")); !errors.Is(err, errNoExchange) {
		t.Errorf("write after Seal: got %v, want errNoExchange", err)
	}
	c.Drop()
	c = get(t, p, target, 1, UseNew)
	if _, err := c.wire.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if c.Seal() {
		t.Error("Seal is true although a byte was written")
	}
}

func TestTargetThatLeavesTheDocumentLosesIdleConnectionsOnly(t *testing.T) {
	release := make(chan struct{})
	target := rawTarget(t, func(n int, conn net.Conn) {
		br := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if n == 1 {
				<-release
			}
			fmt.Fprint(conn, completeResponse)
		}
	})
	p := newPools(t)
	idle := get(t, p, target, 2, UseNew)
	if _, err := exchange(t.Context(), idle, "GET"); err != nil {
		t.Fatal(err)
	}
	idle.Keep()
	waitIdle(t, p, target, 1)
	busy := get(t, p, target, 2, UseNew)
	done := make(chan error, 1)
	go func() {
		_, err := exchange(context.Background(), busy, "GET")
		done <- err
	}()
	empty, err := config.NewSnapshot(2, &config.Document{})
	if err != nil {
		t.Fatal(err)
	}
	p.Adopt(empty)
	if idle.client.Err() == nil {
		t.Error("the idle connection is still open")
	}
	close(release)
	if err := <-done; err != nil {
		t.Errorf("the exchange in flight failed: %v", err)
	}
}

func TestDropIdle(t *testing.T) {
	target := soundTarget(t)
	p := newPools(t)
	c := get(t, p, target, 2, UseNew)
	if _, err := exchange(t.Context(), c, "GET"); err != nil {
		t.Fatal(err)
	}
	c.Keep()
	waitIdle(t, p, target, 1)
	p.DropIdle(target)
	if c = get(t, p, target, 2, UseAny); c.reused {
		t.Error("an idle connection was reused after DropIdle")
	}
}

func TestOldConnectionsAreNotUsed(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name             string
		opened, lastUsed time.Duration // ago
		want             bool
	}{
		{"new", 0, 0, true},
		{"idle for too long", time.Minute, defaultIdleLimit + 1, false},
		{"too old", maxAge + 1, 0, false},
	}
	for _, tt := range tests {
		c := &Conn{client: &http.ClientConn{}, openedAt: now.Add(-tt.opened), idleSince: now.Add(-tt.lastUsed), maxAge: maxAge}
		if got := c.withinAgeLimits(now, defaultIdleLimit); got != tt.want {
			t.Errorf("%s: got %v", tt.name, got)
		}
	}
}

// A request that is not repeatable reuses only connections that were in use within
// recentIdleLimit, and none for a while after a mismatched response.
func TestRecentConnections(t *testing.T) {
	target := soundTarget(t)
	tests := []struct {
		name    string
		idleFor time.Duration
		prepare func(p *Pools)
		use     Use
		reused  bool
	}{
		{"recently used", 0, nil, UseRecent, true},
		{"idle for too long", recentIdleLimit + time.Second, nil, UseRecent, false},
		{"idle for too long, repeatable request", recentIdleLimit + time.Second, nil, UseAny, true},
		{"after a mismatched response", 0, func(p *Pools) { p.RestrictReuse(target) }, UseRecent, false},
		{"after a mismatched response, repeatable request", 0, func(p *Pools) { p.RestrictReuse(target) }, UseAny, true},
	}
	for _, tt := range tests {
		p := newPools(t)
		c := get(t, p, target, 2, UseNew)
		if _, err := exchange(t.Context(), c, "GET"); err != nil {
			t.Fatal(err)
		}
		c.Keep()
		waitIdle(t, p, target, 1)
		pl := p.pool(poolKey{target.Name, target.Address})
		pl.mu.Lock()
		pl.idle[0].idleSince = pl.idle[0].idleSince.Add(-tt.idleFor)
		pl.mu.Unlock()
		if tt.prepare != nil {
			tt.prepare(p)
		}
		next := get(t, p, target, 2, tt.use)
		if next.reused != tt.reused {
			t.Errorf("%s: reused = %t", tt.name, next.reused)
		}
		if (next.ConnectTime() == 0) != tt.reused {
			t.Errorf("%s: ConnectTime = %v", tt.name, next.ConnectTime())
		}
		next.Drop()
	}
}

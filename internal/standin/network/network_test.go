package network

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/nettest"
)

var (
	near = Host{Name: "near", Zone: "a", IP: "127.0.0.1"}
	far  = Host{Name: "far", Zone: "b", IP: "127.0.0.2"}
)

// pair returns both ends of a connection from near to far.
func pair(t testing.TB, n *Network) (dialed, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", far.IP+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err = n.Dialer(near)(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return dialed, accepted
}

func newNetwork(t testing.TB, delay time.Duration) *Network {
	n := New(func(Host, Host) time.Duration { return delay })
	n.Add(near)
	n.Add(far)
	t.Cleanup(n.Close)
	return n
}

func TestConn(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			nettest.TestConn(t, func() (c1, c2 net.Conn, stop func(), err error) {
				n := newNetwork(t, delay)
				c1, c2 = pair(t, n)
				return c1, c2, func() {
					c1.Close()
					c2.Close()
					n.Close()
				}, nil
			})
		})
	}
}

// echo sends a byte there and back.
func echo(t *testing.T, dialed, accepted net.Conn) {
	t.Helper()
	b := make([]byte, 1)
	for _, step := range []func() error{
		func() error { _, err := dialed.Write([]byte("x")); return err },
		func() error { _, err := io.ReadFull(accepted, b); return err },
		func() error { _, err := accepted.Write(b); return err },
		func() error { _, err := io.ReadFull(dialed, b); return err },
	} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestDelayBothWays(t *testing.T) {
	const delay = 30 * time.Millisecond
	n := newNetwork(t, delay)
	start := time.Now()
	dialed, accepted := pair(t, n)
	echo(t, dialed, accepted)
	if took := time.Since(start); took < 4*delay {
		t.Fatalf("opening and an echo took %v, less than two round trips", took)
	}
}

func expectSilence(t *testing.T, conn net.Conn) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes, error %v; want silence", n, err)
	}
	conn.SetReadDeadline(time.Time{})
}

func TestHoldIsOneWayAndLosesNothing(t *testing.T) {
	n := newNetwork(t, 0)
	dialed, accepted := pair(t, n)
	n.Hold(near, far)
	dialed.Write([]byte("x"))
	expectSilence(t, accepted)
	accepted.Write([]byte("y"))
	b := make([]byte, 1)
	if _, err := io.ReadFull(dialed, b); err != nil || b[0] != 'y' {
		t.Fatalf("the other way: %q, %v", b, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := n.Dialer(near)(ctx, "tcp", accepted.LocalAddr().String()); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("dial over a held way: %v", err)
	}
	n.Release(near, far)
	if _, err := io.ReadFull(accepted, b); err != nil || b[0] != 'x' {
		t.Fatalf("after release: %q, %v", b, err)
	}
}

func TestSilenceIsForGoodAndSparesNewConnections(t *testing.T) {
	n := newNetwork(t, 0)
	dialed, accepted := pair(t, n)
	echo(t, dialed, accepted)
	if silenced := n.Silence(far, near); silenced != 1 {
		t.Fatalf("%d connections silenced", silenced)
	}
	dialed.Write([]byte("x"))
	expectSilence(t, accepted)
	accepted.Write([]byte("y"))
	expectSilence(t, dialed)
	dialed.Close()
	expectSilence(t, accepted) // no end is seen either
	dialed, accepted = pair(t, n)
	echo(t, dialed, accepted)
}

func TestCutResets(t *testing.T) {
	n := newNetwork(t, 0)
	dialed, accepted := pair(t, n)
	if cut := n.Cut(near, far); cut != 1 {
		t.Fatalf("%d connections cut", cut)
	}
	if _, err := dialed.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("dialer's read: %v", err)
	}
	if _, err := accepted.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("listener's read: %v", err)
	}
}

func TestDownHostIsUnreachableUntilUp(t *testing.T) {
	n := newNetwork(t, 0)
	dialed, accepted := pair(t, n)
	n.Down(far)
	if _, err := dialed.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("read from a host that is down: %v", err)
	}
	if _, err := n.Dialer(near)(context.Background(), "tcp", accepted.LocalAddr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dial to a host that is down: %v", err)
	}
	n.Up(far)
	dialed, accepted = pair(t, n)
	echo(t, dialed, accepted)
}

package network

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

var (
	hostA = Host{Name: "a", IP: "10.0.0.1"}
	hostB = Host{Name: "b", IP: "10.0.0.2"}
)

// newPair returns a network with two hosts, 10 ms apart, and a listener on the
// second one that echoes.
func newPair(t *testing.T) (*Memory, string) {
	t.Helper()
	m := NewMemory(func(Host, Host) time.Duration { return 10 * time.Millisecond })
	m.Add(hostA)
	m.Add(hostB)
	l, err := m.Listen(hostB.IP + ":0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	t.Cleanup(func() { m.End(hostB) })
	return m, l.Addr().String()
}

func TestMemoryDelaysBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, address := newPair(t)
		began := time.Now()
		c, err := m.Dialer(hostA)(t.Context(), "tcp", address)
		if err != nil || time.Since(began) != 20*time.Millisecond {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		defer c.Close()
		_, _ = c.Write([]byte("hello"))
		buf := make([]byte, 5)
		if _, err := io.ReadFull(c, buf); err != nil || string(buf) != "hello" || time.Since(began) != 40*time.Millisecond {
			t.Errorf("%q, %v after %v", buf, err, time.Since(began))
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.Read(buf); !errors.As(err, new(net.Error)) {
			t.Errorf("after the deadline: %v", err)
		}
		m.Hold(hostA, hostB)
		_, _ = c.Write([]byte("late!"))
		time.Sleep(time.Second)
		m.Release(hostA, hostB)
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.ReadFull(c, buf); err != nil || string(buf) != "late!" {
			t.Errorf("after the release: %q, %v", buf, err)
		}
	})
}

func TestMemoryEndsAndResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, address := newPair(t)
		dial := m.Dialer(hostA)
		c, err := dial(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		m.Reset(hostA, hostB)
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("a connection that was reset reads on")
		}
		c, err = dial(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		m.End(hostB)
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("when the host has ended: %v", err)
		}
		if _, err := dial(t.Context(), "tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial when the host has ended: %v", err)
		}
	})
}

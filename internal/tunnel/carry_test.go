package tunnel

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a carrier that passes a reset on as the target's clean end, as its write of a request has met it.
func TestTunnelOfAResetUnderAnUploadHasNoCleanEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, c, 32<<10)
			_, _ = io.WriteString(c, "answer")
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	f, _ := newTestFleet(t, 2, 2, echo) // in real time, as resets are the kernel's
	t.Cleanup(func() {
		for _, v := range f.vms {
			_ = v.Stop(context.Background())
			_ = v.peers.Stop(context.Background())
		}
	})
	f.refuse(f.vms[0])
	address := l.Addr().String()
	f.vms[1].loopback.Store(&address)
	for range 20 {
		c := f.mustDialTunnel(f.vms[0], 0)
		go func() { _, _ = io.Copy(c, io.LimitReader(zeros{}, 8<<20)) }()
		if got, err := io.ReadAll(c); err == nil {
			t.Errorf("%q looks like all that the target has sent", got)
		}
		_ = c.Close()
	}
}

// Guards against uploads that are cut because their target has ended its answer, but still reads.
func TestTunnelCarriesARequestAfterTheEndOfItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stop := newTestFleet(t, 1, 1, echo)
		defer stop()
		origin, stream := net.Pipe()
		conn, target := net.Pipe()
		c := &carriedTunnel{conn: conn}
		c.ended.Store(true)
		f.vms[0].limitLinger(stream)
		go func() {
			f.vms[0].copyRequests(c, stream)
			_ = conn.Close()
		}()
		const parts = 4
		go func() {
			for range parts {
				time.Sleep(lingerTimeout - time.Second)
				_, _ = io.WriteString(origin, "part")
			}
		}()
		started := time.Now()
		raw, _ := io.ReadAll(target)
		if len(raw) != parts*len("part") {
			t.Errorf("the target got %q", raw)
		}
		if took, want := time.Since(started), parts*(lingerTimeout-time.Second)+lingerTimeout; took != want {
			t.Errorf("the connection was closed after %v, want %v", took, want)
		}
	})
}

// Guards against a carrier that keeps reading an answer without end after its tunnel was closed.
func TestClosedTunnelEndsAnAnswerWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 10)
		f, stop := newTestFleet(t, 2, 2, func(c net.Conn) {
			written, _ := io.Copy(c, zeros{})
			if written > 0 {
				ended <- time.Now()
			}
		})
		defer stop()
		f.refuse(f.vms[0])
		c := f.mustDialTunnel(f.vms[0], 0)
		if _, err := io.CopyN(io.Discard, c, 1<<20); err != nil {
			t.Fatal(err)
		}
		for len(ended) > 0 { // connections of checks
			<-ended
		}
		_ = c.Close()
		closedAt := time.Now()
		if took := (<-ended).Sub(closedAt); took > 10*time.Millisecond {
			t.Errorf("the target's connection was closed after %v", took)
		}
		time.Sleep(time.Second)
		if n := f.vms[1].originsInUse.total() + f.vms[0].carriersInUse.total(); n != 0 {
			t.Errorf("%d tunnels are counted as open", n)
		}
	})
}

package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"masticturn/internal/telemetry"
)

func TestBothPeersCallOverOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := startPair(t, nil)
		defer stop()
		for range 3 {
			if err := callWithTimeout(a, "b", KindPermit, time.Second); err != nil {
				t.Fatal(err)
			}
			if err := callWithTimeout(b, "a", KindPermit, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		if p.dialCount() != 1 {
			t.Errorf("%d connections, want 1", p.dialCount())
		}
	})
}

func TestSendKeepsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeNetwork()
		a, b := p.startNetwork(t, "a", nil), p.startNetwork(t, "b", nil)
		defer stopAll(a, b)
		a.SetAddress("b", "b")
		var nextNumber atomic.Int64
		b.handlers[KindRelease] = func(_ context.Context, from string, payload []byte) (any, error) {
			var m message
			if err := Decode(payload, &m); err != nil || from != "a" || !nextNumber.CompareAndSwap(int64(m.Number), int64(m.Number)+1) {
				t.Errorf("from %s: %+v, %v; want number %d", from, m, err, nextNumber.Load())
			}
			return nil, nil
		}
		for i := range 100 {
			if err := a.Send("b", KindRelease, &message{Number: i}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if nextNumber.Load() != 100 {
			t.Errorf("%d messages arrived, want 100", nextNumber.Load())
		}
	})
}

// TestUnhandledMessagesAreLoggedOncePerKind sends one-way messages without a
// handler or with a failing one, as when two releases run side by side. Each kind
// must be logged once and the connection must stay open.
func TestUnhandledMessagesAreLoggedOncePerKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		p := newPipeNetwork()
		a := p.startNetwork(t, "a", nil)
		b := p.startNetwork(t, "b", func(o *Options) {
			o.Logger = telemetry.NewLogger(&log, telemetry.FormatJSON, logrus.InfoLevel, "b")
		})
		defer stopAll(a, b)
		a.SetAddress("b", "b")
		handled := 0
		b.handlers[KindGrant] = func(context.Context, string, []byte) (any, error) { handled++; return nil, nil }
		b.handlers[KindDemand] = func(context.Context, string, []byte) (any, error) { return nil, errors.New("cannot decode") }
		for _, kind := range []Kind{KindRelease, KindRelease, KindDemand, KindDemand, KindGrant} {
			if err := a.Send("b", kind, &message{}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if n := strings.Count(log.String(), eventUnhandledMessage.Name); n != 2 || handled != 1 {
			t.Errorf("%d log lines, %d messages handled; want 2 and 1:\n%s", n, handled, log.String())
		}
		if n := b.counters.unhandled.Get(); n != 4 {
			t.Errorf("%d unhandled messages counted, want 4", n)
		}
	})
}

func TestErrorsNameStepAndPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, stop := startPair(t, nil)
		defer stop()
		a.SetAddress("nowhere", "nowhere")
		cases := []struct {
			to      string
			kind    Kind
			step    Step
			notSent bool
		}{
			{"unknown", KindPermit, StepRoute, true},
			{"nowhere", KindPermit, StepConnect, true},
			{"b", KindDemand, StepAnswer, false},
			{"b", KindKeyOwner, StepRemote, false},
		}
		for _, c := range cases {
			err := callWithTimeout(a, c.to, c.kind, 3*time.Second)
			var e *Error
			if !errors.As(err, &e) || e.Peer != c.to || e.Step != c.step || NotSent(err) != c.notSent {
				t.Errorf("%s: got %v, want step %s", c.to, err, c.step)
			}
		}
	})
}

// TestSilentConnectionIsReplaced discards all data of an open connection in one or
// both directions. The next call must fail once the silence is detected, and the
// call after it must use a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name      string
		near, far bool
	}{{"both directions", true, true}, {"to the peer", true, false}, {"from the peer", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, a, b, stop := startPair(t, nil)
				defer stop()
				if err := callWithTimeout(a, "b", KindPermit, time.Second); err != nil {
					t.Fatal(err)
				}
				first := p.newestConn()
				first.silent.Store(c.near)
				first.remote.silent.Store(c.far)
				start := time.Now()
				err := callWithTimeout(a, "b", KindPermit, time.Hour)
				closedAsSilent := a.counters.silent.Get() + b.counters.silent.Get()
				if NotSent(err) || errors.Is(err, context.DeadlineExceeded) || closedAsSilent == 0 {
					t.Errorf("got %v, want an error after one end closes the silent connection", err)
				}
				if d := time.Since(start); d > defaultDeadAfter+2*fastSweepInterval {
					t.Errorf("silence detected after %v", d)
				}
				if err := callWithTimeout(a, "b", KindPermit, 10*time.Millisecond); err != nil {
					t.Errorf("call on a new connection: %v", err)
				}
			})
		})
	}
}

func TestNewMessagesAvoidSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, _, stop := startPair(t, nil)
		defer stop()
		_ = callWithTimeout(a, "b", KindPermit, time.Second)
		p.newestConn().silent.Store(true)
		_ = a.Send("b", KindPermit, &message{})
		time.Sleep(defaultDetachAfter + 2*fastSweepInterval)
		if err := callWithTimeout(a, "b", KindPermit, 10*time.Millisecond); err != nil {
			t.Errorf("call on a new connection: %v", err)
		}
	})
}

func TestSlowHandlerIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, _, stop := startPair(t, nil)
		defer stop()
		err := callWithTimeout(a, "b", KindDemand, 10*time.Second)
		if !errors.Is(err, context.DeadlineExceeded) || p.dialCount() != 1 {
			t.Errorf("got %v with %d connections, want the deadline with 1", err, p.dialCount())
		}
	})
}

func TestLocalPauseIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, stop := startPair(t, nil)
		defer stop()
		_ = callWithTimeout(a, "b", KindPermit, time.Second)
		l := a.link("b")
		l.mu.Lock()
		c := l.current
		c.sent, c.unackedSince = c.acked.Load()+1, time.Now()
		c.lastProgress.Store(0)
		later := time.Now().Add(time.Minute)
		err := c.check(later, time.Minute)
		l.mu.Unlock()
		if err != nil {
			t.Errorf("check after a pause: %v", err)
		}
	})
}

func TestIdleConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := startPair(t, nil)
		defer stop()
		for range 2 {
			if err := callWithTimeout(a, "b", KindPermit, time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(defaultIdleTimeout + time.Second)
			for _, l := range append(a.allLinks(), b.allLinks()...) {
				l.mu.Lock()
				if len(l.conns) != 0 {
					t.Errorf("%s still has a connection", l.net.opts.VM)
				}
				l.mu.Unlock()
			}
		}
		if p.dialCount() != 2 {
			t.Errorf("%d connections, want 2", p.dialCount())
		}
	})
}

func TestUnusedLinksAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, stop := startPair(t, nil)
		defer stop()
		for range 2 {
			if err := callWithTimeout(a, "b", KindPermit, time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(defaultIdleTimeout + time.Second)
			if n := len(a.allLinks()) + len(b.allLinks()); n != 0 {
				t.Errorf("%d links left, want 0", n)
			}
		}
	})
}

func TestSendNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeNetwork()
		l := p.listen("b") // accepts a connection and sends nothing
		a := p.startNetwork(t, "a", func(o *Options) { o.MaxQueueBytes = 1000 })
		defer stopAll(a)
		go func() { _, _ = l.Accept() }()
		a.SetAddress("b", "b")
		start := time.Now()
		var err error
		for range 100 {
			err = errors.Join(err, a.Send("b", KindRelease, &message{Text: "some text"}))
		}
		if !errors.Is(err, ErrQueueFull) || a.counters.dropped.Get() == 0 {
			t.Errorf("got %v, want ErrQueueFull", err)
		}
		if time.Since(start) != 0 {
			t.Error("Send blocked")
		}
		time.Sleep(2 * defaultDialTimeout)
		if err := a.Send("b", KindRelease, &message{}); err != nil {
			t.Errorf("Send after the backoff: %v, want a new dial", err)
		}
	})
}

func TestWriteQueueIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeNetwork()
		l := p.listen("b") // completes the handshake and reads nothing more
		a := p.startNetwork(t, "a", func(o *Options) { o.MaxQueueBytes = 1000 })
		defer stopAll(a)
		a.SetAddress("b", "b")
		go func() {
			conn, _ := l.Accept()
			_, _ = readFrame(bufio.NewReaderSize(conn, frameOverheadBytes), maxHelloBytes, nil)
			payload, _ := Encode(&hello{Version: protocolVersion, VM: "b"})
			_, _ = conn.Write(appendFrame(nil, frameHello, 0, 0, 0, payload))
		}()
		_ = a.Send("b", KindRelease, &message{})
		synctest.Wait()
		var err error
		for range 100 {
			err = errors.Join(err, a.Send("b", KindRelease, &message{Text: "some text"}))
		}
		if l := a.link("b"); l.current == nil || !errors.Is(err, ErrQueueFull) {
			t.Errorf("connected %v, got %v; want a connection and ErrQueueFull", l.current != nil, err)
		}
	})
}

func TestIdleConnectionSendsFewPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, stop := startPair(t, nil)
		defer stop()
		_ = callWithTimeout(a, "b", KindPermit, time.Second)
		time.Sleep(defaultIdleTimeout / 2)
		pings := a.counters.bytesOut[KindPing].Get() + b.counters.bytesOut[KindPing].Get()
		if pings > 2*frameOverheadBytes {
			t.Errorf("%d bytes of pings on an idle connection, want at most 2 pings", pings)
		}
	})
}

func TestBackoffLimitsDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeNetwork()
		a := p.startNetwork(t, "a", nil)
		defer stopAll(a)
		a.SetAddress("b", "b")
		for range 1000 {
			_ = a.Send("b", KindRelease, &message{})
			time.Sleep(10 * time.Millisecond)
		}
		if n := a.counters.dials.Get(); n < 5 || n > 30 {
			t.Errorf("%d dials in 10 s, want 5 to 30", n)
		}
		b := p.startNetwork(t, "b", nil)
		defer stopAll(b)
		time.Sleep(2 * defaultMaxBackoff)
		if err := callWithTimeout(a, "b", KindPermit, time.Second); err != nil {
			t.Errorf("call after b has started: %v", err)
		}
	})
}

func TestCancelReachesHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, stop := startPair(t, nil)
		defer stop()
		done := make(chan time.Time, 1)
		b.handlers[KindGrant] = func(ctx context.Context, _ string, _ []byte) (any, error) {
			<-ctx.Done()
			done <- time.Now()
			return nil, nil
		}
		start := time.Now()
		_ = callWithTimeout(a, "b", KindGrant, 100*time.Millisecond)
		if d := (<-done).Sub(start); d != 100*time.Millisecond {
			t.Errorf("canceled after %v, want 100ms", d)
		}
		go func() { _ = callWithTimeout(a, "b", KindGrant, time.Hour) }()
		time.Sleep(time.Second)
		a.link("b").closeAll(ErrClosed)
		<-done // closing the connection cancels the call, too
	})
}

func TestSimultaneousDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := startPair(t, nil)
		defer stop()
		p.dialDelay = 10 * time.Millisecond
		errs := make(chan error, 2)
		go func() { errs <- callWithTimeout(a, "b", KindPermit, time.Second) }()
		go func() { errs <- callWithTimeout(b, "a", KindPermit, time.Second) }()
		if err := errors.Join(<-errs, <-errs); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if p.dialCount() != 2 {
			t.Fatalf("%d dials, want 2", p.dialCount())
		}
		for range 200 {
			_ = callWithTimeout(a, "b", KindPermit, time.Second)
			_ = callWithTimeout(b, "a", KindPermit, time.Second)
			time.Sleep(time.Second)
		}
		l := a.link("b")
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.conns) != 1 {
			t.Errorf("%d connections left, want 1", len(l.conns))
		}
	})
}

func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := startPair(t, nil)
		defer stop()
		_ = callWithTimeout(a, "b", KindPermit, time.Second)
		raw, err := p.dial(context.Background(), "tcp", "b")
		if err != nil {
			t.Fatal(err)
		}
		payload, _ := Encode(&hello{Version: protocolVersion, VM: "x"})
		_, _ = raw.Write(appendFrame(nil, frameHello, 0, 0, 0, payload))
		_, _ = readFrame(bufio.NewReader(raw), maxHelloBytes, nil)
		_, _ = raw.Write(appendFrame(nil, frameSend, KindPermit, 0, 0, []byte{0xdd, 0xff, 0xff, 0xff, 0xff}))
		synctest.Wait()
		if b.counters.malformed.Get() != 1 {
			t.Error("the malformed frame was not counted")
		}
		if _, err := raw.Write([]byte{0}); err == nil {
			t.Error("the connection that sent the malformed frame is still open")
		}
		if err := callWithTimeout(a, "b", KindPermit, time.Second); err != nil || p.dialCount() != 2 {
			t.Errorf("call on the other connection: %v, %d dials; want 2 dials", err, p.dialCount())
		}
	})
}

func TestInvalidHelloIsRefused(t *testing.T) {
	cases := map[string]hello{
		"version":  {Version: protocolVersion + 1, VM: "x"},
		"no name":  {Version: protocolVersion},
		"other VM": {Version: protocolVersion, VM: "x", Expected: "c"},
	}
	for name, h := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _, b, stop := startPair(t, nil)
				defer stop()
				raw, _ := p.dial(context.Background(), "tcp", "b")
				payload, _ := Encode(&h)
				_, _ = raw.Write(appendFrame(nil, frameHello, 0, 0, 0, payload))
				synctest.Wait()
				if b.counters.refused.Get() != 1 {
					t.Error("hello was not refused")
				}
			})
		})
	}
}

func TestCallByAddressWhenVMIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeNetwork()
		a, b := p.startNetwork(t, "a", nil), p.startNetwork(t, "b", nil)
		defer stopAll(a, b)
		c := newPipeNetwork()
		c.listeners["10.0.0.1:7000"] = p.listeners["b"]
		a.opts.DialContext = func(ctx context.Context, n, address string) (net.Conn, error) { return c.dial(ctx, n, address) }
		a.SetAddress("10.0.0.1:7000", "10.0.0.1:7000")
		if err := callWithTimeout(a, "10.0.0.1:7000", KindPermit, time.Second); err != nil {
			t.Error(err)
		}
		a.SetAddress("c", "10.0.0.1:7000")
		if err := callWithTimeout(a, "c", KindPermit, time.Second); !NotSent(err) || b.counters.refused.Get() != 1 {
			t.Errorf("got %v, want b to refuse a connection meant for c", err)
		}
	})
}

// TestBothEndsPreferTheSameConnection checks that after simultaneous dials both ends
// keep the same connection, in whichever order the two connections are attached.
func TestBothEndsPreferTheSameConnection(t *testing.T) {
	now := time.Now()
	keepsDialed := func(vm, remote string, ownIsNewer bool) bool {
		l := newLink(&TCP{opts: Options{VM: vm, DialTimeout: time.Second}}, remote, "")
		own, other := &conn{remote: remote, dialed: true, since: now}, &conn{remote: remote, since: now}
		newer := other
		l.current = own
		if ownIsNewer {
			newer, l.current = own, other
		}
		return l.prefers(newer) == ownIsNewer
	}
	for _, newer := range []bool{true, false} {
		if !keepsDialed("a", "b", newer) || keepsDialed("b", "a", newer) {
			t.Errorf("dialed connection is newer: %v; want both ends to keep the connection that a dialed", newer)
		}
	}
	l := newLink(&TCP{opts: Options{VM: "a", DialTimeout: time.Second}}, "b", "")
	l.current = &conn{remote: "b", dialed: true, since: now}
	if !l.prefers(&conn{remote: "b", since: now.Add(time.Minute)}) {
		t.Error("a later connection from the peer must replace the current one")
	}
}

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

func TestCallBothWaysOnOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := pairOf(t, nil)
		defer stop()
		for range 3 {
			if err := ask(a, "b", KindPermit, time.Second); err != nil {
				t.Fatal(err)
			}
			if err := ask(b, "a", KindPermit, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		if p.dials() != 1 {
			t.Errorf("%d connections, want 1", p.dials())
		}
	})
}

func TestSendKeepsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		a, b := p.start(t, "a", nil), p.start(t, "b", nil)
		defer stopAll(a, b)
		a.SetAddress("b", "b")
		var next atomic.Int64
		b.handlers[KindRelease] = func(_ context.Context, from string, payload []byte) (any, error) {
			var m message
			if err := Decode(payload, &m); err != nil || from != "a" || !next.CompareAndSwap(int64(m.Number), int64(m.Number)+1) {
				t.Errorf("from %s: %+v, %v; want number %d", from, m, err, next.Load())
			}
			return nil, nil
		}
		for i := range 100 {
			if err := a.Send("b", KindRelease, &message{Number: i}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if next.Load() != 100 {
			t.Errorf("%d messages arrived, want 100", next.Load())
		}
	})
}

// A one-way message of a kind or form that is not known is told once for each
// kind, and the connection goes on.
func TestMessagesOfAnotherReleaseAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		p := newPipes()
		a := p.start(t, "a", nil)
		b := p.start(t, "b", func(o *Options) {
			o.Logger = telemetry.NewLogger(&log, telemetry.FormatJSON, logrus.InfoLevel, "b")
		})
		defer stopAll(a, b)
		a.SetAddress("b", "b")
		got := 0
		b.handlers[KindGrant] = func(context.Context, string, []byte) (any, error) { got++; return nil, nil }
		b.handlers[KindDemand] = func(context.Context, string, []byte) (any, error) { return nil, errors.New("another form") }
		for _, kind := range []Kind{KindRelease, KindRelease, KindDemand, KindDemand, KindGrant} {
			if err := a.Send("b", kind, &message{}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if n := strings.Count(log.String(), eventUnread.Name); n != 2 || got != 1 {
			t.Errorf("%d lines, %d messages handled:\n%s", n, got, log.String())
		}
		if n := b.meters.unread.Get(); n != 4 {
			t.Errorf("%d messages are counted, want 4", n)
		}
	})
}

func TestErrorsNameStepAndPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, stop := pairOf(t, nil)
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
			err := ask(a, c.to, c.kind, 3*time.Second)
			var e *Error
			if !errors.As(err, &e) || e.Peer != c.to || e.Step != c.step || NotSent(err) != c.notSent {
				t.Errorf("%s: got %v, want step %s", c.to, err, c.step)
			}
		}
	})
}

// TestSilentConnectionIsReplaced lets a connection go silent in one or both
// ways while calls are made at a steady pace.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name      string
		near, far bool
	}{{"both ways", true, true}, {"to the peer", true, false}, {"from the peer", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, a, b, stop := pairOf(t, nil)
				defer stop()
				if err := ask(a, "b", KindPermit, time.Second); err != nil {
					t.Fatal(err)
				}
				first := p.last()
				first.silent.Store(c.near)
				first.other.silent.Store(c.far)
				start := time.Now()
				err := ask(a, "b", KindPermit, time.Hour)
				found := a.meters.silent.Get() + b.meters.silent.Get()
				if NotSent(err) || errors.Is(err, context.DeadlineExceeded) || found == 0 {
					t.Errorf("got %v, want that one end finds the connection silent", err)
				}
				if d := time.Since(start); d > defaultDeadAfter+2*sweepInterval {
					t.Errorf("found after %v", d)
				}
				if err := ask(a, "b", KindPermit, 10*time.Millisecond); err != nil {
					t.Errorf("a new connection: %v", err)
				}
			})
		})
	}
}

func TestNewMessagesLeaveASilentConnectionEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, _, stop := pairOf(t, nil)
		defer stop()
		_ = ask(a, "b", KindPermit, time.Second)
		p.last().silent.Store(true)
		_ = a.Send("b", KindPermit, &message{})
		time.Sleep(defaultDetachAfter + 2*sweepInterval)
		if err := ask(a, "b", KindPermit, 10*time.Millisecond); err != nil {
			t.Errorf("a new connection: %v", err)
		}
	})
}

func TestSlowHandlerIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, _, stop := pairOf(t, nil)
		defer stop()
		err := ask(a, "b", KindDemand, 10*time.Second)
		if !errors.Is(err, context.DeadlineExceeded) || p.dials() != 1 {
			t.Errorf("got %v over %d connections, want the deadline over one", err, p.dials())
		}
	})
}

func TestPauseOfThisProcessIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, stop := pairOf(t, nil)
		defer stop()
		_ = ask(a, "b", KindPermit, time.Second)
		l := a.link("b")
		l.mu.Lock()
		c := l.current
		c.sent, c.unackedSince = c.acked.Load()+1, time.Now()
		c.progress.Store(0)
		later := time.Now().Add(time.Minute)
		err := c.check(later, time.Minute)
		l.mu.Unlock()
		if err != nil {
			t.Errorf("after a pause: %v", err)
		}
	})
}

func TestIdleConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := pairOf(t, nil)
		defer stop()
		for range 2 {
			if err := ask(a, "b", KindPermit, time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(defaultIdleTimeout + time.Second)
			for _, l := range append(a.snapshot(), b.snapshot()...) {
				l.mu.Lock()
				if len(l.conns) != 0 {
					t.Errorf("%s still holds a connection", l.net.opts.VM)
				}
				l.mu.Unlock()
			}
		}
		if p.dials() != 2 {
			t.Errorf("%d connections, want 2", p.dials())
		}
	})
}

func TestUnusedLinksAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, stop := pairOf(t, nil)
		defer stop()
		for range 2 {
			if err := ask(a, "b", KindPermit, time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(defaultIdleTimeout + time.Second)
			if n := len(a.snapshot()) + len(b.snapshot()); n != 0 {
				t.Errorf("%d links are kept, want none", n)
			}
		}
	})
}

func TestSendNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		l := p.listen("b") // accepts, and never says a word
		a := p.start(t, "a", func(o *Options) { o.MaxQueueBytes = 1000 })
		defer stopAll(a)
		go func() { _, _ = l.Accept() }()
		a.SetAddress("b", "b")
		start := time.Now()
		var err error
		for range 100 {
			err = errors.Join(err, a.Send("b", KindRelease, &message{Text: "some text"}))
		}
		if !errors.Is(err, ErrQueueFull) || a.meters.dropped.Get() == 0 {
			t.Errorf("got %v, want a full queue", err)
		}
		if time.Since(start) != 0 {
			t.Error("Send took time")
		}
		time.Sleep(2 * defaultDialTimeout)
		if err := a.Send("b", KindRelease, &message{}); err != nil {
			t.Errorf("after the backoff: %v, want another dial", err)
		}
	})
}

func TestQueueOfAStuckConnectionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		l := p.listen("b") // says hello, and reads nothing more
		a := p.start(t, "a", func(o *Options) { o.MaxQueueBytes = 1000 })
		defer stopAll(a)
		a.SetAddress("b", "b")
		go func() {
			conn, _ := l.Accept()
			_, _ = readFrame(bufio.NewReaderSize(conn, frameBytes), maxHelloBytes)
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
			t.Errorf("connected %v, got %v; want a full queue of a connection", l.current != nil, err)
		}
	})
}

func TestIdleConnectionIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, stop := pairOf(t, nil)
		defer stop()
		_ = ask(a, "b", KindPermit, time.Second)
		time.Sleep(defaultIdleTimeout / 2)
		pings := a.meters.out[KindPing].Get() + b.meters.out[KindPing].Get()
		if pings > 2*frameBytes {
			t.Errorf("%d bytes of pings on an idle connection", pings)
		}
	})
}

func TestBackoffBoundsDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		a := p.start(t, "a", nil)
		defer stopAll(a)
		a.SetAddress("b", "b")
		for range 1000 {
			_ = a.Send("b", KindRelease, &message{})
			time.Sleep(10 * time.Millisecond)
		}
		if n := a.meters.dials.Get(); n < 5 || n > 30 {
			t.Errorf("%d dials in 10 s", n)
		}
		b := p.start(t, "b", nil)
		defer stopAll(b)
		time.Sleep(2 * defaultMaxBackoff)
		if err := ask(a, "b", KindPermit, time.Second); err != nil {
			t.Errorf("after b came back: %v", err)
		}
	})
}

func TestCancelReachesHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, stop := pairOf(t, nil)
		defer stop()
		done := make(chan time.Time, 1)
		b.handlers[KindGrant] = func(ctx context.Context, _ string, _ []byte) (any, error) {
			<-ctx.Done()
			done <- time.Now()
			return nil, nil
		}
		start := time.Now()
		_ = ask(a, "b", KindGrant, 100*time.Millisecond)
		if d := (<-done).Sub(start); d != 100*time.Millisecond {
			t.Errorf("canceled after %v", d)
		}
		go func() { _ = ask(a, "b", KindGrant, time.Hour) }()
		time.Sleep(time.Second)
		a.link("b").closeAll(ErrClosed)
		<-done // the end of the connection cancels as well
	})
}

func TestBothDialAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := pairOf(t, nil)
		defer stop()
		p.delay = 10 * time.Millisecond
		errs := make(chan error, 2)
		go func() { errs <- ask(a, "b", KindPermit, time.Second) }()
		go func() { errs <- ask(b, "a", KindPermit, time.Second) }()
		if err := errors.Join(<-errs, <-errs); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if p.dials() != 2 {
			t.Fatalf("%d dials, want that both dialed", p.dials())
		}
		for range 200 {
			_ = ask(a, "b", KindPermit, time.Second)
			_ = ask(b, "a", KindPermit, time.Second)
			time.Sleep(time.Second)
		}
		l := a.link("b")
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.conns) != 1 {
			t.Errorf("%d connections are kept, want 1", len(l.conns))
		}
	})
}

func TestMalformedFrameCostsItsConnectionOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := pairOf(t, nil)
		defer stop()
		_ = ask(a, "b", KindPermit, time.Second)
		raw, err := p.dial(context.Background(), "tcp", "b")
		if err != nil {
			t.Fatal(err)
		}
		payload, _ := Encode(&hello{Version: protocolVersion, VM: "x"})
		_, _ = raw.Write(appendFrame(nil, frameHello, 0, 0, 0, payload))
		_, _ = readFrame(bufio.NewReader(raw), maxHelloBytes)
		_, _ = raw.Write(appendFrame(nil, frameSend, KindPermit, 0, 0, []byte{0xdd, 0xff, 0xff, 0xff, 0xff}))
		synctest.Wait()
		if b.meters.bad.Get() != 1 {
			t.Error("the malformed frame is not counted")
		}
		if _, err := raw.Write([]byte{0}); err == nil {
			t.Error("the connection of the malformed frame stands")
		}
		if err := ask(a, "b", KindPermit, time.Second); err != nil || p.dials() != 2 {
			t.Errorf("the other connection: %v, %d dials", err, p.dials())
		}
	})
}

func TestHelloRefuses(t *testing.T) {
	cases := map[string]hello{
		"version":  {Version: protocolVersion + 1, VM: "x"},
		"no name":  {Version: protocolVersion},
		"other VM": {Version: protocolVersion, VM: "x", Expected: "c"},
	}
	for name, h := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _, b, stop := pairOf(t, nil)
				defer stop()
				raw, _ := p.dial(context.Background(), "tcp", "b")
				payload, _ := Encode(&h)
				_, _ = raw.Write(appendFrame(nil, frameHello, 0, 0, 0, payload))
				synctest.Wait()
				if b.meters.refused.Get() != 1 {
					t.Error("not refused")
				}
			})
		})
	}
}

func TestAddressOfAnUnknownVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipes()
		a, b := p.start(t, "a", nil), p.start(t, "b", nil)
		defer stopAll(a, b)
		c := newPipes()
		c.listeners["10.0.0.1:7000"] = p.listeners["b"]
		a.opts.DialContext = func(ctx context.Context, n, address string) (net.Conn, error) { return c.dial(ctx, n, address) }
		a.SetAddress("10.0.0.1:7000", "10.0.0.1:7000")
		if err := ask(a, "10.0.0.1:7000", KindPermit, time.Second); err != nil {
			t.Error(err)
		}
		a.SetAddress("c", "10.0.0.1:7000")
		if err := ask(a, "c", KindPermit, time.Second); !NotSent(err) || b.meters.refused.Get() != 1 {
			t.Errorf("got %v, want that b refuses what is meant for c", err)
		}
	})
}

// TestBothEndsPreferTheSameConnection: whichever of two connections comes
// last at each end, both ends keep the same one.
func TestBothEndsPreferTheSameConnection(t *testing.T) {
	now := time.Now()
	keepsOwn := func(vm, remote string, ownIsNewer bool) bool {
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
		if !keepsOwn("a", "b", newer) || keepsOwn("b", "a", newer) {
			t.Errorf("own newer %v: the connection that a dialed is not kept by both", newer)
		}
	}
	l := newLink(&TCP{opts: Options{VM: "a", DialTimeout: time.Second}}, "b", "")
	l.current = &conn{remote: "b", dialed: true, since: now}
	if !l.prefers(&conn{remote: "b", since: now.Add(time.Minute)}) {
		t.Error("a peer that dials again later is not followed")
	}
}

package peer

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// slowLinkBytesPerSecond is the rate of a link on which largeText takes several times DeadAfter.
const slowLinkBytesPerSecond = 100_000

// largeText is the text of a large message.
var largeText = strings.Repeat("0123456789", 40_000)

// startSlowPair starts two networks with an open connection between them whose rate is limited in both directions.
// b answers calls of KindGrant with largeText.
func startSlowPair(t *testing.T) (p *pipeNetwork, a, b *TCP, stop func()) {
	p, a, b, stop = startPair(t, nil)
	b.Handle(KindGrant, func(context.Context, string, []byte) (any, error) { return &message{Text: largeText}, nil })
	if err := callWithTimeout(a, "b", KindPermit, time.Second); err != nil {
		t.Fatal(err)
	}
	p.newestConn().bytesPerSecond.Store(slowLinkBytesPerSecond)
	p.newestConn().remote.bytesPerSecond.Store(slowLinkBytesPerSecond)
	return p, a, b, stop
}

func TestLargeResponseOverASlowLinkKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, _, stop := startSlowPair(t)
		defer stop()
		if err := callWithTimeout(a, "b", KindGrant, time.Minute); err != nil {
			t.Errorf("call: %v", err)
		}
		if p.dialCount() != 1 {
			t.Errorf("%d connections, want 1", p.dialCount())
		}
	})
}

func TestLargeMessageOverASlowLinkKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := startSlowPair(t)
		defer stop()
		var received atomic.Int64
		b.handlers[KindRelease] = func(_ context.Context, _ string, payload []byte) (any, error) {
			received.Add(int64(len(payload)))
			return nil, nil
		}
		if err := a.Send("b", KindRelease, &message{Text: largeText}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if received.Load() < int64(len(largeText)) || p.dialCount() != 1 {
			t.Errorf("%d bytes received over %d connections, want the message over 1", received.Load(), p.dialCount())
		}
	})
}

func TestSilenceWithinALargeFrameIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, _, stop := startSlowPair(t)
		defer stop()
		conn := p.newestConn()
		time.AfterFunc(1500*time.Millisecond, func() {
			conn.silent.Store(true)
			conn.remote.silent.Store(true)
		})
		start := time.Now()
		err := callWithTimeout(a, "b", KindGrant, time.Minute)
		if took := time.Since(start); !errors.Is(err, ErrSilent) || took > 1500*time.Millisecond+2*defaultDeadAfter {
			t.Errorf("got %v after %v, want %v", err, took, ErrSilent)
		}
	})
}

// A peer that no longer receives anything must be found silent although its own messages keep arriving.
func TestSilenceIsDetectedWhileLargeFramesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, a, b, stop := startSlowPair(t)
		defer stop()
		a.handlers[KindRelease] = func(context.Context, string, []byte) (any, error) { return nil, nil }
		stopSending := make(chan struct{})
		defer close(stopSending)
		go func() {
			for {
				select {
				case <-stopSending:
					return
				case <-time.After(time.Second):
					_ = b.Send("a", KindRelease, &message{Text: largeText[:100_000]})
				}
			}
		}()
		p.newestConn().silent.Store(true) // from a to b
		start := time.Now()
		err := callWithTimeout(a, "b", KindPermit, time.Minute)
		if took := time.Since(start); !errors.Is(err, ErrSilent) || took > 5*defaultDeadAfter {
			t.Errorf("got %v after %v, want %v", err, took, ErrSilent)
		}
	})
}

// A response that is being received when the call's deadline passes must not be given up: the caller would
// have to request all of it again.
func TestDeadlineDoesNotEndAResponseThatIsArriving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, stop := startSlowPair(t)
		defer stop()
		if err := callWithTimeout(a, "b", KindGrant, 2*time.Second); err != nil {
			t.Errorf("call: %v", err)
		}
	})
}

package peertest

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"masticturn/internal/peer"
)

type message struct {
	Text string
}

// recorder records the texts of received messages.
type recorder struct {
	mu    sync.Mutex
	texts []string
}

func (r *recorder) add(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.texts = append(r.texts, s)
}

func (r *recorder) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.texts)
}

// echo returns a handler that records each message and returns it. It fails on the
// text "fail".
func echo(got *recorder) peer.Handler {
	return func(_ context.Context, _ string, payload []byte) (any, error) {
		var m message
		if err := peer.Decode(payload, &m); err != nil {
			return nil, err
		}
		got.add(m.Text)
		if m.Text == "fail" {
			return nil, errors.New("requested failure")
		}
		return &m, nil
	}
}

func TestSendAndCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(1)
		a, b := hub.Network("a"), hub.Network("b")
		var got recorder
		b.Handle(peer.KindPermit, echo(&got))
		hub.SetFault("a", "b", Fault{Delay: 10 * time.Millisecond, Duplicate: 1})
		start := time.Now()
		_ = a.Send("b", peer.KindPermit, &message{Text: "one"})
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		if got.len() != 2 {
			t.Fatalf("got %d messages, want 2", got.len())
		}
		var resp message
		if err := a.Call(context.Background(), "b", peer.KindPermit, &message{Text: "two"}, &resp); err != nil || resp.Text != "two" {
			t.Fatalf("call: %v %v", resp, err)
		}
		if d := time.Since(start); d != 20*time.Millisecond {
			t.Errorf("took %v, want twice the delay", d)
		}
		err := a.Call(context.Background(), "b", peer.KindPermit, &message{Text: "fail"}, nil)
		var remote *peer.RemoteError
		if !errors.As(err, &remote) {
			t.Errorf("got %v, want a RemoteError", err)
		}
		time.Sleep(time.Second)
	})
}

func TestOneWayPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(1)
		a, b := hub.Network("a"), hub.Network("b")
		var got recorder
		b.Handle(peer.KindPermit, echo(&got))
		hub.SetFault("b", "a", Fault{Partition: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := a.Call(ctx, "b", peer.KindPermit, &message{Text: "lost response"}, nil)
		if !errors.Is(err, context.DeadlineExceeded) || got.len() != 1 {
			t.Fatalf("got error %v and %d handled requests, want a lost response to 1 handled request", err, got.len())
		}
		hub.Heal()
		if err := a.Call(context.Background(), "b", peer.KindPermit, &message{Text: "x"}, nil); err != nil {
			t.Error(err)
		}
	})
}

func TestPauseDelaysMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(1)
		a, b := hub.Network("a"), hub.Network("b")
		var got recorder
		b.Handle(peer.KindPermit, echo(&got))
		hub.Pause("b")
		_ = a.Send("b", peer.KindPermit, &message{Text: "delayed"})
		time.Sleep(time.Minute)
		if got.len() != 0 {
			t.Fatal("delivered to a paused VM")
		}
		hub.Resume("b")
		time.Sleep(time.Second)
		if got.len() != 1 {
			t.Fatal("not delivered after Resume")
		}
	})
}

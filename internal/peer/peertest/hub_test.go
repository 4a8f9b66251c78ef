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

type text struct {
	Text string
}

// record holds the texts that arrived.
type record struct {
	mu    sync.Mutex
	texts []string
}

func (r *record) add(s string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.texts = append(r.texts, s)
}

func (r *record) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.texts)
}

// echo answers calls and records all messages.
func echo(got *record) peer.Handler {
	return func(_ context.Context, _ string, payload []byte) (any, error) {
		var m text
		if err := peer.Decode(payload, &m); err != nil {
			return nil, err
		}
		got.add(m.Text)
		if m.Text == "fail" {
			return nil, errors.New("failed as asked")
		}
		return &m, nil
	}
}

func TestSendAndCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(1)
		a, b := hub.Network("a"), hub.Network("b")
		var got record
		b.Handle(peer.KindPermit, echo(&got))
		hub.SetFault("a", "b", Fault{Delay: 10 * time.Millisecond, Duplicate: 1})
		start := time.Now()
		_ = a.Send("b", peer.KindPermit, &text{Text: "one"})
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		if got.len() != 2 {
			t.Fatalf("got %d messages, want the message twice", got.len())
		}
		var answer text
		if err := a.Call(context.Background(), "b", peer.KindPermit, &text{Text: "two"}, &answer); err != nil || answer.Text != "two" {
			t.Fatalf("call: %v %v", answer, err)
		}
		if d := time.Since(start); d != 20*time.Millisecond {
			t.Errorf("took %v, want the delay twice", d)
		}
		err := a.Call(context.Background(), "b", peer.KindPermit, &text{Text: "fail"}, nil)
		var remote *peer.RemoteError
		if !errors.As(err, &remote) {
			t.Errorf("got %v, want a remote error", err)
		}
		time.Sleep(time.Second)
	})
}

func TestCutOneWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(1)
		a, b := hub.Network("a"), hub.Network("b")
		var got record
		b.Handle(peer.KindPermit, echo(&got))
		hub.SetFault("b", "a", Fault{Cut: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := a.Call(ctx, "b", peer.KindPermit, &text{Text: "lost answer"}, nil)
		if !errors.Is(err, context.DeadlineExceeded) || got.len() != 1 {
			t.Fatalf("got %v, %d: want the answer lost, the request handled", err, got.len())
		}
		hub.Heal()
		if err := a.Call(context.Background(), "b", peer.KindPermit, &text{Text: "x"}, nil); err != nil {
			t.Error(err)
		}
	})
}

func TestPauseHoldsMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(1)
		a, b := hub.Network("a"), hub.Network("b")
		var got record
		b.Handle(peer.KindPermit, echo(&got))
		hub.Pause("b")
		_ = a.Send("b", peer.KindPermit, &text{Text: "held"})
		time.Sleep(time.Minute)
		if got.len() != 0 {
			t.Fatal("delivered to a paused VM")
		}
		hub.Resume("b")
		time.Sleep(time.Second)
		if got.len() != 1 {
			t.Fatal("not delivered after the pause")
		}
	})
}

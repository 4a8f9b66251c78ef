package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// streamGreeting is the request and the response of streams under test.
type streamGreeting struct{ Text string }

// echoStreams accepts streams that say "hello" and echoes their bytes.
func echoStreams(ended chan<- struct{}) StreamHandler {
	return func(_ context.Context, from StreamPeer, request []byte) (any, func(net.Conn)) {
		var g streamGreeting
		if err := Decode(request, &g); err != nil || g.Text != "hello" {
			return &streamGreeting{"no"}, nil
		}
		return &streamGreeting{"hello " + from.VM}, func(conn net.Conn) {
			defer close(ended)
			defer conn.Close()
			_, _ = io.Copy(conn, conn)
		}
	}
}

func TestStreamCarriesBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeNetwork()
		a, b := p.startNetwork(t, "a", nil), p.startNetwork(t, "b", nil)
		defer stopAll(a, b)
		a.SetAddress("b", "b")
		ended := make(chan struct{})
		b.HandleStreams(echoStreams(ended))
		var response streamGreeting
		conn, err := a.OpenStream(t.Context(), "b", &streamGreeting{"hello"}, &response)
		if err != nil || response.Text != "hello a" {
			t.Fatalf("%+v, %v", response, err)
		}
		time.Sleep(time.Minute) // longer than any timeout of the handshake
		go func() { _, _ = io.WriteString(conn, "bytes") }()
		got := make([]byte, 5)
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != "bytes" {
			t.Errorf("%q, %v", got, err)
		}
		_ = conn.Close()
		<-ended
	})
}

func TestStreamsThatAreNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeNetwork()
		a, b, c := p.startNetwork(t, "a", nil), p.startNetwork(t, "b", nil), p.startNetwork(t, "c", nil)
		defer stopAll(a, b, c)
		a.SetAddress("b", "b")
		a.SetAddress("c", "c")
		b.HandleStreams(echoStreams(make(chan struct{})))
		var response streamGreeting
		conn, err := a.OpenStream(t.Context(), "b", &streamGreeting{"bye"}, &response)
		if err != nil || response.Text != "no" {
			t.Errorf("a request that is rejected: %+v, %v", response, err)
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("a rejected stream stays open")
		}
		_ = conn.Close()
		if _, err := a.OpenStream(t.Context(), "c", &streamGreeting{"hello"}, &response); err == nil {
			t.Error("a VM without a handler accepts a stream")
		}
		if _, err := a.OpenStream(t.Context(), "nobody", &streamGreeting{"hello"}, &response); !errors.Is(err, ErrNoRoute) {
			t.Errorf("an unknown VM: %v", err)
		}
	})
}

// A VM that does not answer must not hold a request beyond its context.
func TestStreamToASilentVMEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeNetwork()
		a, b := p.startNetwork(t, "a", nil), p.startNetwork(t, "b", nil)
		defer stopAll(a, b)
		a.SetAddress("b", "b")
		b.HandleStreams(func(ctx context.Context, _ StreamPeer, _ []byte) (any, func(net.Conn)) {
			<-ctx.Done()
			return &streamGreeting{}, nil
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		var response streamGreeting
		if _, err := a.OpenStream(ctx, "b", &streamGreeting{"hello"}, &response); err == nil || time.Since(began) > 200*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}

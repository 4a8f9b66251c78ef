package targetconn

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
)

// newWire returns a wire with an exchange begun, the target's end of its pipe, and
// the number of calls of onIdle.
func newWire(t *testing.T) (w *wire, target net.Conn, idleCalls *int) {
	t.Helper()
	near, far := net.Pipe()
	idleCalls = new(int)
	w = &wire{Conn: near, closed: make(chan struct{}), onIdle: func() { *idleCalls++ }, onClose: func() {}}
	if !w.beginExchange() {
		t.Fatal("a new wire can't begin an exchange")
	}
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return w, far, idleCalls
}

func TestWireIsIdleOnceReaderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, idleCalls := newWire(t)
		w.endExchange()
		if *idleCalls != 0 || w.beginExchange() {
			t.Fatal("an exchange could begin although the reader may have buffered more data")
		}
		go func() { _, _ = w.Read(make([]byte, 1)) }()
		synctest.Wait()
		if *idleCalls != 1 || !w.beginExchange() {
			t.Error("no exchange could begin although the reader waits for data")
		}
		_ = w.Conn.Close()
	})
}

func TestWireDropsBytesNobodyAskedFor(t *testing.T) {
	tests := map[string]func(w *wire){
		"between exchanges":        func(w *wire) { w.endExchange() },
		"before the next request":  func(w *wire) { w.endExchange(); w.beginExchange() },
		"before the first request": func(*wire) {},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, target, _ := newWire(t)
				var n int
				var err error
				go func() { n, err = w.Read(make([]byte, 10)) }()
				synctest.Wait()
				prepare(w)
				_, _ = target.Write([]byte("HTTP/1.1"))
				synctest.Wait()
				if n != 0 || !errors.Is(err, errUnsolicited) {
					t.Errorf("read %d bytes, error %v", n, err)
				}
				if w.beginExchange() {
					t.Error("an exchange could begin after unsolicited data")
				}
			})
		})
	}
}

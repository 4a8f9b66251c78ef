package targetconn

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
)

// newWire returns a wire in an exchange over a pipe, and the target's end.
func newWire(t *testing.T) (w *wire, target net.Conn, quiet *int) {
	t.Helper()
	near, far := net.Pipe()
	quiet = new(int)
	w = &wire{Conn: near, quiet: func() { *quiet++ }, closed: func() {}}
	if !w.begin() {
		t.Fatal("a new wire can't begin")
	}
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return w, far, quiet
}

func TestWireIsQuietOnlyWhenTheReaderCameBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _, quiet := newWire(t)
		w.settle()
		if *quiet != 0 || w.begin() {
			t.Fatal("the wire is in use again though its reader may hold more bytes")
		}
		go func() { _, _ = w.Read(make([]byte, 1)) }()
		synctest.Wait()
		if *quiet != 1 || !w.begin() {
			t.Error("the wire stays unused though its reader waits for bytes")
		}
		_ = w.Conn.Close()
	})
}

func TestWireDropsBytesNobodyAskedFor(t *testing.T) {
	tests := map[string]func(w *wire){
		"between exchanges":       func(w *wire) { w.settle() },
		"before the next request": func(w *wire) { w.settle(); w.begin() },
		"before the first one":    func(*wire) {},
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
				if w.begin() {
					t.Error("the wire is used on")
				}
			})
		})
	}
}

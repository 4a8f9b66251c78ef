package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"masticturn/internal/telemetry"
)

// slowReader reads with a pause before each part.
type slowReader struct{ r io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return s.r.Read(p[:min(len(p), bufferBytes)])
}

// A target that sends its answer in slow parts, and a caller that reads it in
// slow parts, get it whole, as long as no pause is too long.
func TestSlowPartsArriveWhole(t *testing.T) {
	part := strings.Repeat("x", bufferBytes)
	const parts = 10
	address := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		for range parts {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	})
	b := newBench(t, oneAttempt(address), nil, telemetry.Discard())
	resp, err := b.client.Get(b.URL + "/svc/a")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, slowReader{resp.Body})
	if err != nil || n != parts*int64(len(part)) {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// A caller whose connection ends in the middle of a body that is kept whole
// before it is sent: no target sees the request, and no slot is taken.
func TestCallerThatBreaksOffItsBodyIsNotRun(t *testing.T) {
	target := newScripted(t)
	target.set(whole(okAnswer))
	b := newBench(t, document(target.address), nil, telemetry.Discard())
	conn, err := net.Dial("tcp", b.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhello")
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn) // until it is given up
	_ = conn.Close()
	held := b.heldPermits()
	if begun, _ := target.counts(); begun != 0 || held != 0 || b.admission.requests != 0 {
		t.Errorf("the target saw it %d times, %d slots were asked for, %d are held", begun, b.admission.requests, held)
	}
}

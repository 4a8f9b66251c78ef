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

// slowReader pauses before each read.
type slowReader struct{ r io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return s.r.Read(p[:min(len(p), relayBufferBytes)])
}

// A response that is sent and read slowly is relayed completely, as long as no pause
// exceeds the idle timeout.
func TestSlowPartsArriveWhole(t *testing.T) {
	part := strings.Repeat("x", relayBufferBytes)
	const parts = 10
	address := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		for range parts {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	})
	b := newTestProxy(t, singleAttemptDocument(address), nil, telemetry.Discard())
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

// If the caller disconnects in the middle of a small body, which is buffered first, no
// slot is acquired and no target gets the request.
func TestCallerThatBreaksOffItsBodyIsNotRun(t *testing.T) {
	target := newScripted(t)
	target.set(fullAnswer(okAnswer))
	b := newTestProxy(t, testDocument(target.address), nil, telemetry.Discard())
	conn, err := net.Dial("tcp", b.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhello")
	_ = conn.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, conn) // until the request is rejected
	_ = conn.Close()
	held := b.heldPermits()
	if begun, _ := target.counts(); begun != 0 || held != 0 || b.admission.requests != 0 {
		t.Errorf("the target got it %d times, %d slots were requested, %d are held", begun, b.admission.requests, held)
	}
}

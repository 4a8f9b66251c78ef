package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/outcome"
	"masticturn/internal/telemetry"
)

const (
	earlyReadBytes  = 32 << 10 // of the upload, before the answer
	earlyBodyBytes  = 3000
	earlyUploads    = 30 // at the same time
	earlyUploadSize = 8 << 20
)

// earlyTarget reads the beginning of a request, answers and ends the connection in its way.
type earlyTarget struct {
	answer string
	end    func(conn *net.TCPConn, unread io.Reader)
	whole  atomic.Int64 // uploads that were read to their end
}

func (e *earlyTarget) serve(conn *net.TCPConn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, req.Body, earlyReadBytes)
	_, _ = io.WriteString(conn, e.answer)
	e.end(conn, req.Body)
}

// Ways in which a target ends its connection after an answer.
func (e *earlyTarget) resetAfter(pause time.Duration) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(pause)
		_ = conn.SetLinger(0)
	}
}

func (e *earlyTarget) closeUnread(*net.TCPConn, io.Reader) {}

func (e *earlyTarget) halfClose(conn *net.TCPConn, unread io.Reader) {
	_ = conn.CloseWrite()
	if _, err := io.Copy(io.Discard, unread); err == nil {
		e.whole.Add(1)
	}
}

// slowBody is a body that comes in parts.
type slowBody struct {
	io.Reader
	part  int
	pause time.Duration
}

func (b slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	return b.Reader.Read(p[:min(len(p), b.part)])
}

// callEarly sends uploads to a target and returns how many callers got a whole answer with the status.
func callEarly(t *testing.T, target *earlyTarget, status int, body func() io.Reader) (whole int) {
	t.Helper()
	b := newTestProxy(t, singleAttemptDocument(serveConns(t, target.serve)), nil, telemetry.Discard())
	b.handler.deps.Dialect.CloseDelimitedResponses = true
	var group sync.WaitGroup
	var count atomic.Int64
	for range earlyUploads {
		group.Go(func() {
			resp, got, err := b.call(t, "POST", "/svc/a", body())
			if err == nil && resp.StatusCode == status && len(got) == earlyBodyBytes {
				count.Add(1)
				return
			}
			if err == nil && (resp.StatusCode < 500 || resp.Header.Get(edge.HeaderOutcome) != outcome.Unknown.String()) {
				t.Errorf("got %d with %d bytes, outcome %q", resp.StatusCode, len(got), resp.Header.Get(edge.HeaderOutcome))
			}
		})
	}
	group.Wait()
	if held := b.heldPermits(); held != 0 {
		t.Errorf("%d permits are still held", held)
	}
	return int(count.Load())
}

var earlyBody = strings.Repeat("x", earlyBodyBytes)

// Guards against a part of an answer that is taken for a whole one, as the write of an upload has met the reset.
func TestAnswerCutByAResetUnderAnUploadIsNotWhole(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	fast := func() io.Reader { return io.LimitReader(endlessReader{}, earlyUploadSize) }
	slow := func() io.Reader {
		return slowBody{io.LimitReader(endlessReader{}, earlyUploadSize/8), 16 << 10, 5 * time.Millisecond}
	}
	for _, tt := range []struct {
		name   string
		end    func(*earlyTarget) func(*net.TCPConn, io.Reader)
		upload func() io.Reader
	}{
		{"reset at once", func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.resetAfter(0) }, fast},
		{"reset after a pause", func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.resetAfter(200 * time.Millisecond) }, fast},
		{"closed with unread data", func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.closeUnread }, fast},
		{"reset under a slow upload", func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.resetAfter(100 * time.Millisecond) }, slow},
		{"closed under a slow upload", func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.closeUnread }, slow},
	} {
		t.Run(tt.name, func(t *testing.T) {
			target := &earlyTarget{answer: answer + earlyBody}
			target.end = tt.end(target)
			if whole := callEarly(t, target, http.StatusOK, tt.upload); whole != 0 {
				t.Errorf("%d of %d callers got the part as a whole answer", whole, earlyUploads)
			}
		})
	}
}

// Guards against cutting answers that are whole, though their target has not read the whole request yet.
func TestEarlyAnswerIsWhole(t *testing.T) {
	upload := func() io.Reader { return io.LimitReader(endlessReader{}, earlyUploadSize) }
	trickle := func() io.Reader {
		return slowBody{io.LimitReader(endlessReader{}, 1<<20), 16 << 10, 25 * time.Millisecond}
	}
	for _, tt := range []struct {
		name   string
		status int
		answer string
		end    func(*earlyTarget) func(*net.TCPConn, io.Reader)
		upload func() io.Reader
		read   bool // the target gets the whole upload
	}{
		{
			"with a length, reset later", 200, "HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n" + earlyBody,
			func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.resetAfter(200 * time.Millisecond) }, upload, false,
		},
		{
			"in chunks, reset later", 200, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n" + earlyBody + "\r\n0\r\n\r\n",
			func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.resetAfter(200 * time.Millisecond) }, upload, false,
		},
		{
			"until its end, the upload is read on", 200, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + earlyBody,
			func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.halfClose }, upload, true,
		},
		{
			"until its end, a slow upload is read on", 200, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + earlyBody,
			func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.halfClose }, trickle, true,
		},
		{
			"413 until its end", 413, "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n\r\n" + earlyBody,
			func(e *earlyTarget) func(*net.TCPConn, io.Reader) { return e.halfClose }, upload, false,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			target := &earlyTarget{answer: tt.answer}
			target.end = tt.end(target)
			if whole := callEarly(t, target, tt.status, tt.upload); whole != earlyUploads {
				t.Errorf("%d of %d callers got the whole answer", whole, earlyUploads)
			}
			if whole := target.whole.Load(); tt.read && whole != earlyUploads {
				t.Errorf("the target got %d of %d uploads whole", whole, earlyUploads)
			}
		})
	}
}

// Guards against a part of an answer that is recorded for an idempotency key and replayed as a whole one.
func TestCutAnswerIsNotRecorded(t *testing.T) {
	target := &earlyTarget{answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + earlyBody}
	target.end = target.resetAfter(100 * time.Millisecond)
	doc := singleAttemptDocument(serveConns(t, target.serve))
	keys, _, ticket := newKeys(t, doc)
	b := newTestProxy(t, doc, keys, telemetry.Discard())
	b.handler.deps.Dialect.CloseDelimitedResponses = true
	for i := range 2 * earlyUploads {
		key := ticket + strconv.Itoa(i/2) // each one twice
		resp, got, err := b.call(t, "POST", "/svc/keyed", io.LimitReader(endlessReader{}, earlyUploadSize), edge.HeaderIdempotencyKey, key)
		if err == nil && resp.StatusCode == http.StatusOK {
			t.Errorf("%d bytes were passed on as a whole answer, replayed: %q", len(got), resp.Header.Get(edge.HeaderReplayed))
		}
	}
}

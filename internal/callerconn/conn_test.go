package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const getRequest = "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"

// oneConnListener is a net.Listener with one connection.
type oneConnListener struct {
	conns chan net.Conn
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l *oneConnListener) Close() error   { return nil }
func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// server serves one connection. It records the requests that its handler got, and those whose context was
// canceled.
type server struct {
	caller net.Conn

	mu       sync.Mutex
	started  []string
	canceled []string
	received []time.Time // ReceivedAt of each request
}

// newServer starts a server whose handler takes a second, or until its request is canceled.
func newServer(t *testing.T) *server {
	near, far := net.Pipe()
	s := &server{caller: near}
	l := &oneConnListener{conns: make(chan net.Conn, 1)}
	l.conns <- New(far, time.Now)
	httpServer := &http.Server{
		Handler:     http.HandlerFunc(s.handle),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return c.(*Conn).Context(ctx) },
		IdleTimeout: 15 * time.Second,
	}
	go func() { _ = httpServer.Serve(l) }()
	t.Cleanup(func() {
		close(l.conns)
		_ = near.Close()
		_ = httpServer.Close()
	})
	return s
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.started = append(s.started, r.URL.Path)
	s.received = append(s.received, ReceivedAt(r.Context()))
	s.mu.Unlock()
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	select {
	case <-timer.C:
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	case <-r.Context().Done():
		s.mu.Lock()
		s.canceled = append(s.canceled, r.URL.Path)
		s.mu.Unlock()
	}
}

func (s *server) state() (started, canceled string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.started, " "), strings.Join(s.canceled, " ")
}

// A caller that sends further requests while the first one runs, and leaves, must end the first one's run
// at once. The requests behind it must not run.
func TestCallerThatPipelinesAndLeavesIsNoticed(t *testing.T) {
	for _, behind := range []int{1, 2, 6} {
		synctest.Test(t, func(t *testing.T) {
			s := newServer(t)
			_, _ = fmt.Fprintf(s.caller, getRequest, 0)
			for i := range behind {
				time.Sleep(20 * time.Millisecond)
				_, _ = fmt.Fprintf(s.caller, getRequest, i+1)
			}
			time.Sleep(100 * time.Millisecond)
			_ = s.caller.Close()
			synctest.Wait()
			if started, canceled := s.state(); started != "/0" || canceled != "/0" {
				t.Errorf("%d behind: requests %q were started, %q canceled when the caller left; want only /0", behind, started, canceled)
			}
			time.Sleep(5 * time.Second)
			if started, _ := s.state(); started != "/0" {
				t.Errorf("%d behind: requests %q were started after the caller had left", behind, started)
			}
		})
	}
}

// Requests sent behind others are answered in order, however their bytes are divided. The time that they
// have waited can be told.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	const requests = 4
	for _, part := range []int{1, 7, 40, 1000} {
		synctest.Test(t, func(t *testing.T) {
			s := newServer(t)
			sent := time.Now()
			go func() {
				var all strings.Builder
				for i := range requests {
					fmt.Fprintf(&all, getRequest, i)
				}
				for text := all.String(); text != ""; text = text[min(part, len(text)):] {
					if _, err := io.WriteString(s.caller, text[:min(part, len(text))]); err != nil {
						t.Error(err)
						return
					}
					time.Sleep(time.Microsecond)
				}
			}()
			answers := bufio.NewReader(s.caller)
			for i := range requests {
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, _ := io.ReadAll(resp.Body)
				if want := fmt.Sprintf("answer to /%d", i); string(body) != want {
					t.Errorf("parts of %d bytes: got %q, want %q", part, body, want)
				}
			}
			for i, at := range s.received {
				if wait := at.Sub(sent); wait > 100*time.Millisecond {
					t.Errorf("parts of %d bytes: request %d was received after %v, want at once", part, i, wait)
				}
			}
		})
	}
}

// An idle connection must be closed after the server's timeout, also after pipelined requests.
func TestIdleTimeoutAfterPipelinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t)
		go func() {
			_, _ = fmt.Fprintf(s.caller, getRequest, 0)
			time.Sleep(10 * time.Millisecond)
			_, _ = fmt.Fprintf(s.caller, getRequest, 1)
		}()
		began := time.Now()
		if _, err := io.Copy(io.Discard, s.caller); err != nil {
			t.Error(err)
		}
		if idle := time.Since(began) - 2*time.Second; idle < 14*time.Second || idle > 16*time.Second {
			t.Errorf("the connection was closed after %v without a request, want 15s", idle)
		}
	})
}

// A caller that sends more than a connection may hold is slowed down, and is served completely.
func TestHeldBytesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t)
		head := "GET /0 HTTP/1.1\r\nHost: x\r\nPadding: " + strings.Repeat("p", 3000) + "\r\n\r\n"
		const requests = 8
		written := make(chan int, requests)
		go func() {
			for i := range requests {
				if _, err := io.WriteString(s.caller, head); err != nil {
					return
				}
				written <- i
			}
		}()
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		// The server's own buffer holds up to 4 KB besides.
		if held := (len(written) - 1) * len(head); held > maxAheadBytes+4<<10 {
			t.Errorf("%d bytes were taken from the caller while its first request runs", held)
		}
		answers := bufio.NewReader(s.caller)
		for range requests {
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	})
}

// A deadline that the server sets to end its background read must reach that read or nobody. Kept for a later read,
// it makes the server take a caller that waits for its answer for one that has left.
func TestDeadlinesDoNotReachLaterReads(t *testing.T) {
	past := time.Unix(1, 0)
	newConn := func(t *testing.T) *Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close() })
		c := New(far, time.Now)
		c.reading, c.waiting = true, 1 // the server's read waits for what is read ahead
		return c
	}
	t.Run("bytes arrive before the deadline", func(t *testing.T) {
		c := newConn(t)
		c.keep([]byte("G"), nil)
		_ = c.SetReadDeadline(past)
		c.keep(nil, os.ErrDeadlineExceeded)
		c.waiting = 0
		if n, err, done := c.readAheadOf(make([]byte, 1)); n != 1 || err != nil || !done {
			t.Errorf("the waiting read got %d bytes and %v", n, err)
		}
		_ = c.SetReadDeadline(time.Time{})
		if _, err, done := c.readAheadOf(make([]byte, 1)); done {
			t.Errorf("the next read got %v", err)
		}
	})
	t.Run("the deadline is lifted before its error is seen", func(t *testing.T) {
		c := newConn(t)
		_ = c.SetReadDeadline(past)
		_ = c.SetReadDeadline(time.Time{})
		if !c.keep(nil, os.ErrDeadlineExceeded) || c.timeout != nil {
			t.Errorf("a read got %v after the deadline was lifted", c.timeout)
		}
	})
	t.Run("the deadline holds", func(t *testing.T) {
		c := newConn(t)
		_ = c.SetReadDeadline(past)
		if c.keep(nil, os.ErrDeadlineExceeded) || c.timeout == nil {
			t.Error("the waiting read was not ended")
		}
	})
}

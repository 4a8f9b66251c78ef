package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// serveConns serves each connection to a new address by a function, and returns the address.
func serveConns(t testing.TB, serve func(*net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// script is what a scripted target does with each request.
type script struct {
	readBytes  int // close after this many bytes of the request; -1: read all
	writeBytes int // close after this many bytes of the answer; -1: write all
	reset      bool
	answer     string
	release    <-chan struct{} // if not nil, wait for it before writing the answer
}

// fullAnswer reads the whole request and writes the whole answer.
func fullAnswer(answer string) script { return script{readBytes: -1, writeBytes: -1, answer: answer} }

// scriptedTarget handles each request by the script that is set when the request
// arrives.
type scriptedTarget struct {
	address string

	mu       sync.Mutex
	script   script
	started  int // requests of which the first byte arrived
	executed int // requests read completely
	length   int // length of the last complete request, in bytes
}

func newScripted(t testing.TB) *scriptedTarget {
	t.Helper()
	s := &scriptedTarget{}
	s.address = serveConns(t, func(conn *net.TCPConn) { s.serve(conn) })
	return s
}

// set changes the script and resets the counts.
func (s *scriptedTarget) set(sc script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.started, s.executed = sc, 0, 0
}

func (s *scriptedTarget) counts() (begun, executed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started, s.executed
}

// lastLength waits for a complete request and returns the length of the last one.
func (s *scriptedTarget) lastLength() int {
	for {
		s.mu.Lock()
		n := s.length
		s.mu.Unlock()
		if n > 0 {
			return n
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *scriptedTarget) serve(conn net.Conn) {
	defer conn.Close()
	count := &countingReader{r: conn}
	br := bufio.NewReader(count)
	for {
		before := count.n - br.Buffered()
		if _, err := br.Peek(1); err != nil {
			return
		}
		s.mu.Lock()
		sc := s.script
		s.started++
		s.mu.Unlock()
		if !s.request(conn, br, sc) {
			return
		}
		s.mu.Lock()
		s.length = count.n - br.Buffered() - before
		s.mu.Unlock()
	}
}

// request handles one request. It returns false if the connection is to be closed.
func (s *scriptedTarget) request(conn net.Conn, br *bufio.Reader, sc script) bool {
	if sc.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	if sc.readBytes >= 0 {
		_, _ = io.CopyN(io.Discard, br, int64(sc.readBytes))
		return false
	}
	req, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	s.mu.Lock()
	s.executed++
	s.mu.Unlock()
	if sc.release != nil {
		<-sc.release
	}
	if sc.writeBytes >= 0 {
		_, _ = io.WriteString(conn, sc.answer[:sc.writeBytes])
		return false
	}
	_, err = io.WriteString(conn, sc.answer)
	return err == nil
}

type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}

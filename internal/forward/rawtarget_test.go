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

// script says what a scripted target does with one request.
type script struct {
	readBytes  int // close after so many bytes of the request; -1: read it whole
	writeBytes int // close after so many bytes of the answer; -1: write it whole
	reset      bool
	answer     string
	hold       <-chan struct{} // before the answer is written
}

// whole answers properly.
func whole(answer string) script { return script{readBytes: -1, writeBytes: -1, answer: answer} }

// scriptedTarget serves raw connections; each request follows the script in
// force when it arrives.
type scriptedTarget struct {
	address string

	mu       sync.Mutex
	script   script
	begun    int // requests of which a byte arrived, or that met a closing target
	executed int // requests read whole
	length   int // bytes of the last request that was read whole
}

func newScripted(t testing.TB) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedTarget{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// set changes the script and forgets the counts.
func (s *scriptedTarget) set(sc script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.begun, s.executed = sc, 0, 0
}

func (s *scriptedTarget) counts() (begun, executed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun, s.executed
}

// lastLength waits for the last request to be over and returns its length.
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
		s.begun++
		s.mu.Unlock()
		if !s.request(conn, br, sc) {
			return
		}
		s.mu.Lock()
		s.length = count.n - br.Buffered() - before
		s.mu.Unlock()
	}
}

// request handles one request; false when the connection is to be closed.
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
	if sc.hold != nil {
		<-sc.hold
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

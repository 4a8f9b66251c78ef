package resetconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// socketPair returns both ends of a TCP connection.
func socketPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(); _ = accepted.Close() })
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}

// awaitReset waits until a reset has arrived, without taking its error.
func awaitReset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	const stateClose = 7 // TCP_CLOSE of Linux
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for closed := false; !closed; time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			closed = err == nil && info.State == stateClose
		})
	}
}

// Guards against a reset that looks like the end of the peer's stream to the reader, as a write has taken its error.
func TestResetThatAWriteHasMetIsNoEnd(t *testing.T) {
	near, far := socketPair(t)
	_, _ = io.WriteString(far, "part")
	_ = far.SetLinger(0)
	_ = far.Close()
	awaitReset(t, near)
	conn := Wrap(near)
	if _, err := io.WriteString(conn, "upload"); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write failed with %v", err)
	}
	if got, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, error %v, want the reset", got, err)
	}
}

// Guards against answers that are lost because their connection was reset after their end.
func TestResetAfterTheEndKeepsTheEnd(t *testing.T) {
	for _, writeFirst := range []bool{false, true} {
		near, far := socketPair(t)
		_, _ = io.WriteString(far, "whole")
		_ = far.CloseWrite()
		time.Sleep(10 * time.Millisecond) // for the end to arrive before the reset
		_ = far.SetLinger(0)
		_ = far.Close()
		awaitReset(t, near)
		conn := Wrap(near)
		if writeFirst {
			if _, err := io.WriteString(conn, "upload"); err == nil {
				t.Fatal("the write did not fail")
			}
		}
		if got, err := io.ReadAll(conn); string(got) != "whole" || err != nil {
			t.Errorf("after a write %v: read %q, error %v", writeFirst, got, err)
		}
	}
}

// blockedSocket is a connection whose write fails only after its reader has seen an end.
type blockedSocket struct {
	net.Conn
	read chan struct{}
}

func (s blockedSocket) Read([]byte) (int, error) {
	close(s.read)
	return 0, io.EOF
}

func (s blockedSocket) Write([]byte) (int, error) {
	<-s.read
	time.Sleep(10 * time.Millisecond)
	return 0, syscall.ECONNRESET
}

// Guards against a read that overtakes the write that has met the reset.
func TestEndWaitsForAWriteInProgress(t *testing.T) {
	socket := blockedSocket{read: make(chan struct{})}
	conn := &Conn{Conn: socket}
	writing := make(chan struct{})
	go func() {
		close(writing)
		_, _ = conn.Write([]byte("upload"))
	}()
	<-writing
	for conn.writing.TryLock() { // until the write has begun
		conn.writing.Unlock()
		time.Sleep(time.Millisecond)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the read returned %v, want the reset", err)
	}
}

func TestOtherConnectionsStayAsTheyAre(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	if Wrap(near) != near {
		t.Error("a pipe was wrapped")
	}
}

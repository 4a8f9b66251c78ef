package tunnel

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// bytesConn is a connection from which given bytes are read.
type bytesConn struct {
	net.Conn
	io.Reader
}

func (c bytesConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }
func (bytesConn) Close() error                 { return nil }
func (bytesConn) RemoteAddr() net.Addr         { return &net.TCPAddr{} }

func newTestConn(sent []byte) *Conn {
	stream := bytesConn{Reader: bytes.NewReader(sent)}
	return &Conn{Conn: stream, reader: bufio.NewReader(stream), onClose: func() {}}
}

func chunk(data string) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(data))), data...)
}

// The end of a tunnel must be taken for the target's only after the mark of that.
func TestTunnelBrokenAtEachByteHasNoCleanEnd(t *testing.T) {
	sent := bytes.Join([][]byte{chunk("HTTP/1.1 200 OK\r\n\r\n"), chunk("a"), chunk("answer"), chunk("")}, nil)
	const want = "HTTP/1.1 200 OK\r\n\r\naanswer"
	for n := range len(sent) + 1 {
		got, err := io.ReadAll(newTestConn(sent[:n]))
		if whole := n == len(sent); whole != (err == nil) || whole && string(got) != want {
			t.Errorf("after %d of %d bytes: %q, %v", n, len(sent), got, err)
		}
		if err != nil && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("after %d bytes: %v, want a reset", n, err)
		}
		if !bytes.HasPrefix([]byte(want), got) {
			t.Errorf("after %d bytes: read %q", n, got)
		}
	}
}

func TestTunnelEndStays(t *testing.T) {
	c := newTestConn(append(chunk("x"), append(chunk(""), chunk("more")...)...))
	if got, err := io.ReadAll(c); string(got) != "x" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if n, err := c.Read(make([]byte, 8)); n != 0 || err != io.EOF {
		t.Errorf("after the end: %d bytes, %v", n, err)
	}
}

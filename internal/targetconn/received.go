package targetconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receivedMore reports whether the kernel has received more on a connection
// than the given number of bytes, which the reader has handed on: bytes that
// wait in the socket, bytes that a reader has taken and not handed on yet, or
// the connection's end. It does not block. Connections that are not plain
// sockets tell nothing.
func receivedMore(conn net.Conn, handedOn uint64) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	more := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		more = err != nil || info.Bytes_received > handedOn
	})
	return more || err != nil
}

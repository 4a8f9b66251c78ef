package targetconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receivedMore reports whether a connection has received more than the given number of bytes, which
// the reader has passed on, or its end. It does not block. Only plain sockets are supported.
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

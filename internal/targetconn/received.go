package targetconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether a connection has received its end, or more bytes than were read from it. It
// does not block. It returns false for a connection that is not a plain socket.
func hasUnread(conn net.Conn, read uint64) bool {
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
		more = err != nil || info.Bytes_received > read
	})
	return more || err != nil
}

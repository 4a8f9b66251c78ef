package targetconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestConnectResults(t *testing.T) {
	tests := map[connectResult]error{
		connectOpened:   nil,
		connectRefused:  fmt.Errorf("connect: %w", &net.OpError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}),
		connectReset:    &net.OpError{Err: syscall.ECONNRESET},
		connectTimeout:  fmt.Errorf("connect: %w", context.DeadlineExceeded),
		connectCanceled: fmt.Errorf("connect: %w", context.Canceled),
		connectFailed:   errors.New("another"),
	}
	for want, err := range tests {
		if got := connectResultOf(err); got != want {
			t.Errorf("%v: got %s, want %s", err, got, want)
		}
	}
}

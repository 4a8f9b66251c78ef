package targetconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
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

func TestReasonsToOpenConnections(t *testing.T) {
	now := time.Now()
	idle := &Conn{idleSince: now.Add(-time.Minute)}
	tests := map[openReason]struct {
		pool *pool
		use  Use
	}{
		reasonNoneOpen:  {&pool{}, UseAny},
		reasonInUse:     {&pool{open: map[*Conn]struct{}{{}: {}}}, UseAny},
		reasonIdleLong:  {&pool{open: map[*Conn]struct{}{idle: {}}, idle: []*Conn{idle}}, UseRecent},
		reasonNewNeeded: {&pool{reuseRestrictedUntil: now.Add(time.Second)}, UseRecent},
	}
	for want, test := range tests {
		if got := test.pool.openReasonFor(test.use, now); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
	if got := (&pool{idle: []*Conn{idle}}).openReasonFor(UseNew, now); got != reasonNewNeeded {
		t.Errorf("a request that may reuse none: got %s, want %s", got, reasonNewNeeded)
	}
}

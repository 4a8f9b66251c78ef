package targetconn

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

// connectResult classifies the end of an attempt to open a connection.
type connectResult string

// Results of opening a connection.
const (
	connectOpened   connectResult = "opened"
	connectRefused  connectResult = "refused"
	connectReset    connectResult = "reset"
	connectTimeout  connectResult = "timeout"
	connectCanceled connectResult = "canceled"
	connectFailed   connectResult = "failed"
)

// connectResultOf returns the result that an error of opening a connection stands for.
func connectResultOf(err error) connectResult {
	switch {
	case err == nil:
		return connectOpened
	case errors.Is(err, syscall.ECONNREFUSED):
		return connectRefused
	case errors.Is(err, syscall.ECONNRESET):
		return connectReset
	case errors.Is(err, context.Canceled):
		return connectCanceled
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return connectTimeout
	}
	return connectFailed
}

// connectCounters counts attempts to open connections by result.
type connectCounters map[connectResult]*metrics.Counter

func newConnectCounters(set *metrics.Set) connectCounters {
	c := make(connectCounters)
	for _, r := range []connectResult{connectOpened, connectRefused, connectReset, connectTimeout, connectCanceled, connectFailed} {
		c[r] = set.GetOrCreateCounter(fmt.Sprintf("masticturn_target_connects_total{result=%q}", string(r)))
	}
	return c
}

// openReason classifies why a request opened a connection instead of reusing one.
type openReason string

// Reasons to open a connection.
const (
	reasonNoneOpen  openReason = "none_open"
	reasonInUse     openReason = "in_use"     // every open connection carries an exchange
	reasonIdleLong  openReason = "idle_long"  // those that are idle have been so for too long
	reasonNewNeeded openReason = "new_needed" // the request may not reuse any
)

// openCounters counts the connections that requests opened, by reason.
type openCounters map[openReason]*metrics.Counter

func newOpenCounters(set *metrics.Set) openCounters {
	c := make(openCounters)
	for _, r := range []openReason{reasonNoneOpen, reasonInUse, reasonIdleLong, reasonNewNeeded} {
		c[r] = set.GetOrCreateCounter(fmt.Sprintf("masticturn_target_connections_needed_total{reason=%q}", string(r)))
	}
	return c
}

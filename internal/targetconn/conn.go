package targetconn

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Conn is a connection to a target, reserved for one exchange at a time. It never resends a request.
// Every Conn returned by Get must be released by exactly one call of Keep or Drop.
type Conn struct {
	pool     *pool
	client   *http.ClientConn
	wire     *wire
	openedAt time.Time
	maxAge   time.Duration
	// maxHeadBytes is the maximum size of all interim responses to a request.
	maxHeadBytes int64
	idleSince    time.Time
	reused       bool
	idleFor      time.Duration // before this exchange, if the connection is reused
	connectTime  time.Duration
}

// Relayed reports whether the request need not wait until the connection to the target is open.
func (c *Conn) Relayed() bool {
	r, ok := c.wire.Conn.(interface{ Relayed() bool })
	return ok && r.Relayed()
}

// Reused reports whether the connection was open before this exchange.
func (c *Conn) Reused() bool { return c.reused }

// ConnectTime returns the time it took to open the connection, or 0 if this exchange reuses it.
func (c *Conn) ConnectTime() time.Duration {
	if c.reused {
		return 0
	}
	return c.connectTime
}

// RoundTrip sends the request once and returns the head of the response, or a *MalformedError. Reading the body of a
// response that ends with its connection fails if the connection was reset, or if the request could not be written
// completely.
func (c *Conn) RoundTrip(ctx context.Context, req *http.Request) (*http.Response, error) {
	request := c.wire.request
	interims := &interimCheck{bytesLeft: c.maxHeadBytes}
	hooks := &httptrace.ClientTrace{
		WroteRequest:   func(info httptrace.WroteRequestInfo) { request.finish(info.Err) },
		Got1xxResponse: interims.check,
	}
	resp, err := c.client.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, hooks)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if needsRequest(resp) {
		c.wire.awaitRequestAtEnd()
	}
	return resp, nil
}

// Seal forbids further writes and reports whether no byte of the request was written to the
// network. The result is final: if it is true, no byte will be written. The connection must then be
// released by Drop.
func (c *Conn) Seal() bool { return c.wire.seal() }

// Keep releases the connection after a complete response. The connection becomes idle once its reader
// waits for data, which shows that the target sent nothing after the response.
func (c *Conn) Keep() {
	if c.reused && c.idleFor >= minStaleIdle {
		c.pool.staleness.recordUsable()
	}
	if !c.wire.usable() {
		c.Drop()
		return
	}
	c.wire.endExchange()
}

// Drop closes the connection and removes it from its pool.
func (c *Conn) Drop() {
	c.wire.seal()
	c.pool.remove(c)
	_ = c.client.Close()
}

// usable reports whether an idle connection may carry another exchange.
func (c *Conn) usable(now time.Time, idleLimit time.Duration) bool {
	return c.withinAgeLimits(now, idleLimit) && c.wire.usable() && c.client.Err() == nil
}

// withinAgeLimits reports whether neither the age nor the idle time of the connection is too long.
func (c *Conn) withinAgeLimits(now time.Time, idleLimit time.Duration) bool {
	return now.Sub(c.openedAt) <= c.maxAge && now.Sub(c.idleSince) <= idleLimit
}

package targetconn

import (
	"net/http"
	"time"
)

// Conn is one connection to a target, reserved for one exchange at a time. It never resends a request.
// Every Conn returned by Get must be released by exactly one call of Keep or Drop.
type Conn struct {
	pool     *pool
	client   *http.ClientConn
	wire     *wire
	openedAt time.Time
	maxAge   time.Duration
	idleAt   time.Time
	reused   bool
	idleFor  time.Duration // before this exchange, where it is reused
	openedIn time.Duration
}

// OpenedIn returns the time it took to open the connection for this exchange; 0: it was open.
func (c *Conn) OpenedIn() time.Duration {
	if c.reused {
		return 0
	}
	return c.openedIn
}

// RoundTrip sends the request once and returns the answer's head.
func (c *Conn) RoundTrip(req *http.Request) (*http.Response, error) {
	return c.client.RoundTrip(req)
}

// Untouched forbids further writes and reports whether no byte of the request was passed to the
// network. The result is final; after true no byte is sent. The connection can't be kept.
func (c *Conn) Untouched() bool { return c.wire.seal() }

// Keep releases a connection after the clean end of an answer. It becomes idle unless the target has
// sent anything after it.
func (c *Conn) Keep() {
	if c.reused && c.idleFor >= idleLeast {
		c.pool.staleness.recordUse()
	}
	c.wire.settle()
}

// Drop closes the connection.
func (c *Conn) Drop() {
	c.wire.seal()
	c.pool.forget(c)
	_ = c.client.Close()
}

// usable reports whether an idle connection may carry another exchange.
func (c *Conn) usable(now time.Time, idleLimit time.Duration) bool {
	return c.fresh(now, idleLimit) && c.client.Err() == nil
}

func (c *Conn) fresh(now time.Time, idleLimit time.Duration) bool {
	return now.Sub(c.openedAt) <= c.maxAge && now.Sub(c.idleAt) <= idleLimit
}

package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"masticturn/internal/edge"
)

// call is one call to the platform.
type call struct {
	op      Op
	kind    Kind
	name    string
	request *sling.Sling
}

// answer is a successful answer.
type answer struct {
	version Version
	body    []byte
}

// errOverBudget is the cause of a call refused by this process's own budget.
var errOverBudget = errors.New("over this process's budget of calls")

func (c *Client) fail(cl call, code, cause error) error {
	return trace.Wrap(&CallError{Op: cl.op, Kind: cl.kind, Name: cl.name, Peer: c.peer, Code: code, Cause: cause})
}

// do makes one call within its timeout and the budget.
func (c *Client) do(ctx context.Context, cl call) (answer, error) {
	started := time.Now()
	a, err := c.within(ctx, cl)
	c.metrics.observe(cl, err, time.Since(started))
	c.health.note(err, time.Now())
	return a, err
}

func (c *Client) within(ctx context.Context, cl call) (answer, error) {
	if err := c.waitForBudget(ctx, cl); err != nil {
		return answer{}, c.fail(cl, ErrUnavailable, fmt.Errorf("%w: %w", errOverBudget, err))
	}
	timeout := c.opts.Timeout
	if cl.op == OpWatch {
		timeout += c.opts.WatchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.send(ctx, cl)
}

// waitForBudget waits for the call's share of the budget, at most for the
// timeout of a call; it fails at once when that will not do.
func (c *Client) waitForBudget(ctx context.Context, cl call) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	if cl.kind == KindClaim {
		if err := c.claims.Wait(ctx); err != nil {
			return err
		}
	}
	return c.limiter.Wait(ctx)
}

func (c *Client) send(ctx context.Context, cl call) (answer, error) {
	req, err := cl.request.Request()
	if err != nil {
		return answer{}, c.fail(cl, ErrUnavailable, err)
	}
	var connected atomic.Bool
	hooks := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(ctx, hooks))
	req.GetBody = nil // a body that cannot be rewound is never sent twice

	resp, err := c.httpClient(cl).Do(req)
	if err != nil {
		c.dropAfterTimeout(err)
		return answer{}, c.fail(cl, lostAnswerCode(cl.op, connected.Load()), err)
	}
	defer resp.Body.Close()
	return c.receive(cl, resp)
}

func (c *Client) httpClient(cl call) *http.Client {
	if cl.op.Writes() {
		return c.writes
	}
	return c.reads
}

// dropAfterTimeout drops the idle connections once a call timed out: whatever
// made that connection silent may have hit the others too.
func (c *Client) dropAfterTimeout(err error) {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		c.reads.CloseIdleConnections()
	}
}

// lostAnswerCode tells what is known when no answer came: a write that got a
// connection may have been sent.
func lostAnswerCode(op Op, connected bool) error {
	if op.Writes() && connected {
		return ErrUnknownOutcome
	}
	return ErrUnavailable
}

// receive reads an answer and turns error statuses into typed errors.
func (c *Client) receive(cl call, resp *http.Response) (answer, error) {
	if resp.StatusCode >= http.StatusMultipleChoices {
		return answer{}, c.fail(cl, statusCode(cl.op, resp), fmt.Errorf("status %s", resp.Status))
	}
	version, err := strconv.ParseUint(resp.Header.Get(edge.HeaderVersion), 10, 64)
	if err != nil && cl.op != OpDelete {
		return answer{}, c.fail(cl, lostAnswerCode(cl.op, true), fmt.Errorf("header %s: %w", edge.HeaderVersion, err))
	}
	if cl.op.Writes() {
		return answer{version: Version(version)}, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		c.dropAfterTimeout(err)
		return answer{}, c.fail(cl, ErrUnavailable, err)
	}
	return answer{version: Version(version), body: body}, nil
}

// statusCode returns the typed error of an error status. A write counts as
// not done only when the platform says so.
func statusCode(op Op, resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusNotFound:
		if op.Writes() {
			return ErrConflict // the object with that version is gone
		}
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	notDone := isRefusal(resp.StatusCode) || resp.Header.Get(edge.HeaderNotDone) == "1"
	if op.Writes() && !notDone {
		return ErrUnknownOutcome
	}
	return ErrUnavailable
}

// isRefusal reports whether a status says that the request was refused before
// anything was done. A timeout says nothing.
func isRefusal(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusRequestTimeout
}

package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/standin"
)

// request is one request over all its tries.
type request struct {
	shape  *Shape
	id     string // of the present try
	key    string
	ticket string // of the VM that the key was first sent to
	sent   bool   // a try found a connection, so that a VM may have seen the key
	seed   uint64
}

// takeTicket makes the ticket of the first VM that is reached part of the key.
// Once the key may have been seen every try sends the same one, so that the
// ticket, or the lack of one, stays with the request.
func (r *request) takeTicket(vm edge.LookupVM, without bool) {
	if r.sent {
		return
	}
	r.ticket = ""
	if !without {
		r.ticket = vm.Ticket
	}
}

// wholeKey is the idempotency key as it is sent: the ticket is its head.
func (r *request) wholeKey() string {
	if r.key == "" || r.ticket == "" {
		return r.key
	}
	return r.ticket + edge.KeySeparator + r.key
}

// mayRetry reports whether what was told allows another try.
func (r *request) mayRetry(told Told) bool {
	switch told {
	case ToldAnswered:
		return false
	case ToldNotRun:
		return true
	default:
		return r.key != "" || r.shape.Repeatable
	}
}

// Pauses between tries when the answer gives no advice, and the longest
// advice that is followed.
const (
	retryPause    = 20 * time.Millisecond
	maxRetryPause = time.Second
	millisPerSec  = 1000
)

// try sends the request once and notes what came of it.
func (c *Caller) try(ctx context.Context, req *request, vm edge.LookupVM) (Note, time.Duration) {
	req.takeTicket(vm, c.opts.NoTicket)
	note := Note{
		RequestID:  req.id,
		Key:        req.wholeKey(),
		Shape:      req.shape.Name,
		Service:    req.shape.Service,
		Class:      req.shape.Class,
		Method:     req.shape.Method,
		Path:       req.shape.Path,
		VM:         vm.Name,
		Repeatable: req.shape.Repeatable,
		BodyBytes:  req.shape.BodyBytes,
		Started:    time.Now(),
		Told:       ToldNothing,
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	wait, err := c.exchange(ctx, req, vm.Address, &note)
	if err != nil {
		note.Detail = err.Error()
		note.GaveUp = ctx.Err() != nil
	}
	note.Ended = time.Now()
	c.opts.Notes.addTry(note)
	return note, wait
}

// exchange sends the request on one connection and reads the answer.
func (c *Caller) exchange(ctx context.Context, req *request, address string, note *Note) (time.Duration, error) {
	conn, err := c.pool.get(ctx, address)
	if err != nil {
		note.Told, note.Refused = ToldNotRun, true // nothing was sent
		return retryPause, err
	}
	req.sent = true
	httpReq, err := c.build(ctx, req, address)
	if err != nil {
		return retryPause, err
	}
	resp, err := conn.RoundTrip(httpReq)
	if err != nil {
		conn.Close()
		return retryPause, err
	}
	wait, err := readAnswer(resp, req, note)
	resp.Body.Close()
	if err != nil || resp.Close || note.Content == ContentPartial || note.Content == ContentForeign {
		conn.Close()
		return wait, err
	}
	c.pool.put(address, conn)
	return wait, nil
}

func (c *Caller) build(ctx context.Context, req *request, address string) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", address, req.shape.Path,
		standin.QueryContent, req.seed, standin.QueryBytes, req.shape.AnswerBytes)
	var body io.Reader
	if req.shape.BodyBytes > 0 {
		body = standin.ContentReader(req.seed, req.shape.BodyBytes)
	}
	if req.shape.BodyPace > 0 {
		body = newPacedReader(body, req.shape.BodyBytes, req.shape.BodyPace)
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.shape.Method, url, body)
	if err != nil {
		return nil, err
	}
	httpReq.ContentLength = req.shape.BodyBytes
	httpReq.Header.Set(edge.HeaderRequestID, req.id)
	httpReq.Header.Set(edge.HeaderTimeoutMS, strconv.FormatInt(c.opts.Timeout.Milliseconds(), 10))
	if key := req.wholeKey(); key != "" {
		httpReq.Header.Set(edge.HeaderIdempotencyKey, key)
	}
	return httpReq, nil
}

// reasonOf returns the reason in the body of an error answer, or the body
// itself when it is of another form.
func reasonOf(body []byte) string {
	var e edge.ErrorBody
	if json.Unmarshal(body, &e) == nil && e.Reason != "" {
		return e.Reason
	}
	return string(body)
}

// readAnswer notes what the answer tells. An error means that the connection
// broke before the answer's end, so that nothing was told.
func readAnswer(resp *http.Response, req *request, note *Note) (time.Duration, error) {
	note.Status = resp.StatusCode
	note.Step = resp.Header.Get(edge.HeaderStep)
	note.Peer = resp.Header.Get(edge.HeaderPeer)
	note.Replayed = resp.Header.Get(edge.HeaderReplayed) == "1"
	told := toldBy(resp)
	if told != ToldAnswered || resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return retryPause, err
		}
		note.Told, note.Detail = told, reasonOf(body)
		return retryAfter(resp), nil
	}
	content, err := checkContent(resp, req, note.Replayed)
	if err != nil && content == ContentNone {
		return retryPause, err
	}
	if err != nil {
		note.Detail = err.Error()
	}
	note.Told, note.Content = told, content
	return retryPause, nil
}

// toldBy returns the outcome of the header. An answer without one is taken
// for a target's answer when it succeeded, and else for unknown.
func toldBy(resp *http.Response) Told {
	switch told := Told(resp.Header.Get(edge.HeaderOutcome)); told {
	case ToldAnswered, ToldNotRun, ToldUnknown:
		return told
	}
	if resp.StatusCode == http.StatusOK {
		return ToldAnswered
	}
	return ToldUnknown
}

// checkContent reads the body and says whether it is whole and the caller's
// own. ContentNone with an error: the connection broke.
func checkContent(resp *http.Response, req *request, replayed bool) (Content, error) {
	err := standin.CheckContent(resp.Body, req.seed, req.shape.AnswerBytes)
	id := resp.Header.Get(edge.HeaderRequestID)
	switch {
	case errors.Is(err, standin.ErrForeign):
		return ContentForeign, err
	case errors.Is(err, standin.ErrShort), errors.Is(err, standin.ErrLong):
		return ContentPartial, err
	case err != nil:
		return ContentNone, err
	case id != req.id && !replayed:
		return ContentForeign, fmt.Errorf("the answer has request id %q", id)
	}
	return ContentWhole, nil
}

// retryAfter returns how long to wait before another try.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return retryPause
	}
	return min(maxRetryPause, time.Duration(seconds*millisPerSec)*time.Millisecond)
}

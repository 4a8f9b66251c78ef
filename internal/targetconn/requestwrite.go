package targetconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// flushTime is the time for net/http to flush its buffer after it has reported a request as written. It closes the
// connection at the end of a response that is delimited by it.
const flushTime = 10 * time.Millisecond

// requestWrite tracks the writing of one request.
type requestWrite struct {
	once    sync.Once
	done    chan struct{} // closed when the request was written, or writing it has failed
	err     error         // why writing it has failed; valid once done is closed
	awaited bool          // the end of the target's stream is the end of a response that needs the whole request
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

// finish records the end of writing.
func (r *requestWrite) finish(err error) {
	r.once.Do(func() {
		r.err = err
		close(r.done)
	})
}

// IsCloseDelimited reports whether only the end of the connection marks the end of the response.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// needsRequest reports whether a response that ends with its connection is complete only if the whole request was
// written. A target that ends its stream before it has read the request may have failed. One that has rejected the
// request need not read it (RFC 9110, section 15.5.14).
func needsRequest(resp *http.Response) bool {
	return IsCloseDelimited(resp) && resp.StatusCode < http.StatusBadRequest
}

// awaitRequest returns io.EOF, or at the end of a response that needs the whole request the error of writing it. It
// waits until the request is written.
func (w *wire) awaitRequest() error {
	w.mu.Lock()
	request := w.request
	awaited := request != nil && request.awaited
	w.mu.Unlock()
	if !awaited {
		return io.EOF
	}
	select {
	case <-request.done:
		return request.endOfResponse()
	default:
	}
	select {
	case <-request.done:
	case <-w.closed:
		return net.ErrClosed
	}
	time.Sleep(flushTime)
	return request.endOfResponse()
}

// endOfResponse returns the result of a read at the end of a response that needs the request.
func (r *requestWrite) endOfResponse() error {
	if r.err != nil {
		return fmt.Errorf("the target ended its response before the request was written: %w", r.err)
	}
	return io.EOF
}

// awaitRequestAtEnd makes the end of the target's stream wait for the request to be written.
func (w *wire) awaitRequestAtEnd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.request.awaited = true
}

package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"masticturn/internal/digest"
	"masticturn/internal/kernel"
)

var (
	errCallerBody   = errors.New("the caller's body could not be read")
	errBodyTooLarge = errors.New("the caller's body is larger than allowed")
	errRevoked      = errors.New("the attempt is over")
)

// The states of an upload.
const (
	uploadUnread uint32 = iota
	uploadRead          // a byte was asked of the caller
	uploadRevoked
)

// upload streams a caller's body to a target for one attempt. It bounds size and pauses, and records
// errors, which the transport would report as its own.
type upload struct {
	body  io.Reader
	rc    *http.ResponseController
	clock kernel.Clock
	idle  time.Duration  // longest pause between bytes
	left  int64          // bytes that may still come
	watch *watchdog      // nil while no attempt runs
	sum   *digest.Hasher // of the request, up to what was read

	whole   atomic.Pointer[digest.Digest] // nil until the body's end was read
	lead    atomic.Pointer[digest.Digest] // nil until the body's beginning was read
	ended   bool                          // the body's end was read
	state   atomic.Uint32
	waiting atomic.Bool // for the caller
	failed  atomic.Pointer[error]
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if !u.state.CompareAndSwap(uploadUnread, uploadRead) && u.state.Load() == uploadRevoked {
		return 0, errRevoked
	}
	if u.ended {
		// A deadline would end the server's watch of the connection.
		return 0, io.EOF
	}
	n, err := u.read(p)
	u.left -= int64(n)
	u.digest(p[:n])
	switch {
	case u.left < 0:
		return 0, u.fail(errBodyTooLarge)
	case err == io.EOF:
		u.ended = true
		whole := u.sum.Sum()
		u.whole.Store(&whole)
		if u.watch != nil {
			u.watch.sent()
		}
	case err != nil:
		return n, u.fail(errors.Join(errCallerBody, err))
	case u.watch != nil:
		u.watch.sending()
	}
	return n, err
}

// digest adds a piece of the body to the digest.
func (u *upload) digest(p []byte) {
	_, _ = u.sum.Write(p)
	if u.lead.Load() != nil {
		return
	}
	if lead, ok := u.sum.PrefixSum(); ok {
		u.lead.Store(&lead)
	}
}

// read reads at most one byte beyond the limit, which proves that the body is too large.
func (u *upload) read(p []byte) (int, error) {
	if int64(len(p)) > u.left+1 {
		p = p[:u.left+1]
	}
	u.waiting.Store(true)
	defer u.waiting.Store(false)
	_ = u.rc.SetReadDeadline(u.clock.Now().Add(u.idle))
	return u.body.Read(p)
}

func (u *upload) fail(err error) error {
	u.failed.CompareAndSwap(nil, &err)
	return err
}

// failure returns the error on the caller's side, or nil.
func (u *upload) failure() error {
	if p := u.failed.Load(); p != nil {
		return *p
	}
	return nil
}

// timedOut reports whether the caller was too slow.
func (u *upload) timedOut() bool { return errors.Is(u.failure(), os.ErrDeadlineExceeded) }

// revoke ends an attempt's right to read and returns an upload for the next one; false if part was
// read, so that it can't be sent again.
func (u *upload) revoke() (*upload, bool) {
	if !u.state.CompareAndSwap(uploadUnread, uploadRevoked) {
		return nil, false
	}
	return &upload{body: u.body, rc: u.rc, clock: u.clock, idle: u.idle, left: u.left, sum: u.sum}, true
}

// replay returns an upload that starts with bytes already read.
func (u *upload) replay(read []byte) *upload {
	next := &upload{body: u.body, rc: u.rc, clock: u.clock, idle: u.idle, left: u.left + int64(len(read)), sum: u.sum}
	next.body = io.MultiReader(bytes.NewReader(read), u.body)
	return next
}

// Close implements io.Closer. The server closes the caller's body itself.
func (u *upload) Close() error { return nil }

// readSmall reads a body of known length into one slice.
func readSmall(u *upload, length int64) ([]byte, error) {
	body := make([]byte, length)
	if _, err := io.ReadFull(u, body); err != nil {
		return nil, err
	}
	// Reading to the end receives trailers and leaves the connection reusable.
	var rest [1]byte
	if n, err := u.Read(rest[:]); n != 0 || err != io.EOF {
		return nil, errors.Join(errCallerBody, err)
	}
	return body, nil
}

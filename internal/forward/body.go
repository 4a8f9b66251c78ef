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

// States of an upload.
const (
	uploadUnread uint32 = iota
	uploadRead          // reading the caller's body has started
	uploadRevoked
)

// upload streams a caller's body to a target for one attempt. It limits the size and the pauses, and
// records read errors, as the transport reports them as errors of its own.
type upload struct {
	body        io.Reader
	rc          *http.ResponseController
	clock       kernel.Clock
	idleTimeout time.Duration  // longest pause between bytes
	remaining   int64          // bytes until the size limit
	watchdog    *watchdog      // nil while no attempt runs
	hasher      *digest.Hasher // digest of the request up to what was read

	requestDigest    atomic.Pointer[digest.Digest] // nil until the end of the body was read
	leadDigest       atomic.Pointer[digest.Digest] // digest of the head and the beginning of the body; nil until that was read
	eof              bool                          // the end of the body was read
	state            atomic.Uint32
	waitingForCaller atomic.Bool // a read from the caller is in progress
	firstErr         atomic.Pointer[error]
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if !u.state.CompareAndSwap(uploadUnread, uploadRead) && u.state.Load() == uploadRevoked {
		return 0, errRevoked
	}
	if u.eof {
		// Setting a deadline now would stop the server from watching the connection.
		return 0, io.EOF
	}
	n, err := u.read(p)
	u.remaining -= int64(n)
	u.updateDigest(p[:n])
	switch {
	case u.remaining < 0:
		return 0, u.fail(errBodyTooLarge)
	case err == io.EOF:
		u.eof = true
		whole := u.hasher.Sum()
		u.requestDigest.Store(&whole)
		if u.watchdog != nil {
			u.watchdog.requestSent()
		}
	case err != nil:
		return n, u.fail(errors.Join(errCallerBody, err))
	case u.watchdog != nil:
		u.watchdog.bodyProgress()
	}
	return n, err
}

// updateDigest adds a part of the body to the digests.
func (u *upload) updateDigest(p []byte) {
	_, _ = u.hasher.Write(p)
	if u.leadDigest.Load() != nil {
		return
	}
	if lead, ok := u.hasher.PrefixSum(); ok {
		u.leadDigest.Store(&lead)
	}
}

// read reads at most one byte beyond the limit, enough to detect that the body is too large.
func (u *upload) read(p []byte) (int, error) {
	if int64(len(p)) > u.remaining+1 {
		p = p[:u.remaining+1]
	}
	u.waitingForCaller.Store(true)
	defer u.waitingForCaller.Store(false)
	_ = u.rc.SetReadDeadline(u.clock.Now().Add(u.idleTimeout))
	return u.body.Read(p)
}

func (u *upload) fail(err error) error {
	u.firstErr.CompareAndSwap(nil, &err)
	return err
}

// err returns the first error of reading the caller's body, or nil.
func (u *upload) err() error {
	if p := u.firstErr.Load(); p != nil {
		return *p
	}
	return nil
}

// timedOut reports whether the caller was too slow.
func (u *upload) timedOut() bool { return errors.Is(u.err(), os.ErrDeadlineExceeded) }

// revoke stops an attempt from reading and returns an upload for the next one; false if a part was
// already read, so that the body can't be sent again.
func (u *upload) revoke() (*upload, bool) {
	if !u.state.CompareAndSwap(uploadUnread, uploadRevoked) {
		return nil, false
	}
	return &upload{body: u.body, rc: u.rc, clock: u.clock, idleTimeout: u.idleTimeout, remaining: u.remaining, hasher: u.hasher}, true
}

// withPrefix returns an upload that starts with the bytes already read.
func (u *upload) withPrefix(read []byte) *upload {
	next := &upload{body: u.body, rc: u.rc, clock: u.clock, idleTimeout: u.idleTimeout, remaining: u.remaining + int64(len(read)), hasher: u.hasher}
	next.body = io.MultiReader(bytes.NewReader(read), u.body)
	return next
}

// Close implements io.Closer. The server closes the caller's body itself.
func (u *upload) Close() error { return nil }

// readBuffered reads a body of known length into one slice.
func readBuffered(u *upload, length int64) ([]byte, error) {
	body := make([]byte, length)
	if _, err := io.ReadFull(u, body); err != nil {
		return nil, err
	}
	// Reading to io.EOF receives the trailers and keeps the connection reusable.
	var rest [1]byte
	if n, err := u.Read(rest[:]); n != 0 || err != io.EOF {
		return nil, errors.Join(errCallerBody, err)
	}
	return body, nil
}

package network

import (
	"net"
	"os"
	"sync"
	"time"
)

// maxQueued bounds the bytes under way in one direction of a connection.
const maxQueued = 1 << 20

// queue holds the bytes under way in one direction: what is put in can be
// taken out after the delay.
type queue struct {
	delay time.Duration

	mu      sync.Mutex
	wake    chan struct{} // closed and replaced at each change
	pieces  []piece
	size    int
	held    bool
	silent  bool // swallows all
	end     error
	endDue  time.Time
	ended   bool
	aborted error // ends both sides at once
}

type piece struct {
	data []byte
	due  time.Time
}

func newQueue(delay time.Duration) *queue {
	return &queue{delay: delay, wake: make(chan struct{})}
}

// changed wakes all that wait; q.mu is held.
func (q *queue) changed() {
	close(q.wake)
	q.wake = make(chan struct{})
}

func (q *queue) update(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f()
	q.changed()
}

func (q *queue) hold(on bool) { q.update(func() { q.held = on }) }

func (q *queue) silence() {
	q.update(func() {
		q.silent = true
		q.pieces, q.size = nil, 0
	})
}

// abort ends the queue for both sides at once.
func (q *queue) abort(err error) { q.update(func() { q.aborted = err }) }

// close ends the queue after what is in it.
func (q *queue) close(err error) {
	q.update(func() {
		if !q.ended {
			q.ended, q.end, q.endDue = true, err, time.Now().Add(q.delay)
		}
	})
}

// put adds a copy of the data, waiting while the queue is full.
func (q *queue) put(data []byte, deadline *deadline) error {
	copied := append([]byte(nil), data...)
	for {
		if err := deadline.check(); err != nil {
			return err
		}
		done, h, err := q.tryPut(copied)
		if done || err != nil {
			return err
		}
		if err := wait(h, deadline); err != nil {
			return err
		}
	}
}

// tryPut adds the data; when the queue is full it tells what to wait for.
func (q *queue) tryPut(data []byte) (done bool, h hint, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.aborted != nil:
		return false, hint{}, q.aborted
	case q.ended:
		return false, hint{}, net.ErrClosed
	case q.silent:
		return true, hint{}, nil
	case q.size >= maxQueued:
		return false, hint{wake: q.wake}, nil
	}
	q.pieces = append(q.pieces, piece{data, time.Now().Add(q.delay)})
	q.size += len(data)
	q.changed()
	return true, hint{}, nil
}

// take waits for bytes that are due and copies them into p.
func (q *queue) take(p []byte, deadline *deadline) (int, error) {
	for {
		if err := deadline.check(); err != nil {
			return 0, err
		}
		n, hint, err := q.tryTake(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if err := wait(hint, deadline); err != nil {
			return 0, err
		}
	}
}

// hint tells what a waiter waits for: a change, or a time if it is above zero.
type hint struct {
	wake <-chan struct{}
	left time.Duration
}

// tryTake takes what is due; otherwise it tells what to wait for.
func (q *queue) tryTake(p []byte) (int, hint, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.aborted != nil {
		return 0, hint{}, q.aborted
	}
	if q.held || q.silent {
		return 0, hint{wake: q.wake}, nil
	}
	if len(q.pieces) == 0 {
		left := time.Until(q.endDue)
		if q.ended && left <= 0 {
			return 0, hint{}, q.end
		}
		return 0, hint{q.wake, max(0, left)}, nil
	}
	if left := time.Until(q.pieces[0].due); left > 0 {
		return 0, hint{q.wake, left}, nil
	}
	n := copy(p, q.pieces[0].data)
	q.pieces[0].data = q.pieces[0].data[n:]
	if len(q.pieces[0].data) == 0 {
		q.pieces = q.pieces[1:]
	}
	q.size -= n
	q.changed()
	return n, hint{}, nil
}

// wait waits for what the hint tells or for the deadline, which is the only
// error.
func wait(h hint, d *deadline) error {
	var due <-chan time.Time
	if h.left > 0 {
		timer := time.NewTimer(h.left)
		defer timer.Stop()
		due = timer.C
	}
	expired, moved := d.wait()
	select {
	case <-h.wake:
	case <-due:
	case <-moved:
	case <-expired:
		return os.ErrDeadlineExceeded
	}
	return nil
}

// deadline is a deadline that can be moved while it is waited for.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
	moved   chan struct{}
}

func newDeadline() *deadline {
	return &deadline{expired: make(chan struct{}), moved: make(chan struct{})}
}

func (d *deadline) wait() (expired, moved <-chan struct{}) {
	if d == nil {
		return nil, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired, d.moved
}

// check returns the error of a deadline that has passed.
func (d *deadline) check() error {
	expired, _ := d.wait()
	select {
	case <-expired:
		return os.ErrDeadlineExceeded
	default:
		return nil
	}
}

// set moves the deadline; the zero time means none.
func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	expired := make(chan struct{})
	d.expired = expired
	close(d.moved)
	d.moved = make(chan struct{})
	if at.IsZero() {
		return
	}
	if left := time.Until(at); left > 0 {
		d.timer = time.AfterFunc(left, func() { close(expired) })
	} else {
		close(expired)
	}
}

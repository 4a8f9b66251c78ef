package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

var (
	errTargetTimeout = errors.New("the target was silent for too long")
	errCallerSlow    = errors.New("the caller was too slow")
	errDeadline      = errors.New("the deadline has passed")
)

// watchPhase is what a watchdog waits for.
type watchPhase uint32

const (
	watchSend    watchPhase = iota // a part of the caller's body to be sent
	watchWait                      // the first byte of the response
	watchReceive                   // further bytes of the response
	watchPaused                    // nothing: the target is not being read
)

// watchdog cancels an attempt that makes no progress. All phases share one timer, which progress resets.
type watchdog struct {
	cancel           context.CancelCauseFunc
	firstByteTimeout time.Duration // longest wait from the end of the request to the first byte of the response
	idleTimeout      time.Duration // longest pause between bytes
	// abandon reports whether to cancel the attempt if the first byte is late; otherwise it waits until
	// the request's deadline.
	abandon func() bool
	// waitingForCaller reports whether the attempt is waiting for a part of the caller's body.
	waitingForCaller func() bool

	timer *time.Timer
	phase atomic.Uint32
}

// start starts the timer. streamed means that a body is still to be sent.
func (w *watchdog) start(streamed bool) {
	if streamed {
		w.timer = time.AfterFunc(w.idleTimeout, w.fire)
		return
	}
	w.phase.Store(uint32(watchWait))
	w.timer = time.AfterFunc(w.firstByteTimeout, w.fire)
}

func (w *watchdog) fire() {
	switch watchPhase(w.phase.Load()) {
	case watchSend:
		if w.waitingForCaller() {
			w.cancel(errCallerSlow)
			return
		}
		w.cancel(errTargetTimeout)
	case watchWait:
		if w.abandon() {
			w.cancel(errTargetTimeout)
		}
	case watchReceive:
		w.cancel(errTargetTimeout)
	}
}

// bodyProgress records that a part of the request's body was sent. The rest of the response may wait for it.
func (w *watchdog) bodyProgress() {
	switch watchPhase(w.phase.Load()) {
	case watchSend, watchReceive:
		w.timer.Reset(w.idleTimeout)
	}
}

// requestSent records that the request was sent completely.
func (w *watchdog) requestSent() {
	if w.phase.CompareAndSwap(uint32(watchSend), uint32(watchWait)) {
		w.timer.Reset(w.firstByteTimeout)
	}
}

// pause stops the watch while the target is not read.
func (w *watchdog) pause() { w.phase.Store(uint32(watchPaused)) }

// resume continues the watch after a pause.
func (w *watchdog) resume() {
	if w.phase.Load() == uint32(watchPaused) {
		w.responseProgress()
	}
}

// responseProgress records the arrival of the response head or a part of its body.
func (w *watchdog) responseProgress() {
	w.phase.Store(uint32(watchReceive))
	w.timer.Reset(w.idleTimeout)
}

func (w *watchdog) stop() { w.timer.Stop() }

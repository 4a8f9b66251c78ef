package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

var (
	errTargetSilent = errors.New("the target was silent for too long")
	errCallerSlow   = errors.New("the caller was too slow")
	errDeadline     = errors.New("the deadline has passed")
)

// watchPhase is what a watchdog waits for.
type watchPhase uint32

const (
	watchSend    watchPhase = iota // bytes of the caller's body
	watchWait                      // the answer's first byte
	watchReceive                   // bytes of the answer
)

// watchdog cancels an attempt without progress. Its single timer is reset by progress.
type watchdog struct {
	cancel    context.CancelCauseFunc
	firstByte time.Duration // longest wait from the request's end to the answer's first byte
	idle      time.Duration // longest pause between bytes
	// giveUp reports whether to give up if the first byte is late; else the attempt waits until the
	// request's deadline.
	giveUp func() bool
	// callerWaits reports whether the attempt waits for the caller.
	callerWaits func() bool

	timer *time.Timer
	phase atomic.Uint32
}

// start arms the timer; streamed: a body is still to be sent.
func (w *watchdog) start(streamed bool) {
	if streamed {
		w.timer = time.AfterFunc(w.idle, w.fire)
		return
	}
	w.phase.Store(uint32(watchWait))
	w.timer = time.AfterFunc(w.firstByte, w.fire)
}

func (w *watchdog) fire() {
	switch watchPhase(w.phase.Load()) {
	case watchSend:
		if w.callerWaits() {
			w.cancel(errCallerSlow)
			return
		}
		w.cancel(errTargetSilent)
	case watchWait:
		if w.giveUp() {
			w.cancel(errTargetSilent)
		}
	case watchReceive:
		w.cancel(errTargetSilent)
	}
}

// sending records a part of the request's body.
func (w *watchdog) sending() {
	if w.phase.Load() == uint32(watchSend) {
		w.timer.Reset(w.idle)
	}
}

// sent records the end of the request.
func (w *watchdog) sent() {
	if w.phase.CompareAndSwap(uint32(watchSend), uint32(watchWait)) {
		w.timer.Reset(w.firstByte)
	}
}

// receiving records the answer's head or a part of its body.
func (w *watchdog) receiving() {
	w.phase.Store(uint32(watchReceive))
	w.timer.Reset(w.idle)
}

func (w *watchdog) stop() { w.timer.Stop() }

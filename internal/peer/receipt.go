package peer

import (
	"sync"
	"time"
)

// receipt is the progress of a connection in receiving a large frame. It is safe for concurrent use.
type receipt struct {
	mu      sync.Mutex
	partial *partialFrame
}

// partialFrame describes a frame of which a part has been received.
type partialFrame struct {
	typ      frameType
	kind     Kind
	id       uint32
	size     int // of the payload, in bytes
	received int
	begun    time.Time // receipt of the header
	progress time.Time // receipt of the latest chunk
}

// report records that the given number of bytes of a frame's payload has been received.
func (r *receipt) report(f *frame, received int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	begun := now
	if r.partial != nil {
		begun = r.partial.begun
	}
	r.partial = &partialFrame{f.typ, f.kind, f.id, len(f.payload.b), received, begun, now}
}

// end records that no frame is being received.
func (r *receipt) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partial = nil
}

// current returns the frame that is being received; nil if there is none.
func (r *receipt) current() *partialFrame {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partial
}

// isResponse reports whether the response to a call is being received and has made progress since a time.
func (r *receipt) isResponse(id uint32, since time.Time) bool {
	p := r.current()
	return p != nil && p.typ == frameResponse && p.id == id && p.progress.After(since)
}

// delaysAcks reports whether a frame that began before a time is being received and has made progress since another
// one. The peer can't send an ack before its end.
func (r *receipt) delaysAcks(begunBefore, since time.Time) bool {
	p := r.current()
	return p != nil && p.begun.Before(begunBefore) && p.progress.After(since)
}

// Package relaybuf buffers responses that targets send faster than callers read them, within a limit of
// memory that all responses of a VM share. A target closes a response that is left unread for seconds, so a
// response must be received at the target's pace even if its caller is slow.
package relaybuf

import "sync"

// PartBytes is the size of the parts in which responses are received.
const PartBytes = 32 << 10

// Memory is the memory shared by the buffers of a VM. It is safe for concurrent use.
type Memory struct {
	limit int64
	parts sync.Pool

	mu       sync.Mutex
	changed  *sync.Cond // signals changes of reserved and of the buffers
	reserved int64
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64) *Memory {
	m := &Memory{limit: limit}
	m.changed = sync.NewCond(&m.mu)
	m.parts.New = func() any { return new([PartBytes]byte) }
	return m
}

// Reserve reserves memory for a response of the expected size, in bytes. It returns nil if the limit would
// be exceeded, unless nothing else is reserved. The reservation must be released.
func (m *Memory) Reserve(size int64) *Reservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if size > 0 && m.reserved > 0 && m.reserved+size > m.limit {
		return nil
	}
	m.reserved += size
	return &Reservation{memory: m, bytes: size}
}

// Reserved returns the number of bytes reserved.
func (m *Memory) Reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserved
}

// Reservation is the memory reserved for one response.
type Reservation struct {
	memory *Memory
	bytes  int64
}

// Release returns the memory. Further calls, and calls on nil, have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.resize(0)
}

// resize changes the size of the reservation. The memory's lock is held.
func (r *Reservation) resize(size int64) {
	if size < r.bytes {
		r.memory.changed.Broadcast()
	}
	r.memory.reserved += size - r.bytes
	r.bytes = size
}

// extend enlarges the reservation to a size, if the limit allows it. The memory's lock is held.
func (r *Reservation) extend(size int64) bool {
	if size <= r.bytes {
		return true
	}
	if r.memory.reserved+size-r.bytes > r.memory.limit {
		return false
	}
	r.resize(size)
	return true
}

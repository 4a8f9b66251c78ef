package peertest

import "time"

// linkChunkBytes is the number of bytes that a link sends to one VM before it turns to the next one.
const linkChunkBytes = 8 << 10

// link is the outgoing link of a VM with a limited rate. VMs to which messages are sent at the same time share it
// equally, as connections do. It is guarded by the lock of its hub.
type link struct {
	bytesPerSecond int
	waiting        map[string][]*transmission // by destination
	turns          []string                   // destinations with waiting messages, the next one first
	bytesSent      int
}

// transmission is a message that waits for the link.
type transmission struct {
	remaining int
	sent      func() // called with the lock of the hub held
}

// SetLinkRate limits the rate at which a VM sends, in bytes per second. Links of other VMs are not limited.
func (h *Hub) SetLinkRate(vm string, bytesPerSecond int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.links[vm] = &link{bytesPerSecond: bytesPerSecond, waiting: make(map[string][]*transmission)}
}

// LinkBytes returns the number of bytes that a VM has sent since SetLinkRate.
func (h *Hub) LinkBytes(vm string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.links[vm]; l != nil {
		return l.bytesSent
	}
	return 0
}

// transmit calls sent once a message has passed the sender's link. h.mu is held.
func (h *Hub) transmit(from, to string, size int, sent func()) {
	l := h.links[from]
	if l == nil || size == 0 {
		sent()
		return
	}
	if len(l.waiting[to]) == 0 {
		l.turns = append(l.turns, to)
	}
	l.waiting[to] = append(l.waiting[to], &transmission{size, sent})
	if len(l.turns) == 1 && len(l.waiting[to]) == 1 {
		go h.runLink(l)
	}
}

// runLink sends the waiting messages of a link.
func (h *Hub) runLink(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(l.turns) > 0 {
		to := l.turns[0]
		t := l.waiting[to][0]
		size := min(t.remaining, linkChunkBytes)
		h.mu.Unlock()
		time.Sleep(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
		h.mu.Lock()
		l.bytesSent += size
		l.turns = l.turns[1:]
		if t.remaining -= size; t.remaining == 0 {
			l.waiting[to] = l.waiting[to][1:]
			t.sent()
		}
		if len(l.waiting[to]) > 0 {
			l.turns = append(l.turns, to)
		}
	}
}

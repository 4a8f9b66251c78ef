package emulation

import (
	"container/heap"
	"time"
)

// event is a function that is called at a simulated time.
type event struct {
	at  time.Time
	seq int // orders events of the same time by when they were scheduled
	do  func()
}

// after schedules do to be called after d of simulated time.
func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, do})
}

// eventHeap implements heap.Interface, with the next event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

package emulation

import (
	"container/heap"
	"time"
)

// event is something that is due.
type event struct {
	at  time.Time
	seq int // events of one moment happen in the order in which they were planned
	do  func()
}

func (r *run) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{r.now.Add(d), r.seq, do})
}

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

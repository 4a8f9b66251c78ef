package collector

import (
	"runtime"
	"testing"
)

func TestPercentFollowsTheHeap(t *testing.T) {
	for live, want := range map[uint64]int{0: 30, 4 << 20: 30, 6 << 20: 100, 100 << 20: 100} {
		if got := percentFor(live); got != want {
			t.Errorf("%d bytes: %d percent, want %d", live, got, want)
		}
	}
}

// The runtime must still provide the metric that the percentage follows.
func TestLiveHeapIsMeasured(t *testing.T) {
	held := make([]byte, 8<<20)
	runtime.GC()
	if got := liveHeap(); got < 8<<20 {
		t.Errorf("%d bytes are in use, want 8 MB at least", got)
	}
	runtime.KeepAlive(held)
}

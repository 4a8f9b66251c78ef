package targetconn

import (
	"sync"
	"time"
)

const (
	// AheadInterval is how often the connections to targets that are expected to
	// get requests are looked at.
	AheadInterval = 250 * time.Millisecond
	// aheadPerRequest bounds the connections opened ahead per request to another region. A VM with
	// few requests needs several to find one open.
	aheadPerRequest = 4
	// aheadBurst is how many may be saved up: those of some seconds of that VM.
	aheadBurst = 64
	// AheadMost is to how many targets connections are opened ahead, to bound the
	// memory of idle ones.
	AheadMost = 512
)

// AheadBudget bounds the connections that are opened ahead by the requests that
// may use them. Its zero value has none to spend.
type AheadBudget struct {
	mu   sync.Mutex
	left float64
}

// Earn notes a request to another region.
func (b *AheadBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+aheadPerRequest, aheadBurst)
}

// Spend takes one connection; false when there is none left.
func (b *AheadBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

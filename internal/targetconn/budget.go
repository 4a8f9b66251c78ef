package targetconn

import (
	"sync"
	"time"
)

const (
	// AheadInterval is the interval of opening connections to expected targets.
	AheadInterval = 250 * time.Millisecond
	// aheadPerRequest bounds the connections opened ahead per request to another region. A VM with
	// few requests needs several to find one open.
	aheadPerRequest = 4
	// aheadBurst bounds the saved connections.
	aheadBurst = 64
	// AheadMost bounds the targets with connections opened ahead, for the memory of idle ones.
	AheadMost = 512
)

// AheadBudget limits connections opened ahead by the number of remote requests. Its zero value is
// empty.
type AheadBudget struct {
	mu   sync.Mutex
	left float64
}

// Earn records a request to another region.
func (b *AheadBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+aheadPerRequest, aheadBurst)
}

// Spend takes one connection; false if the budget is empty.
func (b *AheadBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

package targetconn

import (
	"sync"
	"time"
)

const (
	// AheadInterval is the interval at which connections are opened ahead to expected targets.
	AheadInterval = 250 * time.Millisecond
	// aheadPerRequest is the number of connections that may be opened ahead for each request to another
	// region. It is above 1 because a VM with few requests must open connections to several targets
	// to have one to the target that is chosen.
	aheadPerRequest = 4
	// maxAheadBudget is the largest balance of an AheadBudget, in connections.
	maxAheadBudget = 64
	// MaxAheadTargets is the maximum number of targets to which connections are opened ahead. It limits
	// the memory of idle connections.
	MaxAheadTargets = 512
)

// AheadBudget limits the connections opened ahead in proportion to the requests to other regions. The
// zero value is an empty budget.
type AheadBudget struct {
	mu      sync.Mutex
	balance float64 // in connections
}

// Deposit adds the connections that a request to another region allows.
func (b *AheadBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+aheadPerRequest, maxAheadBudget)
}

// Withdraw takes one connection from the budget. It returns false if less than one is left.
func (b *AheadBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

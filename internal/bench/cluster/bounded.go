package cluster

import (
	"bytes"
	"runtime"
	"time"

	"github.com/gravitational/trace"
)

// Bounds on what a daemon may take, so that a scenario always ends.
const (
	startBound = 20 * time.Second
	killBound  = 10 * time.Second
	// drainBound begins when the context of a drain ends.
	drainBound = 10 * time.Second

	stackBytes    = 4 << 20 // of all goroutines
	maxShownStack = 16 << 10
)

// bounded runs f. When that takes too long it is left running, and the error
// shows the goroutines that are in the code of the daemon.
func bounded(what string, limit time.Duration, f func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return trace.LimitExceeded("%s is not done after %v; goroutines of the daemon:\n%s", what, limit, daemonStacks())
	}
}

// daemonStacks returns the stacks that go through the daemon or its kernel.
func daemonStacks() []byte {
	all := make([]byte, stackBytes)
	all = all[:runtime.Stack(all, true)]
	var shown []byte
	for stack := range bytes.SplitSeq(all, []byte("\n\n")) {
		inDaemon := bytes.Contains(stack, []byte("internal/daemon.")) || bytes.Contains(stack, []byte("internal/kernel."))
		if inDaemon && len(shown)+len(stack) < maxShownStack {
			shown = append(append(shown, stack...), '\n', '\n')
		}
	}
	return shown
}

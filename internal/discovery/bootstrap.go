package discovery

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Times of a start.
const (
	// joinTimeout is how long a starting VM waits until it knows the others, before it uses what the store
	// has: the store may have come back from a copy, and the others know what it lacks. It allows for a
	// connection to another region and an answer, four one-way delays of 55 ms. Callers are refused for
	// as long, also when all VMs start at once and none knows anything.
	joinTimeout = 300 * time.Millisecond
	// readAheadDelay is how long a starting VM waits until it knows the others, before it reads the store
	// meanwhile. A VM that starts alone has joined by then and saves the call.
	readAheadDelay = 150 * time.Millisecond
	// restartBootstrapTimeout is how long a starting VM tries to bootstrap from peers before it
	// reads the store. firstStartBootstrapTimeout is used at the fleet's first start. It is longer,
	// as no callers are waiting yet.
	restartBootstrapTimeout    = 300 * time.Millisecond
	firstStartBootstrapTimeout = 2 * time.Second
	// bootstrapRetryInterval is the interval between attempts to find a peer while bootstrapping.
	bootstrapRetryInterval = 20 * time.Millisecond
	// bootstrapPollTimeout is the timeout of a poll while bootstrapping. It is short because the
	// peer may not have started yet.
	bootstrapPollTimeout = 250 * time.Millisecond
	// firstConsultTimeout is how long a VM that has read the store ahead waits for a peer's answer before it
	// uses what it read: a round trip to another region.
	firstConsultTimeout = 150 * time.Millisecond
	// consultTimeout bounds how long after its start a VM that has read the store consults a peer.
	consultTimeout = 3 * time.Second
)

// start fetches the first list: from a peer, to save store calls, or from the store. After a read of the
// store it consults a peer, which may go on after start has returned; wait waits for its end.
func (w *watcher) start(ctx context.Context) (wait func()) {
	var consulting sync.WaitGroup
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ahead := w.bootstrap(ctx, readCtx)
	if w.asOf == 0 && !w.firstStart {
		answered := make(chan struct{})
		consulting.Go(func() { w.consultPeer(ctx, answered) })
		if ahead != nil {
			waitFor(ctx, answered, firstConsultTimeout)
			w.recordRead(ctx, <-ahead)
		}
	}
	w.readStoreNext = w.asOf == 0
	return consulting.Wait
}

// bootstrap fetches the first list from a peer. If the VM has not joined the fleet by readAheadDelay, it
// starts to read the store meanwhile, until readCtx is done, and returns the channel of the result.
func (w *watcher) bootstrap(ctx, readCtx context.Context) (ahead <-chan storeRead) {
	if !w.waitUntilJoined(ctx, readAheadDelay) && !w.firstStart {
		ahead = w.readAhead(readCtx)
	}
	w.waitUntilJoined(ctx, joinTimeout-readAheadDelay)
	ctx, cancel := context.WithTimeout(ctx, w.bootstrapTimeout())
	defer cancel()
	for ctx.Err() == nil && w.asOf == 0 {
		vms := w.sources().preferred
		if len(vms) == 0 || w.bootstrapFrom(ctx, w.nextSource(vms)) {
			break
		}
		sleep(ctx, bootstrapRetryInterval)
	}
	return ahead
}

// readAhead starts to read the complete list from the store. The channel receives the result once.
func (w *watcher) readAhead(ctx context.Context) <-chan storeRead {
	result := make(chan storeRead, 1)
	go func() { result <- w.callStore(ctx, 0) }()
	return result
}

// waitUntilJoined waits until this VM has joined the fleet, or the timeout. It reports whether it has.
func (w *watcher) waitUntilJoined(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil && !w.joined() {
		sleep(ctx, bootstrapRetryInterval)
	}
	return w.joined()
}

// waitFor waits until a channel is closed, the timeout or the end of the context.
func waitFor(ctx context.Context, closed <-chan struct{}, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// consultPeer primes the mirror with the state of a peer, after a bootstrap in which none answered: the store
// may have come back from a copy a moment ago, and the peers know better. answered is closed with the first
// answer, also of a peer that is starting too, and at the end.
func (w *watcher) consultPeer(ctx context.Context, answered chan<- struct{}) {
	signal := sync.OnceFunc(func() { close(answered) })
	defer signal()
	ctx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()
	for ; ctx.Err() == nil; sleep(ctx, bootstrapRetryInterval) {
		if !w.joined() {
			continue
		}
		src := w.sources()
		for _, vm := range append(slices.Clone(src.preferred), src.others...) {
			a, err := w.sourceOf(vm).poll(ctx, &pollRequest{Kind: w.kind, Now: true, Eras: true})
			if err == nil && a.AsOf != 0 && a.Complete {
				w.prime(a.toChange(w.kind, vm, w.boot.SinceBoot()))
				return
			}
			if err == nil {
				signal()
			}
		}
	}
}

func (w *watcher) bootstrapTimeout() time.Duration {
	if w.firstStart {
		return firstStartBootstrapTimeout
	}
	return restartBootstrapTimeout
}

// bootstrapFrom polls a peer for the first list; it does nothing if vm is "". It reports whether to
// stop polling peers: the list was received, or the peer has no state either and this is not the
// fleet's first start.
func (w *watcher) bootstrapFrom(ctx context.Context, vm string) bool {
	if vm == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapPollTimeout)
	defer cancel()
	err := w.poll(ctx, vm, false)
	if err == nil {
		return true
	}
	w.skipUntil[vm] = w.clock.Now().Add(skipStarting)
	return errors.Is(err, errStarting) && !w.firstStart
}

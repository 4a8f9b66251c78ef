package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// substituteDuration is the interval at which a VM with a substitute source tries its regular ones.
	substituteDuration = 5 * time.Second
	// peerPollDelay is the delay before each poll of a random peer during an outage. Such a poll takes at most
	// peerPollTimeout.
	peerPollDelay   = 100 * time.Millisecond
	peerPollTimeout = 400 * time.Millisecond
)

// substitute is the source that a VM uses in place of its regular ones during a partial outage, in which some VMs
// still reach the store. It ends with its first failure.
type substitute struct {
	vm         string    // the peer; "" is the store itself
	retryAfter time.Time // the regular sources are tried from then on
}

// readStoreBesidePeers makes one store call and polls random peers, at least one, until it ends, as an unresponsive
// store fails late. The source that gives fresh state first becomes the substitute.
func (w *watcher) readStoreBesidePeers(ctx context.Context, src *sources) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan storeRead, 1)
	since := w.asOf
	go func() { done <- w.callStore(callCtx, since) }()
	for {
		w.pollRandomPeer(ctx, src)
		if w.substitute != nil {
			cancel()
			<-done
			return
		}
		select {
		case read := <-done:
			// A peer may have given newer state meanwhile. The store is read again from there.
			isOutdated := read.err == nil && read.change.asOf < w.asOf
			if succeeded := isOutdated || w.recordRead(ctx, read); succeeded && len(src.preferred) > 0 {
				w.setSubstitute("")
			}
			return
		default:
		}
	}
}

// pollRandomPeer polls a random peer, which becomes the substitute source if its state is fresh. In a partial
// outage the store may serve VMs other than its usual readers.
func (w *watcher) pollRandomPeer(ctx context.Context, src *sources) {
	sleep(ctx, peerPollDelay)
	if len(src.others) == 0 {
		return
	}
	vm := src.others[rand.IntN(len(src.others))]
	if w.clock.Now().After(w.skipUntil[vm]) && w.pollPeer(ctx, vm, src, true) {
		w.setSubstitute(vm)
		w.readStoreNext = false
	}
}

// setSubstitute makes a peer, or the store if vm is "", the substitute source.
func (w *watcher) setSubstitute(vm string) {
	w.substitute = &substitute{vm, w.clock.Now().Add(substituteDuration)}
}

// useSubstitute polls the substitute source or reads it, if it is the store. At intervals it tries the regular
// sources first and returns to them if they are fresh.
func (w *watcher) useSubstitute(ctx context.Context, src *sources) {
	if now := w.clock.Now(); now.After(w.substitute.retryAfter) {
		if w.tryRegularSource(ctx, src) {
			w.substitute = nil
			return
		}
		w.substitute.retryAfter = w.clock.Now().Add(substituteDuration)
	}
	if !w.updateFrom(ctx, w.substitute.vm, src) {
		w.substitute = nil
	}
}

// updateFrom polls a peer, or reads the store if vm is "", and reports whether that gave fresh state.
func (w *watcher) updateFrom(ctx context.Context, vm string, src *sources) (fresh bool) {
	if vm == "" {
		return w.readStore(ctx)
	}
	return w.pollPeer(ctx, vm, src, false)
}

// tryRegularSource polls the most preferred source. A reader that polls a peer instead of the store reads the
// store as well. It reports whether the state is fresh.
func (w *watcher) tryRegularSource(ctx context.Context, src *sources) (fresh bool) {
	vm := w.nextSource(src.preferred)
	if vm != "" && w.pollPeer(ctx, vm, src, true) {
		return true
	}
	usesPeer := w.substitute.vm != ""
	return usesPeer && (src.isReader || len(src.preferred) == 0) && w.readStore(ctx)
}

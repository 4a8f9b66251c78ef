package placement

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/membership"
	"masticturn/internal/peer"
)

// useMessage is what a VM tells others of its region (peer.KindTargetUse).
type useMessage struct {
	Services map[string]*Use `msgpack:"s"` // by name; without those of which there is nothing to tell
}

// tellLoop tells the other VMs of the region what this one has at targets, until
// the context is done.
func (a *Admitter) tellLoop(ctx context.Context) {
	ticker := time.NewTicker(SharePeriod)
	defer ticker.Stop()
	told := false
	for {
		select {
		case <-ticker.C:
			told = a.tell(told)
		case <-ctx.Done():
			return
		}
	}
}

// tell tells once. It reports whether there was anything to tell; after that
// the others are also told when there is nothing any more.
func (a *Admitter) tell(before bool) bool {
	m := a.gather()
	if len(m.Services) == 0 && !before {
		return false
	}
	for _, vm := range a.listeners() {
		_ = a.deps.Network.Send(vm, peer.KindTargetUse, m) // the next one makes a lost one good
	}
	return len(m.Services) > 0
}

func (a *Admitter) gather() *useMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &useMessage{Services: make(map[string]*Use)}
	now := a.deps.Clock.Now()
	for name, p := range a.pools {
		p.countShared(now)
		if u := p.Tell(); !u.Empty() {
			m.Services[name] = u
		}
	}
	return m
}

// listeners returns the VMs to tell this time: all others of the region, or
// ShareMost of them drawn by chance.
func (a *Admitter) listeners() []string {
	var names []string
	for _, m := range a.deps.Members.View().Members {
		if m.State == membership.Alive && m.Region == a.deps.VM.Region && m.Name != a.deps.VM.Name {
			names = append(names, m.Name)
		}
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), ShareMost)]
}

// hearUse takes in what another VM told, if it is a member. Services that it did
// not mention have nothing of it running.
func (a *Admitter) hearUse(_ context.Context, from string, payload []byte) (any, error) {
	if _, ok := a.deps.Members.View().Member(from); !ok {
		return nil, trace.AccessDenied("VM %s is no member", from)
	}
	var m useMessage
	if err := peer.Decode(payload, &m); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	for name, p := range a.pools {
		u := m.Services[name]
		if u == nil {
			u = &Use{}
		}
		p.Hear(from, u, now)
	}
	return nil, nil
}

package placement

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/membership"
	"masticturn/internal/peer"
)

// tellLoop tells the other VMs of the region what this one and those below it have
// at targets, until the context is done.
func (a *Admitter) tellLoop(ctx context.Context) {
	ticker := time.NewTicker(SharePeriod)
	defer ticker.Stop()
	var relay <-chan time.Time // set while words of VMs below are gathered
	for {
		select {
		case <-ticker.C:
			a.tell()
		case <-relay:
			relay = nil
			a.tell()
		case <-a.toldOn:
			if relay == nil {
				relay = time.After(RelayGap)
			}
		case <-ctx.Done():
			return
		}
	}
}

// tell takes one turn.
func (a *Admitter) tell() {
	a.mu.Lock()
	now := a.deps.Clock.Now()
	for _, p := range a.pools {
		p.forgetOld(now)
	}
	turn := a.teller.Take(a.ownUse, now)
	kind := peer.KindUseReport
	if turn.Sum {
		kind = peer.KindUseSum
		a.hear(turn.Word, now)
	}
	a.mu.Unlock()
	a.send(turn.To, kind, turn.Word)
}

// send sends a word; the next one makes a lost one good.
func (a *Admitter) send(to []string, kind peer.Kind, w *Word) {
	for _, vm := range to {
		_ = a.deps.Network.Send(vm, kind, w)
	}
}

// ownUse returns what this VM itself has to tell; a.mu is held.
func (a *Admitter) ownUse() *Word {
	w := &Word{Services: make(map[string]*Use)}
	for name, p := range a.pools {
		if u := p.Tell(); !u.Empty() {
			w.Services[name] = u
		}
	}
	return w
}

// hear takes in what all VMs of the region have; a.mu is held. Of services that
// are not mentioned there is nothing.
func (a *Admitter) hear(w *Word, now time.Time) {
	for name, p := range a.pools {
		u := w.Services[name]
		if u == nil {
			u = newUse()
		}
		p.Hear(u, min(w.Life, wordLifeMost), now)
	}
}

// place takes over this VM's position among those of its region.
func (a *Admitter) place(v *membership.View) {
	var names []string
	for _, m := range v.Members {
		if m.State == membership.Alive && m.Region == a.deps.VM.Region {
			names = append(names, m.Name)
		}
	}
	p, _ := PositionOf(a.deps.VM.Name, names) // one that leaves tells nobody
	a.mu.Lock()
	defer a.mu.Unlock()
	a.teller.SetPosition(p)
}

// hearReport takes in what a VM and those below it have.
func (a *Admitter) hearReport(_ context.Context, from string, payload []byte) (any, error) {
	var w Word
	if err := peer.Decode(payload, &w); err != nil {
		return nil, err
	}
	a.mu.Lock()
	on := a.teller.Told(from, &w, a.deps.Clock.Now())
	a.mu.Unlock()
	if !on {
		return nil, nil
	}
	select {
	case a.toldOn <- struct{}{}:
	default: // it is gathering already
	}
	return nil, nil
}

// hearSum takes in what all VMs of the region have, and passes it on.
func (a *Admitter) hearSum(_ context.Context, from string, payload []byte) (any, error) {
	var w Word
	if err := peer.Decode(payload, &w); err != nil {
		return nil, err
	}
	a.mu.Lock()
	below, ok := a.teller.Below(from)
	if ok {
		a.hear(&w, a.deps.Clock.Now())
	}
	a.mu.Unlock()
	if !ok {
		return nil, trace.AccessDenied("VM %s is not above this one", from)
	}
	a.send(below, peer.KindUseSum, &w)
	return nil, nil
}

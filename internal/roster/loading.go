package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/telemetry"
)

const (
	// peersOnlyTime is how long a starting VM asks only other VMs for the list: a connection to another VM and a few
	// answers.
	peersOnlyTime = 300 * time.Millisecond
	// At the first start of a fleet no callers wait, and no VM has the list. One VM of each region reads the store after
	// firstStartReaderTime, the others after firstStartPeersOnlyTime.
	firstStartReaderTime    = 1500 * time.Millisecond
	firstStartPeersOnlyTime = 5 * time.Second
	// loadInterval is the interval between attempts to load the list, slowLoadInterval that from slowLoadAfter on and at the
	// first start of a fleet.
	loadInterval     = 50 * time.Millisecond
	slowLoadInterval = 250 * time.Millisecond
	slowLoadAfter    = time.Second
)

// load tries once to get the complete list. It returns the time until the next attempt.
func (s *Service) load(ctx context.Context) time.Duration {
	if s.loadFromPeer(ctx) {
		return 0
	}
	now := s.deps.Clock.Now()
	if now.Sub(s.started) >= s.peersOnlyTime() && !now.Before(s.nextRead) {
		s.nextRead = now.Add(storeRetryInterval + rand.N(storeRetryInterval/2))
		if s.loadFromStore(ctx) {
			return 0
		}
	}
	if s.deps.FirstStart || now.Sub(s.started) >= slowLoadAfter {
		return slowLoadInterval
	}
	return loadInterval
}

// peersOnlyTime returns how long after its start this VM asks only other VMs.
func (s *Service) peersOnlyTime() time.Duration {
	switch {
	case !s.deps.FirstStart:
		return peersOnlyTime
	case s.deps.Joined() && slices.Index(s.writers(), s.deps.Self.Name) == 0:
		return firstStartReaderTime
	}
	return firstStartPeersOnlyTime
}

// loadFromPeer asks another VM for the list.
func (s *Service) loadFromPeer(ctx context.Context) bool {
	vm := s.pickPeer()
	if vm == "" {
		return false
	}
	r, err := s.ask(ctx, vm, request{})
	if err != nil || !r.Complete {
		s.deps.Logger.Log(eventPeerFailed, telemetry.Peer(vm), telemetry.Err(err))
		return false
	}
	known, err := r.unpack()
	if err != nil {
		s.deps.Logger.Log(eventPeerFailed, telemetry.Peer(vm), telemetry.Err(err))
		return false
	}
	s.adopt(known, vm)
	return true
}

// pickPeer returns a VM to ask for the list: a random one, as all have it except after a start of the whole fleet.
// At the first start, every second time it is the VM that reads the store first. "" means that no other VM is known.
func (s *Service) pickPeer() string {
	if !s.deps.Joined() {
		return ""
	}
	s.loads++
	if writers := s.writers(); s.deps.FirstStart && s.loads%2 == 0 && len(writers) > 0 && writers[0] != s.deps.Self.Name {
		return writers[0]
	}
	vms := s.otherMembers()
	if len(vms) == 0 {
		return ""
	}
	return vms[rand.IntN(len(vms))]
}

// otherMembers returns the other VMs of the region that are alive, or of all regions if there are none.
func (s *Service) otherMembers() []string {
	var local, all []string
	v := s.deps.Members.View()
	for i := range v.Members {
		m := &v.Members[i]
		if m.Name == s.deps.Self.Name || m.State != membership.Alive {
			continue
		}
		all = append(all, m.Name)
		if m.Region == s.deps.Self.Region {
			local = append(local, m.Name)
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}

func (s *Service) loadFromStore(ctx context.Context) bool {
	era := s.deps.Store.Era()
	vms, err := readAll(ctx, s.deps.Store)
	if err != nil {
		s.deps.Logger.Log(eventStoreFailed, telemetry.Value("step", "read"), telemetry.Err(err))
		return false
	}
	s.checkedEra = max(era, s.checkedEra)
	s.adopt(knownVMs{Stored: vms}, "")
	return true
}

// adopt completes the list with the VMs that another VM or the store ("") knows.
func (s *Service) adopt(known knownVMs, from string) {
	s.change(func(now time.Time) bool {
		s.list.addStored(known.Stored, now)
		s.list.addKnown(known.Others, now)
		s.list.complete = true
		return true
	})
	s.deps.Logger.Log(eventComplete, telemetry.Peer(from),
		telemetry.Value("vms", len(s.VMs())),
		telemetry.Value("after_ms", s.deps.Clock.Now().Sub(s.started).Milliseconds()))
}

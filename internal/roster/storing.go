package roster

import (
	"context"
	"slices"
	"time"

	"masticturn/internal/telemetry"
)

const (
	// maxWriters is the number of VMs of a region that may write its list, one after the other, writerDelay apart.
	maxWriters  = 3
	writerDelay = 2 * time.Second
	// ownStateInterval is the interval at which a VM that isn't stored asks whether it is, asksPerWriter times in a row the
	// same VM.
	ownStateInterval = time.Second
	asksPerWriter    = 4
)

// electionKey determines which VMs of a region write its list.
const electionKey = "roster"

// maintain brings the store's list of this region up to date if that is up to this VM, and finds out whether this VM is
// stored.
func (s *Service) maintain(ctx context.Context) {
	if now := s.deps.Clock.Now(); !s.regionDiffers(now) {
		s.pendingSince = time.Time{}
	} else if s.pendingSince.IsZero() {
		s.pendingSince = now
	}
	now, writers := s.deps.Clock.Now(), s.writers()
	rank := slices.Index(writers, s.deps.Self.Name)
	if !s.pendingSince.IsZero() && rank >= 0 && now.Sub(s.pendingSince) >= time.Duration(rank)*writerDelay && !now.Before(s.nextRead) {
		s.nextRead = now.Add(storeRetryInterval)
		if rank == 0 || !s.refreshFrom(ctx, writers[0]) {
			s.storeRegion(ctx)
		}
	}
	if !s.selfStored() && !now.Before(s.nextAsk) {
		s.nextAsk = now.Add(ownStateInterval)
		s.askWhetherStored(ctx, writers)
	}
}

// regionDiffers reports whether the store's list of this region may lack changes.
func (s *Service) regionDiffers(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, differs := s.list.toStore(now)
	return differs || s.deps.Store.Era() > s.checkedEra
}

// refreshFrom takes the stored VMs from the region's first writer. It reports whether nothing is left to be stored.
func (s *Service) refreshFrom(ctx context.Context, writer string) bool {
	r, err := s.ask(ctx, writer, request{})
	if err != nil || !r.Complete {
		return false
	}
	known, err := r.unpack()
	if err != nil {
		s.deps.Logger.Log(eventPeerFailed, telemetry.Peer(writer), telemetry.Err(err))
		return false
	}
	s.change(func(now time.Time) bool {
		s.list.addStored(known.Stored, now)
		return true
	})
	return !s.regionDiffers(s.deps.Clock.Now())
}

func (s *Service) selfStored() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.selfStored()
}

// writers returns the VMs of the region that may write its list, in their order.
func (s *Service) writers() []string {
	var names []string
	for _, m := range s.deps.Members.View().Brokers(electionKey, s.deps.Self.Region, maxWriters) {
		names = append(names, m.Name)
	}
	return names
}

// storeRegion merges this VM's list of the region into the store's.
func (s *Service) storeRegion(ctx context.Context) {
	era := s.deps.Store.Era()
	n, err := s.mergeRegion(ctx)
	if err != nil {
		s.deps.Logger.Log(eventStoreFailed, telemetry.Value("step", "write"), telemetry.Err(err))
		return
	}
	s.checkedEra = max(era, s.checkedEra)
	s.deps.Logger.Log(eventStored, telemetry.Value("vms", n))
}

func (s *Service) mergeRegion(ctx context.Context) (vms int, err error) {
	region := s.deps.Self.Region
	object, err := readRegion(ctx, s.deps.Store, region)
	if err != nil {
		return 0, err
	}
	var merged []VM
	s.change(func(now time.Time) bool {
		s.list.addStored(object.vms, now)
		merged, _ = s.list.toStore(now)
		return true
	})
	if err := object.replace(ctx, s.deps.Store, region, merged); err != nil {
		return 0, err
	}
	s.change(func(now time.Time) bool {
		s.list.setStored(merged, now)
		return true
	})
	return len(merged), nil
}

// askWhetherStored asks one of the region's writers whether the store has this VM: the first one, and the next after a
// failure or asksPerWriter answers in the negative, as the first one may not reach the store.
func (s *Service) askWhetherStored(ctx context.Context, writers []string) {
	writers = slices.DeleteFunc(slices.Clone(writers), func(name string) bool { return name == s.deps.Self.Name })
	if len(writers) == 0 {
		return
	}
	vm := writers[s.asks/asksPerWriter%len(writers)]
	r, err := s.ask(ctx, vm, request{OwnStateOnly: true})
	s.asks++
	if err != nil {
		s.asks += asksPerWriter - 1
		s.deps.Logger.Log(eventPeerFailed, telemetry.Peer(vm), telemetry.Err(err))
		return
	}
	if r.SenderStored {
		s.change(func(now time.Time) bool {
			s.list.addStored([]VM{s.deps.Self}, now)
			return true
		})
	}
}

package admission

import (
	"context"
	"sync"
	"time"

	"masticturn/internal/peer"
	"masticturn/internal/wait"
)

// Brokered admits by asking the broker of each service in this VM's region.
type Brokered struct {
	deps     Deps
	meter    *meter
	settled  time.Time
	mu       sync.RWMutex // guards stations, not their content
	stations map[string]*station
}

var _ Admitter = (*Brokered)(nil)

// settleTime is how long after the start of its process a broker gives
// nothing out: its view of the members may still lack some.
const settleTime = time.Second

// NewBrokered returns an admitter with brokers. It registers its handlers with
// the network, so it must be called before the network starts; Run must be
// called as well.
func NewBrokered(deps Deps, m *meter) *Brokered {
	b := &Brokered{
		deps:     deps,
		meter:    m,
		settled:  deps.Clock.Now().Add(settleTime),
		stations: make(map[string]*station),
	}
	handle(b, peer.KindPermit, func(m *ask) scope { return m.Scope })
	handle(b, peer.KindRelease, func(m *release) scope { return m.Scope })
	handle(b, peer.KindDecision, func(m *decision) scope { return m.Scope })
	handle(b, peer.KindInventory, func(m *inventory) scope { return m.Scope })
	handle(b, peer.KindPass, func(m *passList) scope { return m.Scope })
	handle(b, peer.KindDemand, func(m *demandMessage) scope { return m.Scope })
	handle(b, peer.KindGrant, func(m *grantMessage) scope { return m.Scope })
	return b
}

// handle passes messages of a kind on to the station of their scope.
func handle[T any](b *Brokered, kind peer.Kind, scopeOf func(*T) scope) {
	b.deps.Network.Handle(kind, func(_ context.Context, _ string, payload []byte) (any, error) {
		m := new(T)
		if err := peer.Decode(payload, m); err != nil {
			return nil, err
		}
		sc := scopeOf(m)
		if sc.Region != b.deps.VM.Region {
			return nil, nil
		}
		if st := b.station(sc.Service); st != nil {
			st.receive(m)
		}
		return nil, nil
	})
}

// Run looks after queues, credits and inventories until the context is done.
func (b *Brokered) Run(ctx context.Context) {
	wait.Every(ctx, tickEvery, b.tick)
}

// tick lets the stations of all services act on the passing of time.
func (b *Brokered) tick() {
	s := b.deps.Config.Current()
	if s == nil {
		return
	}
	for _, svc := range s.Services() {
		b.station(svc.Name).tick()
	}
}

// Acquire implements Admitter.
func (b *Brokered) Acquire(ctx context.Context, r *Request) (Permit, error) {
	st := b.station(r.Service.Name)
	if st == nil {
		return nil, notRun(reasonNoDocument, silentRetryAfter)
	}
	return st.acquire(ctx, r)
}

// reasonNoDocument is the reason before a document with the service is in
// force.
const reasonNoDocument = "no document with this service is in force"

// station returns the station of a service, nil when the document has none of
// that name.
func (b *Brokered) station(service string) *station {
	b.mu.RLock()
	st := b.stations[service]
	b.mu.RUnlock()
	if st != nil {
		return st
	}
	s := b.deps.Config.Current()
	if s == nil || s.Service(service) == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.stations[service]; st != nil {
		return st
	}
	st = newStation(b.deps, b.meter, service, b.settled)
	b.stations[service] = st
	return st
}

package admission

import (
	"time"

	"masticturn/internal/config"
	"masticturn/internal/membership"
	"masticturn/internal/peer"
	"masticturn/internal/steering"
)

// brokerOf returns the VM that is broker of a scope by a view of the members:
// the first by rendezvous hashing of those alive in the region, or, when none
// is, of those suspected. Empty when the region has neither.
func brokerOf(v *membership.View, s scope) string {
	best := v.Brokers(s.Service, s.Region, 1)
	if len(best) == 0 {
		return ""
	}
	return best[0].Name
}

// demand asks the brokers of the other regions for credits, while some are
// wanted or in use.
func (b *broker) demand(now time.Time) {
	others := b.otherRegions()
	for _, region := range others {
		g := b.grantee(region)
		want := b.core.pool.Want(region, len(others), now)
		inUse := b.core.pool.InUse(region)
		if !g.Valid(now) {
			b.core.pool.SetCredits(steering.Credits{Region: region}, b.spec)
		}
		if want == 0 && len(inUse) == 0 && !g.Valid(now) {
			continue
		}
		b.sendDemand(region, g.Demand(want, inUse, now))
	}
}

func (b *broker) sendDemand(region string, d steering.Demand) {
	to := scope{Service: b.scope.Service, Region: region}
	vm := brokerOf(b.members, to)
	if vm == "" {
		return
	}
	d.VM, d.Incarnation = b.id.VM, b.granteeIncarnation()
	b.send(vm, peer.KindDemand, &demandMessage{Scope: to, FromRegion: b.scope.Region, Demand: d})
}

// granteeIncarnation tells terms of the broker apart, since each has its own
// numbers of demands.
func (b *broker) granteeIncarnation() uint64 { return b.id.Incarnation<<termBits | b.id.Term }

// termBits is how many bits of an incarnation tell the terms of one process
// apart.
const termBits = 16

func (b *broker) grantee(region string) *steering.Grantee {
	g := b.grantees[region]
	if g == nil {
		g = &steering.Grantee{}
		b.grantees[region] = g
	}
	return g
}

func (b *broker) otherRegions() []string {
	var out []string
	svc := b.snapshot.Service(b.scope.Service)
	for _, r := range b.snapshot.Document.Regions {
		if r.Name != b.scope.Region && len(svc.TargetsByRegion[r.Name]) > 0 {
			out = append(out, r.Name)
		}
	}
	return out
}

// grant takes credits in that another region grants.
func (b *broker) grant(m *grantMessage, now time.Time) {
	b.event(now)
	if m.Grant.VM != b.id.VM {
		return
	}
	g := b.grantee(m.ByRegion)
	if g.Adopt(m.Grant, now) {
		b.core.pool.SetCredits(steering.Credits{
			Region:      m.ByRegion,
			Slots:       g.Slots(now),
			Until:       g.Expires(),
			Utilisation: m.Grant.Utilisation,
		}, b.spec)
		b.core.pool.Tick(now)
	}
	b.deliver(now)
}

// demanded answers another region's broker that asks for credits.
func (b *broker) demanded(m *demandMessage, now time.Time) {
	b.event(now)
	d := m.Demand
	othersHold := b.granter.HeldSlots() - b.granter.HeldBy(d.VM, d.Incarnation)
	budget := max(0, b.core.pool.Budget(b.granter.HeldSlots())-othersHold)
	if b.step == BrokerRecovering {
		budget = 0
	}
	spare := b.core.pool.Spare(b.mayGrant)
	grant, ok := b.granter.Demand(d, spare, budget, now)
	if !ok {
		return
	}
	grant.Utilisation = b.core.pool.Utilisation()
	b.core.refreshNow(now)
	b.send(d.VM, peer.KindGrant, &grantMessage{
		Scope:    scope{Service: b.scope.Service, Region: m.FromRegion},
		ByRegion: b.scope.Region,
		Grant:    grant,
	})
	b.deliver(now)
}

// mayGrant reports whether the belief about a target is fresh enough for its
// slots to be granted.
func (b *broker) mayGrant(t *steering.Target) bool {
	band := steering.HealthBand(b.core.view.Target(t.Name), b.core.caution, b.last)
	return steering.Allowed(steering.InputTargetHealth, band).Grant
}

// reconfigure puts a new document in force.
func (b *broker) reconfigure(s *config.Snapshot, now time.Time) {
	svc := s.Service(b.scope.Service)
	if svc == nil || s == b.snapshot {
		return
	}
	b.snapshot = s
	cfg := poolConfig(s, svc, b.scope.Region, "", steering.PolicyBroker)
	for _, it := range b.core.reconfigure(s, svc, cfg, now) {
		if slot := b.requests[it.Request]; slot != nil {
			slot.item = it
		}
	}
	b.deliver(now)
}

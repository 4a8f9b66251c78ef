package idempotency

import (
	"context"
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/wait"
)

// maxPrefetchFleet is the fleet size up to which tickets of all members are prefetched. In
// larger fleets only those of members in the VM's own region are.
const maxPrefetchFleet = 64

// issueTicket returns a new ticket of this instance.
func (k *Keys) issueTicket() Ticket { return Ticket{k.deps.Self, k.now()} }

// Subscribe registers f, which is called when Ticket may return new tickets, so that
// lookup responses built from older ones can be rebuilt. f may be called from several
// goroutines concurrently. Subscribe must be called before Start.
func (k *Keys) Subscribe(f func()) { k.subscribers = append(k.subscribers, f) }

// Ticket returns a ticket of the given instance. If none is known, it returns "" and
// fetches one in the background.
func (k *Keys) Ticket(vm string, incarnation uint64) string {
	instance := Instance{vm, incarnation}
	if instance == k.deps.Self {
		return k.issueTicket().String()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, ok := k.tickets[instance]; ok {
		return t.String()
	}
	k.startFetch(instance)
	return ""
}

// HandleViewChange prefetches tickets of the members, before lookups need them, and drops those
// of instances that are gone.
func (k *Keys) HandleViewChange(v *membership.View) {
	wanted := make(map[Instance]bool)
	self, _ := v.Member(k.deps.Self.VM)
	for _, m := range v.Members {
		prefetch := len(v.Members) <= maxPrefetchFleet || m.Region == self.Region
		if prefetch && m.Name != k.deps.Self.VM && m.State == membership.Alive {
			wanted[Instance{m.Name, m.Incarnation}] = true
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wanted = wanted
	for instance := range wanted {
		if _, ok := k.tickets[instance]; !ok {
			k.startFetch(instance)
		}
	}
	for instance := range k.tickets {
		m, ok := v.Member(instance.VM)
		if !ok || m.Incarnation != instance.Incarnation {
			delete(k.tickets, instance)
		}
	}
}

// startFetch starts fetching a ticket unless a fetch is in progress; k.mu is held.
func (k *Keys) startFetch(instance Instance) {
	if k.fetching[instance] || k.deps.Network == nil {
		return
	}
	k.fetching[instance] = true
	go k.fetch(instance)
}

// fetch fetches a ticket and retries while the instance is wanted. It then notifies the
// subscribers, which may request the ticket again.
func (k *Keys) fetch(instance Instance) {
	for !k.fetchOnce(instance) {
		time.Sleep(ticketRetryDelay)
		k.mu.Lock()
		wanted := k.wanted[instance]
		k.mu.Unlock()
		if !wanted {
			break
		}
	}
	k.mu.Lock()
	delete(k.fetching, instance)
	k.mu.Unlock()
	k.notify()
}

// fetchOnce fetches a ticket from another instance. If the instance does not respond,
// its known ticket is dropped, so that no new keys are bound to it.
func (k *Keys) fetchOnce(instance Instance) bool {
	response, err := k.callOnce(context.Background(), instance.VM, &ownerRequest{Op: opTicket, Incarnation: instance.Incarnation})
	t, ok := ParseKey(response.Ticket + keySeparator + "-")
	ok = ok && err == nil && t.Instance == instance
	k.mu.Lock()
	defer k.mu.Unlock()
	if ok {
		k.tickets[instance] = t
	} else {
		delete(k.tickets, instance)
	}
	return ok
}

func (k *Keys) notify() {
	for _, f := range k.subscribers {
		f()
	}
}

// renewTickets renews all tickets periodically.
func (k *Keys) renewTickets(ctx context.Context) {
	wait.Every(ctx, ticketRenewInterval, k.renewAll)
}

func (k *Keys) renewAll() {
	k.mu.Lock()
	known := make([]Instance, 0, len(k.tickets))
	for instance := range k.tickets {
		known = append(known, instance)
	}
	k.mu.Unlock()
	for _, instance := range known {
		k.fetchOnce(instance)
	}
	k.notify()
}

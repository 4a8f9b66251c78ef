package idempotency

import (
	"context"
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/wait"
)

// prefetchAll is the size up to which tickets of all members are fetched ahead;
// in a larger fleet those of the own region are.
const prefetchAll = 64

// issue returns a ticket of this instance.
func (k *Keys) issue() Ticket { return Ticket{k.deps.Self, k.now()} }

// Subscribe makes f be called when Ticket would return new tickets, so that
// answers made from older ones are made again. f may be called from several
// goroutines at once. Subscribe must be called before Start.
func (k *Keys) Subscribe(f func()) { k.changed = append(k.changed, f) }

// Ticket returns a ticket of the named instance, or "" while none is known;
// then one is asked for in the background.
func (k *Keys) Ticket(vm string, incarnation uint64) string {
	who := Instance{vm, incarnation}
	if who == k.deps.Self {
		return k.issue().String()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, ok := k.tickets[who]; ok {
		return t.String()
	}
	k.startFetch(who)
	return ""
}

// Follow fetches tickets of the members ahead, before look-ups name them, and
// forgets those of instances that are gone.
func (k *Keys) Follow(v *membership.View) {
	wanted := make(map[Instance]bool)
	self, _ := v.Member(k.deps.Self.VM)
	for _, m := range v.Members {
		near := len(v.Members) <= prefetchAll || m.Region == self.Region
		if near && m.Name != k.deps.Self.VM && m.State == membership.Alive {
			wanted[Instance{m.Name, m.Incarnation}] = true
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wanted = wanted
	for who := range wanted {
		if _, ok := k.tickets[who]; !ok {
			k.startFetch(who)
		}
	}
	for who := range k.tickets {
		m, ok := v.Member(who.VM)
		if !ok || m.Incarnation != who.Incarnation {
			delete(k.tickets, who)
		}
	}
}

// startFetch asks for a ticket, once at a time. It is called with mu held.
func (k *Keys) startFetch(who Instance) {
	if k.asking[who] || k.deps.Network == nil {
		return
	}
	k.asking[who] = true
	go k.fetch(who)
}

// fetch asks for a ticket until there is one or none is wanted any more. In
// the end answers are made again, which may ask for it again.
func (k *Keys) fetch(who Instance) {
	for !k.fetchOnce(who) {
		time.Sleep(ticketRetry)
		k.mu.Lock()
		wanted := k.wanted[who]
		k.mu.Unlock()
		if !wanted {
			break
		}
	}
	k.mu.Lock()
	delete(k.asking, who)
	k.mu.Unlock()
	k.notify()
}

// fetchOnce asks another instance for a ticket. One that does not answer loses
// its ticket, so that no key is bound to it.
func (k *Keys) fetchOnce(who Instance) bool {
	answer, err := k.callOnce(context.Background(), who.VM, &ownerRequest{Op: opTicket, Incarnation: who.Incarnation})
	t, ok := ParseKey(answer.Ticket + keySeparator + "-")
	ok = ok && err == nil && t.Instance == who
	k.mu.Lock()
	defer k.mu.Unlock()
	if ok {
		k.tickets[who] = t
	} else {
		delete(k.tickets, who)
	}
	return ok
}

func (k *Keys) notify() {
	for _, f := range k.changed {
		f()
	}
}

// renewTickets replaces all tickets by younger ones from time to time.
func (k *Keys) renewTickets(ctx context.Context) {
	wait.Every(ctx, ticketRenew, k.renewAll)
}

func (k *Keys) renewAll() {
	k.mu.Lock()
	known := make([]Instance, 0, len(k.tickets))
	for who := range k.tickets {
		known = append(known, who)
	}
	k.mu.Unlock()
	for _, who := range known {
		k.fetchOnce(who)
	}
	k.notify()
}

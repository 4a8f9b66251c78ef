package idempotency

import (
	"context"
	"time"
)

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
	if !k.asking[who] && k.deps.Network != nil {
		k.asking[who] = true
		go k.fetch(who, true)
	}
	return ""
}

// fetch asks another instance for a ticket. One that does not answer loses its
// ticket, so that no key is bound to it.
func (k *Keys) fetch(who Instance, notify bool) {
	answer, err := k.callOnce(context.Background(), who.VM, &ownerRequest{Op: opTicket, Incarnation: who.Incarnation})
	t, ok := ParseKey(answer.Ticket + keySeparator + "-")
	ok = ok && err == nil && t.Instance == who
	if !ok && notify {
		// Let the answers be made again, and ask again by that.
		time.Sleep(ticketRetry)
	}
	k.mu.Lock()
	delete(k.asking, who)
	if ok {
		k.tickets[who] = t
	} else {
		delete(k.tickets, who)
	}
	k.mu.Unlock()
	if notify {
		k.notify()
	}
}

func (k *Keys) notify() {
	for _, f := range k.changed {
		f()
	}
}

// renewTickets replaces all tickets by younger ones from time to time.
func (k *Keys) renewTickets(ctx context.Context) {
	ticker := time.NewTicker(ticketRenew)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.renewAll()
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keys) renewAll() {
	k.mu.Lock()
	known := make([]Instance, 0, len(k.tickets))
	for who := range k.tickets {
		known = append(known, who)
	}
	k.mu.Unlock()
	for _, who := range known {
		k.fetch(who, false)
	}
	k.notify()
}

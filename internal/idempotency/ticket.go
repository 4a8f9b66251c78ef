package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"masticturn/internal/edge"
)

// A key that begins with a ticket and keySeparator is owned by the instance that issued
// the ticket. The ticket is part of the key, so that a repeated request carries the same
// ticket.
const (
	ticketPrefix    = "mt1"
	ticketSeparator = "~"
	keySeparator    = edge.KeySeparator
	ticketParts     = 4
	numberBase      = 36
)

// Instance identifies a daemon process: the VM and the incarnation, which changes at
// each start.
type Instance struct {
	VM          string
	Incarnation uint64
}

// Ticket identifies the instance that issued it and the time of issue by that instance's
// clock. Times are never compared across instances.
type Ticket struct {
	Instance
	Issued time.Duration // since the instance started
}

// String returns the ticket in its wire format.
func (t Ticket) String() string {
	return strings.Join([]string{
		ticketPrefix, t.VM,
		strconv.FormatUint(t.Incarnation, numberBase),
		strconv.FormatInt(t.Issued.Milliseconds(), numberBase),
	}, ticketSeparator)
}

// ParseKey returns the ticket at the beginning of a key. ok is false if there is no
// valid ticket.
func ParseKey(key string) (t Ticket, ok bool) {
	head, own, found := strings.Cut(key, keySeparator)
	parts := strings.Split(head, ticketSeparator)
	if !found || own == "" || len(parts) != ticketParts || parts[0] != ticketPrefix || parts[1] == "" {
		return Ticket{}, false
	}
	incarnation, err1 := strconv.ParseUint(parts[2], numberBase, 64)
	ms, err2 := strconv.ParseInt(parts[3], numberBase, 64)
	if err1 != nil || err2 != nil || ms < 0 || ms > int64(time.Duration(1<<63-1)/time.Millisecond) {
		return Ticket{}, false
	}
	return Ticket{Instance{parts[1], incarnation}, time.Duration(ms) * time.Millisecond}, true
}

// Validate reports whether the instance can issue tickets.
func (i Instance) Validate() error {
	if i.VM == "" || strings.Contains(i.VM, ticketSeparator) || strings.Contains(i.VM, keySeparator) {
		return fmt.Errorf("VM name %q: allowed is a name without %q and %q", i.VM, ticketSeparator, keySeparator)
	}
	return nil
}

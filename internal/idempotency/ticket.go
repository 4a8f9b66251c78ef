package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"masticturn/internal/edge"
)

// A key that begins with a ticket and keySeparator belongs to the instance
// that issued the ticket. As the ticket is a part of the key, a repeated key
// can't come with another ticket.
const (
	ticketPrefix    = "mt1"
	ticketSeparator = "~"
	keySeparator    = edge.KeySeparator
	ticketParts     = 4
	numberBase      = 36
)

// Instance is one start of a daemon's process.
type Instance struct {
	VM          string
	Incarnation uint64
}

// Ticket names the instance that issued it and when, by that instance's own
// clock. No two clocks are compared.
type Ticket struct {
	Instance
	Issued time.Duration // since the instance started
}

// String returns the wire form.
func (t Ticket) String() string {
	return strings.Join([]string{
		ticketPrefix, t.VM,
		strconv.FormatUint(t.Incarnation, numberBase),
		strconv.FormatInt(t.Issued.Milliseconds(), numberBase),
	}, ticketSeparator)
}

// ParseKey finds the ticket at the head of a key; ok is false when there is
// none, or none that this program would issue.
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

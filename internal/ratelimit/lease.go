package ratelimit

import (
	"time"

	"masticturn/internal/platform"
)

const (
	// leaseTTL is how long the granter may grant after a renewal was sent.
	leaseTTL = 2400 * time.Millisecond
	// renewInterval is the interval of renewals.
	renewInterval = 800 * time.Millisecond
	// leaseMargin covers the drift between the clocks of two VMs.
	leaseMargin = 100 * time.Millisecond
	// rankDelay is how much longer than the VM ranked before it a candidate waits.
	rankDelay = time.Second
	// watchInterval is the interval at which a candidate reads another VM's lease.
	watchInterval = 500 * time.Millisecond
	// retryInterval is the least time between calls to the store after one failed.
	retryInterval = 300 * time.Millisecond
)

// claim is the content of the lease's object.
type claim struct {
	Granter     string `json:"granter"` // VM; empty: released
	Incarnation uint64 `json:"incarnation"`
	Holders     string `json:"holders"` // VMs that may hold shares, packed
}

// action is what the lease's owner or a candidate does next.
type action uint8

const (
	actWait    action = iota
	actRead           // read the object
	actClaim          // take the lease over, or renew it
	actRelease        // give the lease back
)

// lease is the state of the lease at one VM: the granter's, or a candidate's. A lease is taken over
// only after its object has not changed for leaseTTL, counted from the end of a read; so the owner's
// last renewal was sent earlier. It does no I/O and is not safe for concurrent use.
type lease struct {
	self string

	version platform.Version // of the object; 0: it does not exist, or is not known
	read    bool             // version is known
	owner   string           // by the object
	process uint64           // incarnation of the owner, by the object
	holders holderSet        // by the object
	seen    time.Duration    // when the version was first read here

	term    uint64        // of this VM's lease; 0: none
	renewed time.Duration // when the last successful renewal was sent
	early   bool          // a renewal is due before its time
	sentAt  time.Duration // when the last call was sent
	failed  bool          // the last call failed
	calm    time.Duration // since when there is no granter
}

// valid reports whether this VM may grant.
func (l *lease) valid(now time.Duration) bool { return l.term != 0 && now < l.renewed+leaseTTL }

// observed handles an object that was read; found is false if it does not exist.
func (l *lease) observed(version platform.Version, c claim, holders holderSet, found bool, now time.Duration) {
	if !found {
		version, c, holders = 0, claim{}, nil
	}
	if !l.read || version != l.version {
		l.seen = now
	}
	l.read, l.failed = true, false
	l.version, l.owner, l.process, l.holders = version, c.Granter, c.Incarnation, holders
}

// claimed handles a successful write that was sent at a time.
func (l *lease) claimed(version platform.Version, holders holderSet, sent time.Duration) {
	if l.term == 0 {
		l.term = uint64(version)
	}
	l.version, l.owner, l.holders = version, l.self, holders
	l.renewed, l.early, l.failed = sent, false, false
}

// lost handles a write whose condition failed, or whose outcome is unknown.
func (l *lease) lost() { l.read, l.failed = false, true }

// resign ends the lease of this VM.
func (l *lease) resign() { l.term = 0 }

// next returns the next action. Rank is this VM's among the candidates, granted whether another
// granter is known to be alive. Process returns the first incarnation of a VM's present process; 0:
// unknown.
func (l *lease) next(rank int, granted bool, process func(vm string) uint64, now time.Duration) action {
	if l.failed && now < l.sentAt+retryInterval {
		return actWait
	}
	if l.term != 0 {
		return l.nextOfOwner(now)
	}
	if granted {
		l.calm, l.read = 0, false
		return actWait
	}
	if l.calm == 0 {
		l.calm = now
	}
	if now < l.calm+time.Duration(rank)*rankDelay {
		return actWait
	}
	if l.read && (l.free(now) || process(l.owner) > l.process) {
		return actClaim
	}
	if !l.read || now >= l.sentAt+watchInterval {
		return actRead
	}
	return actWait
}

// nextOfOwner renews the lease. After a failed renewal the object is read, as it may have taken effect.
func (l *lease) nextOfOwner(now time.Duration) action {
	switch {
	case !l.valid(now):
		l.resign() // callers must not wait for a VM that can't grant
		return actWait
	case !l.read:
		return actRead
	case l.owner != l.self:
		l.resign() // another VM has it
		return actWait
	case l.early || now >= l.renewed+renewInterval:
		return actClaim
	}
	return actWait
}

// free reports whether the lease may be taken over. An earlier process of this VM has ended.
func (l *lease) free(now time.Duration) bool {
	return l.version == 0 || l.owner == "" || l.owner == l.self || now >= l.seen+leaseTTL+leaseMargin
}

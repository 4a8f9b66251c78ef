package ratelimit

import (
	"time"

	"masticturn/internal/platform"
)

const (
	// leaseTTL is how long the granter may grant shares after it sent a renewal.
	leaseTTL = 2400 * time.Millisecond
	// renewInterval is the interval of renewals.
	renewInterval = 800 * time.Millisecond
	// leaseMargin allows for clock drift between two VMs.
	leaseMargin = 100 * time.Millisecond
	// rankDelay is how much longer a candidate waits than the one ranked before it.
	rankDelay = time.Second
	// watchInterval is the interval at which a candidate reads a lease that another VM owns.
	watchInterval = 500 * time.Millisecond
	// retryInterval is the minimum time between a failed call to the store and the next call.
	retryInterval = 300 * time.Millisecond
)

// leaseRecord is the content of the lease's object in the store.
type leaseRecord struct {
	Granter     string `json:"granter"` // name of the VM; empty: released
	Incarnation uint64 `json:"incarnation"`
	Holders     string `json:"holders"` // VMs that may hold shares, encoded by packHolders
}

// action is the next step of the lease's owner or of a candidate.
type action uint8

const (
	actWait    action = iota
	actRead           // read the object
	actAcquire        // acquire or renew the lease
	actRelease        // release the lease
)

// lease is the state of the lease at one VM, which is the granter or a candidate. A candidate takes
// over another VM's lease only after its object has not changed for leaseTTL since a read ended, which
// ensures that the owner sent its last renewal before that period. lease does no I/O and is not safe
// for concurrent use.
type lease struct {
	self string

	version       platform.Version // of the object; 0: the object does not exist, or its version is not known
	versionKnown  bool             // whether version is known
	owner         string           // as listed in the object
	ownerProcess  uint64           // incarnation of the owner, as listed in the object
	holders       holderSet        // as listed in the object
	versionReadAt time.Duration    // when the version was first read here

	term           uint64        // of this VM's lease; 0: none
	renewedAt      time.Duration // when the last successful renewal was sent
	renewEarly     bool          // renew without waiting for renewInterval
	lastCallAt     time.Duration // when the last call to the store was sent
	lastCallFailed bool          // the last call to the store failed
	vacantSince    time.Duration // since when no granter is known; 0: not set

	era      uint64        // latest era of the store; 0: not known
	copiedAt time.Duration // when it was found that the store came back from a copy; 0: never
}

// setEra records the store's era. After the store came back from a copy, the object may be an earlier
// one or missing, though another VM's lease is valid.
func (l *lease) setEra(era uint64, now time.Duration) {
	if era <= l.era {
		return
	}
	if l.era != 0 {
		l.copiedAt, l.versionKnown = now, false
	}
	l.era = era
}

// mayBeHeld reports whether a lease may be valid of which the store's object does not tell.
func (l *lease) mayBeHeld(now time.Duration) bool {
	return l.copiedAt != 0 && now < l.copiedAt+leaseTTL+leaseMargin
}

// sharesMayBeUnknown reports whether shares may be valid whose holders the object does not list.
func (l *lease) sharesMayBeUnknown(now time.Duration) bool {
	return l.copiedAt != 0 && now < l.copiedAt+leaseTTL+leaseMargin+shareTTL
}

// valid reports whether this VM may grant shares.
func (l *lease) valid(now time.Duration) bool { return l.term != 0 && now < l.renewedAt+leaseTTL }

// handleRead handles a successful read of the object; found is false if the object does not exist.
func (l *lease) handleRead(version platform.Version, rec leaseRecord, holders holderSet, found bool, now time.Duration) {
	if !found {
		version, rec, holders = 0, leaseRecord{}, nil
	}
	if !l.versionKnown || version != l.version {
		l.versionReadAt = now
	}
	l.versionKnown, l.lastCallFailed = true, false
	l.version, l.owner, l.ownerProcess, l.holders = version, rec.Granter, rec.Incarnation, holders
}

// handleWritten handles a successful write, which was sent at the given time.
func (l *lease) handleWritten(version platform.Version, holders holderSet, sent time.Duration) {
	if l.term == 0 {
		l.term = uint64(version)
	}
	l.version, l.owner, l.holders = version, l.self, holders
	l.renewedAt, l.renewEarly, l.lastCallFailed = sent, false, false
}

// handleCallFailed handles a failed read, or a write that was rejected or whose outcome is unknown.
func (l *lease) handleCallFailed() { l.versionKnown, l.lastCallFailed = false, true }

// resign ends this VM's term.
func (l *lease) resign() { l.term = 0 }

// next returns the next action. rank is this VM's rank among the candidates; granterAlive means that
// another VM is known to be alive as granter. process returns the first incarnation of a VM's present
// process, or 0 if it is not known.
func (l *lease) next(rank int, granterAlive bool, process func(vm string) uint64, now time.Duration) action {
	if l.lastCallFailed && now < l.lastCallAt+retryInterval {
		return actWait
	}
	if l.term != 0 {
		return l.nextAsOwner(now)
	}
	if granterAlive {
		l.vacantSince, l.versionKnown = 0, false
		return actWait
	}
	if l.vacantSince == 0 {
		l.vacantSince = now
	}
	if now < l.vacantSince+time.Duration(rank)*rankDelay {
		return actWait
	}
	if l.mayBeHeld(now) {
		return actWait
	}
	if l.versionKnown && (l.canTakeOver(now) || process(l.owner) > l.ownerProcess) {
		return actAcquire
	}
	if !l.versionKnown || now >= l.lastCallAt+watchInterval {
		return actRead
	}
	return actWait
}

// nextAsOwner returns the owner's next action, which renews the lease in time. After a failed renewal
// the object is read first, because the renewal may have taken effect.
func (l *lease) nextAsOwner(now time.Duration) action {
	switch {
	case !l.valid(now):
		l.resign() // requests must not wait for a VM that can't grant shares
		return actWait
	case !l.versionKnown:
		return actRead
	case l.owner != l.self:
		l.resign() // another VM owns the lease
		return actWait
	case l.renewEarly || now >= l.renewedAt+renewInterval:
		return actAcquire
	}
	return actWait
}

// canTakeOver reports whether this VM may take over the lease. A lease in this VM's own name may be
// taken over at any time, as the earlier process that acquired it has ended.
func (l *lease) canTakeOver(now time.Duration) bool {
	return l.version == 0 || l.owner == "" || l.owner == l.self || now >= l.versionReadAt+leaseTTL+leaseMargin
}

package tunnel

import (
	"sync"
	"time"

	"masticturn/internal/config"
)

const (
	// evidenceTTL is how long a failed connect counts as evidence that this VM is partitioned.
	evidenceTTL = 3 * time.Second
	// partitionTargets is the number of targets, reached by other VMs only, from which this VM takes itself to
	// be partitioned from all. They must be of so many availability zones and services too, if there are.
	partitionTargets = 2
	// restoredTargets is the number of targets that must be reached directly in a row before it no longer does.
	restoredTargets = 2
	// silentWhileWaiting and silentWhileIdle are how long no target may have sent anything until this VM checks
	// whether it still reaches targets.
	silentWhileWaiting = 700 * time.Millisecond
	silentWhileIdle    = 1500 * time.Millisecond
	// detourTTL is how long a target that is reached through other VMs only is remembered after its last use.
	detourTTL = 30 * time.Second
)

// Health is what a VM knows of its own ways to targets. A connect that fails here counts against a way only
// if another VM reaches the target at the same time: otherwise the target has failed. It is safe for
// concurrent use and does no I/O.
type Health struct {
	mu          sync.Mutex
	lastReceive time.Time           // last bytes of a target, or last connect
	lastSend    time.Time           // last bytes to a target
	detours     map[string]*detour  // targets that are reached through other VMs only, by name
	evidence    map[string]evidence // targets that another VM reached and this VM did not, since its last connect
	partitioned bool
	since       time.Time       // when the partition began, as far as known
	restored    map[string]bool // targets reached directly in a row while partitioned
}

// evidence is a target that another VM reached and this VM did not.
type evidence struct {
	at            time.Time
	zone, service string
}

// Spread is the number of availability zones and services of the targets.
type Spread struct{ Zones, Services int }

// detour is a target that this VM reaches through other VMs only.
type detour struct{ usedAt, checkedAt time.Time }

// NewHealth returns a Health that takes all ways to work.
func NewHealth(now time.Time) *Health {
	return &Health{
		lastReceive: now, detours: make(map[string]*detour),
		evidence: make(map[string]evidence), restored: make(map[string]bool),
	}
}

// Change is a change of a VM's state.
type Change uint8

// Changes of a VM's state.
const (
	Unchanged Change = iota
	BecamePartitioned
	BecameReachable
)

// Sent records bytes sent to a target directly.
func (h *Health) Sent(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSend = now
}

// Received records bytes received from a target directly.
func (h *Health) Received(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastReceive = now
}

// Connected records a direct connection to a target.
func (h *Health) Connected(target string, now time.Time) Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastReceive = now
	delete(h.detours, target)
	clear(h.evidence)
	if !h.partitioned {
		return Unchanged
	}
	h.restored[target] = true
	if len(h.restored) < restoredTargets {
		return Unchanged
	}
	h.partitioned = false
	clear(h.restored)
	clear(h.detours)
	return BecameReachable
}

// Failed records that a direct connect failed while the target could not be reached through another VM either,
// or no other VM could be asked.
func (h *Health) Failed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.restored)
}

// ReachedByOther records that another VM reached a target to which a direct connect failed. The spread is that of
// all targets.
func (h *Health) ReachedByOther(t *config.TargetIndex, spread Spread, now time.Time) Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.restored)
	if h.partitioned {
		return Unchanged
	}
	h.detours[t.Name] = &detour{usedAt: now, checkedAt: now}
	h.evidence[t.Name] = evidence{now, t.Zone, t.Service}
	if !h.enough(spread, now) {
		return Unchanged
	}
	h.partitioned, h.since = true, h.lastReceive
	clear(h.evidence)
	return BecamePartitioned
}

// enough reports whether the evidence shows a partition from all targets. h.mu is held.
func (h *Health) enough(spread Spread, now time.Time) bool {
	zones, services := make(map[string]bool), make(map[string]bool)
	for name, e := range h.evidence {
		if now.Sub(e.at) > evidenceTTL {
			delete(h.evidence, name)
			continue
		}
		zones[e.zone], services[e.service] = true, true
	}
	return len(h.evidence) >= partitionTargets &&
		len(zones) >= min(partitionTargets, spread.Zones) && len(services) >= min(partitionTargets, spread.Services)
}

// Doubtful reports whether another VM has reached a target that this VM did not since its last connect.
func (h *Health) Doubtful() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.evidence) > 0
}

// Partitioned reports whether this VM takes itself to be partitioned from the targets.
func (h *Health) Partitioned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitioned
}

// Since returns when the last partition began: when a target last sent anything before it.
func (h *Health) Since() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since
}

// Detour reports whether connections to a target are to be opened through another VM, and records the use.
func (h *Health) Detour(target string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.detours[target]; d != nil {
		d.usedAt = now
		return true
	}
	return h.partitioned
}

// Detoured reports whether connections to a target go through another VM.
func (h *Health) Detoured(target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitioned || h.detours[target] != nil
}

// Silent reports whether no target has sent anything for so long that the ways to targets are to be checked.
func (h *Health) Silent(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := silentWhileIdle
	if h.lastSend.After(h.lastReceive) {
		limit = silentWhileWaiting
	}
	return now.Sub(h.lastReceive) >= limit
}

// DueDetours returns up to n targets whose direct ways are to be checked again, those checked the longest time
// ago first, and records the check. It forgets targets that are no longer used.
func (h *Health) DueDetours(n int, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []string
	for len(due) < n {
		oldest := ""
		for name, d := range h.detours {
			if now.Sub(d.usedAt) > detourTTL {
				delete(h.detours, name)
				continue
			}
			if d.checkedAt.Before(now) && (oldest == "" || d.checkedAt.Before(h.detours[oldest].checkedAt)) {
				oldest = name
			}
		}
		if oldest == "" {
			break
		}
		h.detours[oldest].checkedAt = now
		due = append(due, oldest)
	}
	return due
}

// DetourCount returns the number of targets that are reached through other VMs only.
func (h *Health) DetourCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.detours)
}

package regionload

import (
	"time"

	"masticturn/internal/overload"
)

const (
	// loadTTL is the age from which on a load counts as unknown.
	loadTTL = 1500 * time.Millisecond
	// clockDrift is the part of the elapsed time by which the difference of two boot clocks may grow.
	clockDrift = 0.001
	// maxReordering is the largest step back of a sender's clock that is taken for a message
	// overtaken by a later one. A larger one is a restart of the sender's machine.
	maxReordering = 10 * time.Second
)

// sender is what one VM has sent about its region.
type sender struct {
	region     string
	loads      map[string]overload.RegionLoad // by service
	measuredAt time.Duration                  // by this VM's boot clock
	sentAt     time.Duration                  // by the sender's boot clock
	receivedAt time.Duration
	// offset is the smallest difference of this VM's clock at the receipt and the sender's at the sending.
	// What exceeds it is the time that a message has waited on its way.
	offset time.Duration
}

// receivedLoads holds the loads that other VMs have sent. It is not safe for concurrent use.
type receivedLoads struct {
	bySender map[string]*sender // by name of the VM
}

func newReceivedLoads() *receivedLoads { return &receivedLoads{bySender: make(map[string]*sender)} }

// record stores a message. It returns false if a later one of the sender is known.
func (h *receivedLoads) record(from string, m *message, now time.Duration) bool {
	s := h.bySender[from]
	sentAt := time.Duration(m.SentMS) * time.Millisecond
	if s == nil || sentAt < s.sentAt-maxReordering {
		s = &sender{offset: now - sentAt}
		h.bySender[from] = s
	} else if sentAt <= s.sentAt {
		return false
	}
	drift := time.Duration(clockDrift * float64(now-s.receivedAt))
	s.offset = min(s.offset+drift, now-sentAt)
	s.region, s.sentAt, s.receivedAt = m.Region, sentAt, now
	s.measuredAt = sentAt + s.offset
	s.loads = make(map[string]overload.RegionLoad, min(len(m.Services), maxServices))
	for service, load := range m.Services {
		if len(s.loads) < maxServices {
			s.loads[service] = load.load()
		}
	}
	return true
}

// prune forgets the senders for which keep returns false.
func (h *receivedLoads) prune(keep func(vm string) bool) {
	for vm := range h.bySender {
		if !keep(vm) {
			delete(h.bySender, vm)
		}
	}
}

// others returns the loads of a service by region, without those older than loadTTL and those for which
// inRegion returns false. If several VMs report on a region, as during a change of its root or a
// partition, the largest demand counts, since each of them may miss a part of it.
func (h *receivedLoads) others(service string, inRegion func(vm, region string) bool, now time.Duration) map[string]overload.RegionLoad {
	out := make(map[string]overload.RegionLoad)
	reporters := make(map[string]string)
	for vm, s := range h.bySender {
		load, ok := s.loads[service]
		if !ok || now-s.measuredAt > loadTTL || !inRegion(vm, s.region) {
			continue
		}
		known, exists := out[s.region]
		if exists && !replaces(load, known, vm < reporters[s.region]) {
			continue
		}
		out[s.region] = load
		reporters[s.region] = vm
	}
	return out
}

// replaces reports whether a load counts instead of another one of the same region. first decides
// between equal demands.
func replaces(load, other overload.RegionLoad, first bool) bool {
	a, b := load.TotalDemand(), other.TotalDemand()
	return a > b || a == b && first
}

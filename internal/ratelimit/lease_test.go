package ratelimit

import (
	"encoding/base64"
	"maps"
	"testing"
	"time"

	"masticturn/internal/membership"
	"masticturn/internal/platform"
)

func TestLeaseActions(t *testing.T) {
	const at = 10 * time.Second
	other := leaseRecord{Granter: "b"}
	tests := map[string]struct {
		lease   lease
		rank    int
		granted bool
		want    action
	}{
		"another granter is alive":               {lease{self: "a"}, 0, true, actWait},
		"no granter":                             {lease{self: "a"}, 0, false, actRead},
		"lower rank, before its delay":           {lease{self: "a", vacantSince: at}, 1, false, actWait},
		"lower rank, after its delay":            {lease{self: "a", vacantSince: at - rankDelay}, 1, false, actRead},
		"no object":                              {lease{self: "a", versionKnown: true, versionReadAt: at}, 0, false, actAcquire},
		"released":                               {lease{self: "a", versionKnown: true, version: 3, versionReadAt: at}, 0, false, actAcquire},
		"owned by an earlier process of this VM": {lease{self: "a", versionKnown: true, version: 3, owner: "a", versionReadAt: at}, 0, false, actAcquire},
		"owned by another VM, process ended":     {lease{self: "a", versionKnown: true, version: 3, owner: "restarted", ownerProcess: 5, versionReadAt: at, lastCallAt: at}, 0, false, actAcquire},
		"owned by another VM, just read":         {lease{self: "a", versionKnown: true, version: 3, owner: "b", ownerProcess: 5, versionReadAt: at, lastCallAt: at}, 0, false, actWait},
		"owned by another VM, expired":           {lease{self: "a", versionKnown: true, version: 3, owner: "b", versionReadAt: at - leaseTTL - leaseMargin}, 0, false, actAcquire},
		"owner, just renewed":                    {lease{self: "a", versionKnown: true, version: 3, owner: "a", term: 3, renewedAt: at}, 0, false, actWait},
		"owner, renewal due":                     {lease{self: "a", versionKnown: true, version: 3, owner: "a", term: 3, renewedAt: at - renewInterval}, 0, false, actAcquire},
		"owner, after a failed call":             {lease{self: "a", lastCallFailed: true, lastCallAt: at, term: 3, renewedAt: at - renewInterval}, 0, false, actWait},
		"owner, version not known":               {lease{self: "a", term: 3, renewedAt: at - renewInterval}, 0, false, actRead},
	}
	process := func(vm string) uint64 {
		if vm == "restarted" {
			return 6
		}
		return 5
	}
	for name, tt := range tests {
		if got := tt.lease.next(tt.rank, tt.granted, process, at); got != tt.want {
			t.Errorf("%s: action %d, want %d", name, got, tt.want)
		}
	}
	l := lease{self: "a", term: 3, renewedAt: at - leaseTTL, versionKnown: true, owner: "a"}
	if l.valid(at) {
		t.Error("the lease is valid after leaseTTL")
	}
	if l.next(0, false, process, at); l.term != 0 {
		t.Error("an owner whose lease has expired did not resign")
	}
	l = lease{self: "a", versionKnown: true, version: 3, owner: "b", versionReadAt: at - leaseTTL}
	l.handleRead(platform.Version(4), other, nil, true, at)
	if l.canTakeOver(at + leaseTTL) {
		t.Error("a renewed lease can be taken over")
	}
}

func TestPackedHolders(t *testing.T) {
	set := holderSet{"a": 0, "b-1": 7, "b-2": 65535}
	if got := unpackHolders(packHolders(set)); !maps.Equal(got, set) {
		t.Errorf("got %v", got)
	}
	for _, packed := range []string{"", "not packed", packHolders(nil), base64.StdEncoding.EncodeToString([]byte("noise"))} {
		if got := unpackHolders(packed); len(got) > 0 {
			t.Errorf("unpackHolders(%q) = %v, want none", packed, got)
		}
	}
}

// A process that was replaced holds no shares. Otherwise, after a restart of all VMs, the granter would
// wait for reports of processes that no longer exist.
func TestEndedProcessesHoldNoShares(t *testing.T) {
	set := holderSet{"a": processID(1), "b": processID(1), "c": processID(1)}
	view := &membership.View{Members: []membership.Member{{Name: "a", Process: 1}, {Name: "b", Process: 2}, {Name: "d", Process: 2}}}
	got := set.withEndedProcess(view)
	if len(got) != 1 || got[0] != "b" {
		t.Errorf("VMs with ended process: %v, want b", got)
	}
	if rest := set.without(got); len(rest) != 2 || len(set) != 3 {
		t.Errorf("%v without the ended processes: got %v", set, rest)
	}
}

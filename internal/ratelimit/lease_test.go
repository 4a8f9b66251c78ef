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
	other := claim{Granter: "b"}
	tests := map[string]struct {
		lease   lease
		rank    int
		granted bool
		want    action
	}{
		"another granter is alive":           {lease{self: "a"}, 0, true, actWait},
		"no granter":                         {lease{self: "a"}, 0, false, actRead},
		"a lower rank waits":                 {lease{self: "a", calm: at}, 1, false, actWait},
		"and acts later":                     {lease{self: "a", calm: at - rankDelay}, 1, false, actRead},
		"no object":                          {lease{self: "a", read: true, seen: at}, 0, false, actClaim},
		"released":                           {lease{self: "a", read: true, version: 3, seen: at}, 0, false, actClaim},
		"an earlier process of this VM":      {lease{self: "a", read: true, version: 3, owner: "a", seen: at}, 0, false, actClaim},
		"another's, whose process has ended": {lease{self: "a", read: true, version: 3, owner: "restarted", process: 5, seen: at, sentAt: at}, 0, false, actClaim},
		"another's, seen now":                {lease{self: "a", read: true, version: 3, owner: "b", process: 5, seen: at, sentAt: at}, 0, false, actWait},
		"another's, unchanged for its time":  {lease{self: "a", read: true, version: 3, owner: "b", seen: at - leaseTTL - leaseMargin}, 0, false, actClaim},
		"the owner's, fresh":                 {lease{self: "a", read: true, version: 3, owner: "a", term: 3, renewed: at}, 0, false, actWait},
		"the owner's, due":                   {lease{self: "a", read: true, version: 3, owner: "a", term: 3, renewed: at - renewInterval}, 0, false, actClaim},
		"the owner's, after a failed call":   {lease{self: "a", failed: true, sentAt: at, term: 3, renewed: at - renewInterval}, 0, false, actWait},
		"the owner's, to be read":            {lease{self: "a", term: 3, renewed: at - renewInterval}, 0, false, actRead},
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
	l := lease{self: "a", term: 3, renewed: at - leaseTTL, read: true, owner: "a"}
	if l.valid(at) {
		t.Error("the lease is valid after its time")
	}
	if l.next(0, false, process, at); l.term != 0 {
		t.Error("an owner without a valid lease does not resign")
	}
	l = lease{self: "a", read: true, version: 3, owner: "b", seen: at - leaseTTL}
	l.observed(platform.Version(4), other, nil, true, at)
	if l.free(at + leaseTTL) {
		t.Error("a renewed lease is taken over")
	}
}

func TestPackedHolders(t *testing.T) {
	set := holderSet{"a": 0, "b-1": 7, "b-2": 65535}
	if got := unpackHolders(packHolders(set)); !maps.Equal(got, set) {
		t.Errorf("got %v", got)
	}
	for _, packed := range []string{"", "not packed", packHolders(nil), base64.StdEncoding.EncodeToString([]byte("noise"))} {
		if got := unpackHolders(packed); len(got) > 0 {
			t.Errorf("%q names %v", packed, got)
		}
	}
}

// The VMs of a restarted fleet need not all report before shares are granted again.
func TestEndedProcessesHoldNothing(t *testing.T) {
	set := holderSet{"a": processID(1), "b": processID(1), "c": processID(1)}
	view := &membership.View{Members: []membership.Member{{Name: "a", Process: 1}, {Name: "b", Process: 2}, {Name: "d", Process: 2}}}
	got := set.ended(view)
	if len(got) != 1 || got[0] != "b" {
		t.Errorf("ended: %v", got)
	}
	if rest := set.without(got); len(rest) != 2 || len(set) != 3 {
		t.Errorf("%v without them: %v", set, rest)
	}
}

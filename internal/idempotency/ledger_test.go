package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"masticturn/internal/outcome"
)

const propertySeed = 20260102

var testLimits = LedgerLimits{MaxBytes: 4 * recordOverhead, Retention: time.Minute, TicketLifetime: 10 * time.Minute}

// Guards against granting a key twice when its record was evicted or expired, and against
// exceeding the memory limit. A key may be granted again only after the outcome NotRun.
func TestLedgerGrantsAKeyOnce(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(propertySeed)
	p.MinSuccessfulTests = 300
	properties := gopter.NewProperties(p)
	properties.Property("once", prop.ForAll(
		func(actions []int) bool {
			l := newLedger()
			now := time.Duration(0)
			held := map[string]string{}
			used := map[string]bool{}
			issued := map[string]time.Duration{}
			for i, action := range actions {
				key := fmt.Sprint(action % 7)
				if _, ok := issued[key]; !ok {
					issued[key] = now
				}
				switch action / 7 % 4 {
				case 0, 1:
					token := fmt.Sprint(i)
					if v, _ := l.claim(now, key, token, 1, issued[key], testLimits); v == VerdictRun {
						if used[key] {
							return false
						}
						used[key], held[key] = true, token
					}
				case 2:
					o := outcome.Outcome(action / 28 % 3)
					before := l.records[key]
					if before != nil && before.state == StateRunning && o == outcome.NotRun {
						used[key] = false
					}
					l.finish(now, key, held[key], o, &Response{Body: make([]byte, 900)}, testLimits)
				case 3:
					now += time.Duration(action) * time.Second
				}
				if l.bytes > testLimits.MaxBytes || l.bytes < 0 {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(60, gen.IntRange(0, 1000)),
	))
	properties.TestingRun(t)
}

func TestLedgerLimits(t *testing.T) {
	l := newLedger()
	for i := range 4 {
		key := fmt.Sprint(i)
		if v, _ := l.claim(0, key, "t", 1, 0, testLimits); v != VerdictRun {
			t.Fatalf("key %d: verdict %d", i, v)
		}
		l.finish(0, key, "t", outcome.Answered, &Response{Body: make([]byte, 100)}, testLimits)
	}
	tests := []struct {
		name, key string
		now       time.Duration
		issued    time.Duration
		want      Verdict
	}{
		{"response evicted, record kept", "0", 0, 0, VerdictResponseDropped},
		{"no memory for another key", "new", 0, 0, VerdictFull},
		{"record kept until the ticket expires", "0", testLimits.TicketLifetime, 0, VerdictResponseDropped},
		{"record expired with the ticket", "0", testLimits.TicketLifetime + 1, 0, VerdictExpired},
		{"memory for another key again", "new", testLimits.TicketLifetime + 1, testLimits.TicketLifetime, VerdictRun},
		{"ticket issued in the future", "new2", testLimits.TicketLifetime + 1, testLimits.TicketLifetime + 2, VerdictInvalid},
	}
	for _, tt := range tests {
		if v, _ := l.claim(tt.now, tt.key, "t2", 1, tt.issued, testLimits); v != tt.want {
			t.Errorf("%s: verdict %d, want %d", tt.name, v, tt.want)
		}
	}
}

func TestParseKey(t *testing.T) {
	ticket := Ticket{Instance{"vm-1", 77}, 5 * time.Second}
	tests := []struct {
		key string
		ok  bool
	}{
		{ticket.String() + ":own", true},
		{ticket.String() + ":", false},
		{ticket.String(), false},
		{"a:b", false},
		{"mt1~vm~zz~-1:own", false},
		{"mt1~~1~1:own", false},
		{"mt1~vm~1~zzzzzzzzzzzz:own", false},
	}
	for _, tt := range tests {
		got, ok := ParseKey(tt.key)
		if ok != tt.ok || ok && got != ticket {
			t.Errorf("%q: got %v, %v", tt.key, got, ok)
		}
	}
}

// Guards against sending a response that exceeds the frame limit of the peer network, which
// would break the connection between two VMs.
func TestLargeResponsesAreNotSent(t *testing.T) {
	large := &Response{Body: make([]byte, maxPeerResponseBytes+1)}
	small := &Response{Body: make([]byte, maxPeerResponseBytes)}
	if got := newOwnerResponse(VerdictReplay, large); got.Verdict != VerdictResponseDropped || got.Response != nil {
		t.Errorf("large response: got verdict %d, response present: %v", got.Verdict, got.Response != nil)
	}
	if got := newOwnerResponse(VerdictReplay, small); got.Verdict != VerdictReplay || got.Response != small {
		t.Errorf("small response: got verdict %d", got.Verdict)
	}
	if got := newOwnerResponse(VerdictMismatch, small); got.Response != nil {
		t.Error("the response is sent with a verdict other than replay")
	}
	if peerResponse(large) != nil || peerResponse(small) != small {
		t.Error("want only the small response to be sent")
	}
}

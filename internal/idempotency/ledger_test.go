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

var testBounds = Bounds{Bytes: 4 * recordOverhead, Keep: time.Minute, Ticket: 10 * time.Minute}

// However small the bounds and however late a repeat comes: a key is granted
// again only after a run that ended not run, and the bytes stay bounded.
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
					if v, _ := l.claim(now, key, token, 1, issued[key], testBounds); v == VerdictRun {
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
					l.finish(now, key, held[key], o, &Answer{Body: make([]byte, 900)}, testBounds)
				case 3:
					now += time.Duration(action) * time.Second
				}
				if l.bytes > testBounds.Bytes || l.bytes < 0 {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(60, gen.IntRange(0, 1000)),
	))
	properties.TestingRun(t)
}

func TestLedgerBounds(t *testing.T) {
	l := newLedger()
	for i := range 4 {
		key := fmt.Sprint(i)
		if v, _ := l.claim(0, key, "t", 1, 0, testBounds); v != VerdictRun {
			t.Fatalf("key %d: verdict %d", i, v)
		}
		l.finish(0, key, "t", outcome.Answered, &Answer{Body: make([]byte, 100)}, testBounds)
	}
	tests := []struct {
		name, key string
		now       time.Duration
		issued    time.Duration
		want      Verdict
	}{
		{"answer dropped, record kept", "0", 0, 0, VerdictDropped},
		{"no room for another key", "new", 0, 0, VerdictFull},
		{"kept while the ticket lives", "0", testBounds.Ticket, 0, VerdictDropped},
		{"forgotten with its ticket", "0", testBounds.Ticket + 1, 0, VerdictExpired},
		{"room again", "new", testBounds.Ticket + 1, testBounds.Ticket, VerdictRun},
		{"ticket of the future", "new2", testBounds.Ticket + 1, testBounds.Ticket + 2, VerdictInvalid},
	}
	for _, tt := range tests {
		if v, _ := l.claim(tt.now, tt.key, "t2", 1, tt.issued, testBounds); v != tt.want {
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

// An answer that is too large for a message is not sent, and never breaks the
// connection between two VMs.
func TestLargeAnswersStayAtTheirInstance(t *testing.T) {
	large := &Answer{Body: make([]byte, carriedBytes+1)}
	small := &Answer{Body: make([]byte, carriedBytes)}
	if got := reply(VerdictReplay, large); got.Verdict != VerdictDropped || got.Answer != nil {
		t.Errorf("large: got verdict %d, answer %v", got.Verdict, got.Answer != nil)
	}
	if got := reply(VerdictReplay, small); got.Verdict != VerdictReplay || got.Answer != small {
		t.Errorf("small: got verdict %d", got.Verdict)
	}
	if got := reply(VerdictMismatch, small); got.Answer != nil {
		t.Error("an answer went out with a verdict that needs none")
	}
	if carried(large) != nil || carried(small) != small {
		t.Error("the wrong answers are carried")
	}
}

package admission

import (
	"testing"
	"time"

	"masticturn/internal/membership"
)

// TestSplitShare includes the last VM of a region while it drains, whose
// region then has no member that is alive.
func TestSplitShare(t *testing.T) {
	now := time.Unix(1000, 0)
	alive := membership.Member{Region: "east", State: membership.Alive}
	leaving := membership.Member{Region: "east", State: membership.Leaving}
	tests := []struct {
		name    string
		members []membership.Member
		silent  int
		want    int
	}{
		{"all here", []membership.Member{alive, alive}, 0, 4},
		{"most here", []membership.Member{alive, alive}, 1, 4},
		{"half here", []membership.Member{alive}, 1, 2},
		{"few here", []membership.Member{alive}, 3, 1},
		{"the last one leaves", []membership.Member{leaving}, 0, 4},
		{"the last one leaves, others fell silent", []membership.Member{leaving}, 3, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &broker{
				scope:   scope{Region: "east"},
				members: &membership.View{Members: tt.members},
				silent:  make(map[string]time.Time),
				last:    now,
			}
			for i := range tt.silent {
				b.silent[string(rune('a'+i))] = now
			}
			if got := b.splitShare(4); got != tt.want {
				t.Errorf("got %d of 4 slots, want %d", got, tt.want)
			}
		})
	}
}

package bench

import (
	"testing"
	"time"

	"masticturn/internal/standin/target"
)

func TestLeaveCountsNewWorkBySide(t *testing.T) {
	at := time.Now()
	until := at.Add(6 * time.Second)
	leave := TargetLeave{Target: "t"}
	for _, r := range []struct {
		target string
		after  time.Duration
	}{
		{"t", -10 * time.Second}, // too long before
		{"t", -time.Second},
		{"t", time.Second},
		{"other", 4 * time.Second},
		{"t", 4 * time.Second},
		{"t", 7 * time.Second}, // after the sign was taken back
	} {
		leave.count(&target.Record{Target: r.target, Arrived: at.Add(r.after)}, at, until, 3*time.Second)
	}
	want := TargetLeave{Target: "t", Before: 1, LastWorkMS: 4000, After: 1}
	if leave != want {
		t.Fatalf("got %+v, want %+v", leave, want)
	}
}

package discovery

import (
	"testing"
	"time"
)

// The first reads of all VMs are within the bound, and later ones don't grow with the fleet.
func TestFallbackSchedule(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		fleetSize   int
		firstWithin time.Duration
		wantFirst   time.Duration // bound on the first read
	}{
		{6, 0, 0},
		{12, time.Second, 0},
		{120, 0, 10 * time.Second},
		{120, time.Second, time.Second},
		{1404, 0, 117 * time.Second},
		{1404, time.Second, time.Second},
	} {
		const minutes = 20
		reads := 0
		for range tt.fleetSize {
			s := fallbackSchedule{firstWithin: tt.firstWithin}
			s.begin(start, tt.fleetSize)
			if first := s.next.Sub(start); first < 0 || first > tt.wantFirst {
				t.Fatalf("%+v: first read after %v", tt, first)
			}
			for at := time.Duration(0); at < minutes*time.Minute; at += 100 * time.Millisecond {
				if s.take(start.Add(at), tt.fleetSize) {
					reads++
				}
			}
		}
		if rate := float64(reads) / (minutes * 60); rate < 0.8*fallbackReadRate || rate > 1.2*fallbackReadRate {
			t.Errorf("%+v: %.1f reads a second, want about %d", tt, rate, fallbackReadRate)
		}
	}
}

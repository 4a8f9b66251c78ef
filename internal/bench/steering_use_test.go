package bench

import "testing"

func TestSteeringShiftsByWindows(t *testing.T) {
	shifts := checkOf(15, 1).shifts()
	if len(shifts) != 1 || len(shifts[0].Windows) != 10 {
		t.Fatalf("%+v", shifts)
	}
	for i, w := range shifts[0].Windows {
		wantSent, wantShifted := 100, 15
		if i == 0 {
			wantSent = 0
		}
		if i < 2 {
			wantShifted = 0
		}
		if w.AtMS != int64(i)*1000 || w.Sent != wantSent || w.Shifted != wantShifted {
			t.Errorf("window %d: %+v, want %d sent and %d shifted", i, w, wantSent, wantShifted)
		}
	}
}

func TestSteeringUseByRegions(t *testing.T) {
	use := checkOf(0, 2).use()
	if len(use) != 2 || len(use[0].Points) != 20 {
		t.Fatalf("%+v", use)
	}
	for i, p := range use[0].Points[1:] {
		if p.Busy < 1.99 || p.Busy > 2.01 {
			t.Errorf("step %d: %v slots of region a busy, want 2", i+1, p.Busy)
		}
		if other := use[1].Points[i+1]; other.Busy != 0 {
			t.Errorf("step %d: %v slots of region b busy, want 0", i+1, other.Busy)
		}
	}
}

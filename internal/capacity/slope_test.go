package capacity

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name             string
		points           []Point
		intercept, slope float64
		design, maxOff   float64
	}{
		{"line", []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}}, 3, 2, 23, 0},
		{"constant", []Point{{1, 4}, {2, 4}, {3, 4}, {4, 4}}, 4, 0, 4, 0},
		{"one point off", []Point{{0, 0}, {1, 2}, {2, 2}, {3, 4}}, 0.2, 1.2, 12.2, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := Slope{Points: tt.points, DesignSize: 10}
			s.fit()
			for _, v := range []struct{ got, want float64 }{
				{s.Intercept, tt.intercept}, {s.PerUnit, tt.slope}, {s.DesignCost, tt.design}, {s.MaxRelativeError, tt.maxOff},
			} {
				if math.Abs(v.got-v.want) > 1e-9 {
					t.Errorf("got %g, want %g", v.got, v.want)
				}
			}
		})
	}
}

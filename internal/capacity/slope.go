// Package capacity measures how the cost of each role of a daemon grows with
// its input, fits a line, and extrapolates the cost to the design size.
package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a cost at a size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Slope is a line fitted to at least four measurements.
type Slope struct {
	Role             string  `json:"role"`
	Quantity         string  `json:"quantity"`  // what the cost measures, with its unit
	SizeOf           string  `json:"over"`      // what the size counts
	Mechanism        string  `json:"mechanism"` // how daemons implement the role
	Points           []Point `json:"points"`
	Intercept        float64 `json:"intercept"`
	PerUnit          float64 `json:"per_unit"`
	RSquared         float64 `json:"r_squared"` // fraction of the variance that the line explains
	MaxRelativeError float64 `json:"max_off"`   // largest distance of a point from the line, relative to the point's cost
	DesignSize       float64 `json:"design_at"` // size to extrapolate to
	DesignCost       float64 `json:"design"`    // extrapolated cost at DesignSize
}

// fit computes the regression line of the points and the cost at the design size.
func (s *Slope) fit() {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.Size, p.Cost
	}
	s.Intercept, s.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	s.RSquared = stat.RSquared(xs, ys, nil, s.Intercept, s.PerUnit)
	if math.IsNaN(s.RSquared) {
		s.RSquared = 1 // a constant cost has no variance
	}
	for _, p := range s.Points {
		if p.Cost != 0 {
			s.MaxRelativeError = max(s.MaxRelativeError, math.Abs(s.costAt(p.Size)-p.Cost)/math.Abs(p.Cost))
		}
	}
	s.DesignCost = s.costAt(s.DesignSize)
}

func (s *Slope) costAt(size float64) float64 { return s.Intercept + s.PerUnit*size }

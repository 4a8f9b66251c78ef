// Package capacity measures how the cost of each role of a daemon grows with
// its input, fits a line, and works out the cost at the size to design for.
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

// Slope is a fitted line through at least four measurements.
type Slope struct {
	Role      string  `json:"role"`
	Quantity  string  `json:"quantity"`  // what the cost is, with its unit
	Over      string  `json:"over"`      // what the size is
	Mechanism string  `json:"mechanism"` // what carries the role
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	RSquared  float64 `json:"r_squared"` // share of the variance that the line explains
	MaxOff    float64 `json:"max_off"`   // largest distance of a point from the line, as a fraction of the point
	DesignAt  float64 `json:"design_at"` // size to design for
	Design    float64 `json:"design"`    // cost at that size, by the line
}

// fit works out the line through the points and the cost at the design size.
func (s *Slope) fit() {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.Size, p.Cost
	}
	s.Intercept, s.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	s.RSquared = stat.RSquared(xs, ys, nil, s.Intercept, s.PerUnit)
	if math.IsNaN(s.RSquared) {
		s.RSquared = 1 // a constant has no variance to explain
	}
	for _, p := range s.Points {
		if p.Cost != 0 {
			s.MaxOff = max(s.MaxOff, math.Abs(s.at(p.Size)-p.Cost)/math.Abs(p.Cost))
		}
	}
	s.Design = s.at(s.DesignAt)
}

func (s *Slope) at(size float64) float64 { return s.Intercept + s.PerUnit*size }

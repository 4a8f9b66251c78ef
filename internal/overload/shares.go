package overload

import (
	"cmp"
	"maps"
	"slices"
)

// FairShares divides a capacity among customers by max-min fairness: each gets what it asks for or the
// fair-share level, whichever is less, and the level is as high as the capacity allows. Demands and
// capacity are in slots; values out of range are clamped.
func FairShares(demand map[uint32]float64, capacity float64) map[uint32]float64 {
	type asked struct {
		customer uint32
		slots    float64
	}
	ascending := make([]asked, 0, len(demand))
	for customer, slots := range demand {
		ascending = append(ascending, asked{customer, clampSlots(slots)})
	}
	slices.SortFunc(ascending, func(a, b asked) int {
		return cmp.Or(cmp.Compare(a.slots, b.slots), cmp.Compare(a.customer, b.customer))
	})
	left := clampSlots(capacity)
	shares := make(map[uint32]float64, len(demand))
	for i, a := range ascending {
		share := min(a.slots, left/float64(len(ascending)-i))
		shares[a.customer] = share
		left = max(left-share, 0)
	}
	return shares
}

// minNamedShare is the part of its demand from which on a customer is not limited. Those just above the
// fair-share level change all the time, and naming them takes more bytes than it is worth.
const minNamedShare = 0.95

// customerFractions returns the admitted fractions of the customers above their fair share if a
// fraction of a priority's demand is admitted. Demand without a known customer is not shared by
// customer: it gets that fraction.
func customerFractions(customers map[uint32]float64, total, fraction float64) map[uint32]float64 {
	known := 0.0
	for _, slots := range sortedValues(customers) {
		known += slots
	}
	capacity := fraction*max(total, known) - fraction*max(total-known, 0)
	fractions := make(map[uint32]float64)
	for customer, share := range FairShares(customers, capacity) {
		if asked := customers[customer]; asked > 0 && share < minNamedShare*asked {
			fractions[customer] = share / asked
		}
	}
	return fractions
}

// sortedValues returns the values in the order of their keys, so that sums don't depend on the order
// of maps.
func sortedValues(m map[uint32]float64) []float64 {
	values := make([]float64, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}

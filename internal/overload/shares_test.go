package overload

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestFairShares(t *testing.T) {
	shares := FairShares(map[uint32]float64{1: 45, 2: 5.4, 3: 5.4, 4: 5.4, 5: 5.4}, 48)
	wantFraction(t, shares[2], 5.4)
	wantFraction(t, shares[1], 48-4*5.4)
	wantFractions(t, "of equal customers", FairShares(map[uint32]float64{1: 8, 2: 8}, 6), map[uint32]float64{1: 3, 2: 3})
	wantFractions(t, "without capacity", FairShares(map[uint32]float64{1: 8}, -2), map[uint32]float64{1: 0})
}

// Guards against shares that are not max-min fair: some customer could get more without taking from
// one that has no more than it.
func TestFairSharesAreMaxMin(t *testing.T) {
	properties := gopter.NewProperties(testParameters())
	properties.Property("max-min", prop.ForAll(func(demands []float64, capacity float64) bool {
		demand := make(map[uint32]float64)
		asked := 0.0
		for i, d := range demands {
			demand[uint32(i+1)] = d
			asked += d
		}
		shares := FairShares(demand, capacity)
		total, highest := 0.0, 0.0
		for customer, share := range shares {
			if share < 0 || share > demand[customer]+1e-9 {
				return false
			}
			total += share
			highest = max(highest, share)
		}
		if total > capacity+1e-6 || total < min(capacity, asked)-1e-6 {
			return false // more than there is, or capacity left although it is asked for
		}
		for customer, share := range shares {
			if share < demand[customer]-1e-9 && share < highest-1e-6 {
				return false // gets less than another one, though it asks for more
			}
		}
		return true
	}, gen.SliceOf(gen.Float64Range(0, 50)), gen.Float64Range(0, 200)))
	properties.TestingRun(t)
}

// Guards against requests without a customer paying for the customers' shares, or the reverse.
func TestDemandWithoutCustomerKeepsItsFraction(t *testing.T) {
	fractions := customerFractions(map[uint32]float64{1: 30, 2: 10}, 60, 0.5)
	if _, limited := fractions[2]; limited {
		t.Errorf("a customer within its share is limited: %v", fractions)
	}
	wantFraction(t, fractions[1], 10.0/30)
}

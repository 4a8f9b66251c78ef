package steering

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// fixedSeed makes every run of the properties the same.
const fixedSeed = 20261202

func parameters(runs int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(fixedSeed)
	p.MinSuccessfulTests = runs
	return p
}

// capEvent is one request as an outside counter sees it.
type capEvent struct {
	at      time.Duration
	shifted bool
}

// capTraffic drives brokers of one caller region with requests whose rate
// changes, each of which wants to be shifted; with restarts,
// brokers restart now and then.
func capTraffic(limits CapLimits, brokers int, restarts bool, seed uint64) []capEvent {
	rng := rand.New(rand.NewPCG(seed, 1))
	origin := time.Unix(0, 0)
	caps := make([]*ShiftCap, brokers)
	for i := range caps {
		caps[i] = NewShiftCap(limits, origin)
	}
	var events []capEvent
	gap := limits.Window / 50
	for at := time.Duration(0); at < 8*limits.Window; {
		if rng.IntN(200) == 0 {
			gap = limits.Window / time.Duration(1+rng.IntN(200))
		}
		if restarts && rng.IntN(500) == 0 {
			caps[rng.IntN(brokers)] = NewShiftCap(limits, origin.Add(at))
		}
		at += time.Duration(rng.Int64N(int64(2 * gap)))
		c := caps[rng.IntN(brokers)]
		now := origin.Add(at)
		c.Count(now)
		events = append(events, capEvent{at: at, shifted: c.Shift(now)})
	}
	return events
}

// window counts requests and shifts in [from, from+length).
func window(events []capEvent, from, length time.Duration) (counted, shifted int) {
	return lateWindow(events, from, length, 0)
}

// lateWindow is window by a counter that sees shifts late.
func lateWindow(events []capEvent, from, length, late time.Duration) (counted, shifted int) {
	for _, e := range events {
		if e.at >= from && e.at < from+length {
			counted++
		}
		if at := e.at + late; e.shifted && at >= from && at < from+length {
			shifted++
		}
	}
	return counted, shifted
}

func TestShiftCapHoldsForEveryAlignment(t *testing.T) {
	props := gopter.NewProperties(parameters(60))
	props.Property("shifts of a window stay under the fraction of the window before", prop.ForAll(
		func(seed uint64, percent, brokers, lateMS int) bool {
			limits := CapLimits{MaxFraction: float64(percent) / 100, Window: time.Second}
			events := capTraffic(limits, brokers, true, seed)
			for offset := time.Duration(0); offset < limits.Window; offset += 37 * time.Millisecond {
				for from := offset + limits.Window; from < 8*limits.Window; from += limits.Window {
					before, _ := window(events, from-limits.Window, limits.Window)
					_, shifted := lateWindow(events, from, limits.Window, time.Duration(lateMS)*time.Millisecond)
					if float64(shifted) > limits.MaxFraction*float64(before) {
						return false
					}
				}
			}
			return true
		},
		gen.UInt64(), gen.IntRange(0, 100), gen.IntRange(1, 3), gen.IntRange(0, 200),
	))
	props.TestingRun(t)
}

func TestShiftCapRisesByItsStep(t *testing.T) {
	const step = 0.1
	limits := CapLimits{MaxFraction: 0.6, MaxStepFraction: step, Window: 1600 * time.Millisecond}
	props := gopter.NewProperties(parameters(60))
	props.Property("the fraction rises by the step at most, for windows at bucket boundaries", prop.ForAll(
		func(seed uint64) bool {
			events := capTraffic(limits, 1, false, seed)
			bucket := limits.Window / capBuckets
			for from := 2 * limits.Window; from < 8*limits.Window; from += bucket {
				counted0, _ := window(events, from-2*limits.Window, limits.Window)
				counted1, shifted0 := window(events, from-limits.Window, limits.Window)
				_, shifted1 := window(events, from, limits.Window)
				before := ratio(uint64(shifted0), uint64(counted0))
				if float64(shifted1) > (before+step)*float64(counted1)+1e-9 {
					return false
				}
			}
			return true
		},
		gen.UInt64(),
	))
	props.TestingRun(t)
}

// TestShiftCapSmallCases enumerates every pattern of arrivals over three
// windows of four steps each.
func TestShiftCapSmallCases(t *testing.T) {
	const steps = 12
	limits := CapLimits{MaxFraction: 0.5, Window: 4 * time.Second}
	for pattern := range 1 << steps {
		c := NewShiftCap(limits, time.Unix(0, 0))
		var events []capEvent
		for i := range steps {
			if pattern&(1<<i) == 0 {
				continue
			}
			at := time.Duration(i) * time.Second
			c.Count(time.Unix(0, 0).Add(at))
			events = append(events, capEvent{at, c.Shift(time.Unix(0, 0).Add(at))})
		}
		for from := time.Duration(0); from < steps*time.Second; from += time.Second {
			before, _ := window(events, from-limits.Window, limits.Window)
			_, shifted := window(events, from, limits.Window)
			if 2*shifted > before {
				t.Fatalf("pattern %b: %d shifts after %d requests", pattern, shifted, before)
			}
		}
	}
}

func TestShiftCapIsOfUse(t *testing.T) {
	limits := CapLimits{MaxFraction: 0.5, MaxStepFraction: 0.1, Window: time.Second}
	now := time.Unix(0, 0)
	c := NewShiftCap(limits, now)
	for range 12000 {
		now = now.Add(time.Millisecond)
		c.Count(now)
		c.Shift(now)
	}
	if f := c.Fraction(now); f < 0.4 {
		t.Errorf("after 12 windows the fraction is %.2f, want near 0.5", f)
	}
	for range 1500 {
		now = now.Add(time.Millisecond)
		c.Count(now)
		if c.Owed(now) {
			c.Shift(now)
		}
	}
	if f := c.Fraction(now); f < 0.25 {
		t.Errorf("after 1.5 windows of return the fraction is %.2f; it fell faster than the step", f)
	}
}

func TestNewShiftCapShiftsNothing(t *testing.T) {
	c := NewShiftCap(CapLimits{MaxFraction: 1, Window: time.Second}, time.Unix(0, 0))
	if c.Shift(time.Unix(0, 0)) {
		t.Error("a cap that has counted nothing allowed a shift")
	}
}

package capacity

import (
	"fmt"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/measure"
	"masticturn/internal/peer"
)

const mechanismBook = "two VMs of a target's region probe it; those who may broker it hear the results"

// measureSlopes measures the role measurement.
func measureSlopes() []Slope {
	sizes := []int{50, 100, 200, DesignSites}
	return []Slope{
		slopeOf(Slope{
			Role: "measurement", Quantity: "time to publish a view, ns", Over: "targets",
			Mechanism: mechanismBook, DesignAt: DesignSites,
		}, sizes, func(n int) float64 {
			return probedTime(n, func(book *measure.Book) { book.Snapshot() })
		}),
		slopeOf(Slope{
			Role: "measurement", Quantity: "time to take a probe's result, ns", Over: "targets",
			Mechanism: mechanismBook, DesignAt: DesignSites,
		}, sizes, func(n int) float64 {
			return probedTime(n, func(*measure.Book) {})
		}),
		slopeOf(Slope{
			Role: "measurement", Quantity: "report on the wire, bytes", Over: "targets in the report",
			Mechanism: mechanismBook, DesignAt: 2 * DesignSites / DesignRegions,
		}, []int{1, 5, 20, 100}, reportBytes),
	}
}

// probedTime measures taking a probe's result into a book of n targets, and
// what is done then.
func probedTime(n int, then func(*measure.Book)) float64 {
	book, now := measure.NewBook(), time.Now()
	book.Configure(designSnapshot(n))
	return timePerCall(measureTime, func(i int) {
		now = now.Add(time.Millisecond)
		book.Probed(measure.Probe{Target: siteName(i % n), Reporter: "vm", OK: true, Status: edge.TargetOK, At: now}, now)
		then(book)
	})
}

// reportBytes is the size of a report of n targets on the wire.
func reportBytes(n int) float64 {
	encoded, err := peer.Encode(measure.SampleReport(siteNames(n)))
	if err != nil {
		panic(fmt.Sprintf("encode a report: %v", err)) // a plain struct always encodes
	}
	return float64(len(encoded))
}

func siteName(i int) string { return fmt.Sprintf("site-%03d", i) }

func siteNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = siteName(i)
	}
	return names
}

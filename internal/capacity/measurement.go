package capacity

import (
	"fmt"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/measure"
	"masticturn/internal/peer"
)

const mechanismBook = "two VMs of a target's region probe it; those who may broker it hear the results"

// measureSlopes measures the role measurement: the cost of recording probe results
// and of publishing and reporting them.
func measureSlopes() []Slope {
	sizes := []int{50, 100, 200, DesignSites}
	return []Slope{
		measureSlope(Slope{
			Role: "measurement", Quantity: "time to publish a view, ns", SizeOf: "targets",
			Mechanism: mechanismBook, DesignSize: DesignSites,
		}, sizes, func(n int) float64 {
			return probedTime(n, func(book *measure.Book) { book.Snapshot() })
		}),
		measureSlope(Slope{
			Role: "measurement", Quantity: "time to take a probe's result, ns", SizeOf: "targets",
			Mechanism: mechanismBook, DesignSize: DesignSites,
		}, sizes, func(n int) float64 {
			return probedTime(n, func(*measure.Book) {})
		}),
		measureSlope(Slope{
			Role: "measurement", Quantity: "report on the wire, bytes", SizeOf: "targets in the report",
			Mechanism: mechanismBook, DesignSize: 2 * DesignSites / DesignRegions,
		}, []int{1, 5, 20, 100}, reportBytes),
	}
}

// probedTime returns the time per call in nanoseconds to record a probe's result in a
// book of n targets and call then.
func probedTime(n int, then func(*measure.Book)) float64 {
	book, now := measure.NewBook(), time.Now()
	book.Configure(designSnapshot(n))
	return timePerCall(minMeasureTime, func(i int) {
		now = now.Add(time.Millisecond)
		book.Probed(measure.Probe{Target: siteName(i % n), Reporter: "vm", OK: true, Status: edge.TargetOK, At: now}, now)
		then(book)
	})
}

// reportBytes returns the encoded size of a report on n targets.
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

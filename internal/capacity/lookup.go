package capacity

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/lookup"
	"masticturn/internal/membership"
)

// minMeasureTime is the minimum measuring time for one point.
const minMeasureTime = 100 * time.Millisecond

const mechanismTable = "longest-prefix table, immutable, swapped with the document"

// lookupSlopes measures the role look-up: the cost of the table of client blocks and
// of computing an answer.
func lookupSlopes() []Slope {
	blockSizes := []int{100_000, 300_000, 600_000, 950_000}
	memberSizes := []int{100, 300, 700, 1_400}
	return []Slope{
		measureSlope(Slope{
			Role: "look-up", Quantity: "heap of the table, bytes", SizeOf: "client blocks",
			Mechanism: mechanismTable, DesignSize: DesignBlocks,
		}, blockSizes, func(n int) float64 {
			blocks := clientBlocks(n)
			defer runtime.KeepAlive(blocks)
			return heapBytes(func() *lookup.Table { return lookup.NewTable(blocks, lookup.Place{}) })
		}),
		measureSlope(Slope{
			Role: "look-up", Quantity: "time to place a caller, ns", SizeOf: "client blocks",
			Mechanism: mechanismTable, DesignSize: DesignBlocks,
		}, blockSizes, func(n int) float64 {
			table := lookup.NewTable(clientBlocks(n), lookup.Place{})
			return timePerCall(minMeasureTime, func(i int) { table.Locate(blockAddress(i * 7919 % n)) })
		}),
		measureSlope(Slope{
			Role: "look-up", Quantity: "time to build the table, ns", SizeOf: "client blocks",
			Mechanism: mechanismTable, DesignSize: DesignBlocks,
		}, blockSizes, func(n int) float64 {
			blocks := clientBlocks(n)
			start := time.Now()
			lookup.NewTable(blocks, lookup.Place{})
			return float64(time.Since(start).Nanoseconds())
		}),
		measureSlope(Slope{
			Role: "look-up", Quantity: "time to compute one answer, ns", SizeOf: "daemons",
			Mechanism: "one answer for each place and bucket, kept until the members to be named change", DesignSize: DesignDaemons,
		}, memberSizes, func(n int) float64 {
			snap, roster := designSnapshot(0), lookup.NewRoster(designView(n))
			return timePerCall(minMeasureTime, func(i int) {
				roster.Candidates(snap, lookup.Place{Region: regionName(0)}, i%lookup.Buckets, answersPerLookup)
			})
		}),
	}
}

const answersPerLookup = 4

// blockAddress returns an address in block i of clientBlocks.
func blockAddress(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 1})
}

// clientBlocks returns n blocks of 256 addresses, spread over the design's regions.
func clientBlocks(n int) []config.ClientBlock {
	blocks := make([]config.ClientBlock, n)
	for i := range blocks {
		blocks[i] = config.ClientBlock{
			CIDR:   netip.PrefixFrom(blockAddress(i), 24).Masked().String(),
			Region: regionName(i % DesignRegions),
			Zone:   zoneName(i % DesignZones),
		}
	}
	return blocks
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }
func zoneName(i int) string   { return fmt.Sprintf("zone-%02d", i) }

// designSnapshot returns a snapshot with the design's regions and availability zones
// and one service with the given number of targets.
func designSnapshot(targets int) *config.Snapshot {
	doc := &config.Document{
		Deployment: "capacity",
		Fleet:      config.Fleet{MaxVMs: DesignDaemons, MaxVMsPerRegion: DesignDaemons},
		Lookup:     config.Lookup{Answers: answersPerLookup, MaxAgeMS: 5000},
	}
	for r := range DesignRegions {
		doc.Regions = append(doc.Regions, config.Region{Name: regionName(r)})
	}
	for z := range DesignZones {
		region := &doc.Regions[z%DesignRegions]
		region.Zones = append(region.Zones, zoneName(z))
	}
	for from := range DesignRegions {
		for to := range DesignRegions {
			if from != to {
				doc.Links = append(doc.Links, config.Link{From: regionName(from), To: regionName(to), OneWayMS: config.Millis(10 + 5*(from+to))})
			}
		}
	}
	svc := config.Service{Name: "service", PathPrefix: "/service/"}
	for i := range targets {
		svc.Targets = append(svc.Targets, config.Target{Name: siteName(i), Zone: zoneName(i % DesignZones), Slots: 4})
	}
	doc.Services = []config.Service{svc}
	snap, err := config.NewSnapshot(1, doc)
	if err != nil {
		panic(err) // the document is generated above and always valid
	}
	return snap
}

// designView returns a view of n members, spread over the design's availability zones.
func designView(n int) *membership.View {
	view := &membership.View{Version: 1, Self: memberName(0)}
	for i := range n {
		zone := i % DesignZones
		view.Members = append(view.Members, membership.Member{
			Name: memberName(i), Zone: zoneName(zone), Region: regionName(zone % DesignRegions),
			CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&255), Generation: 1, Incarnation: 1,
		})
	}
	return view
}

func memberName(i int) string { return fmt.Sprintf("vm-%04d", i) }

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

// measureTime is how long one point is measured.
const measureTime = 100 * time.Millisecond

const mechanismTable = "longest-prefix table, immutable, swapped with the document"

// lookupSlopes measures the role look-up.
func lookupSlopes() []Slope {
	blockSizes := []int{100_000, 300_000, 600_000, 950_000}
	memberSizes := []int{100, 300, 700, 1_400}
	return []Slope{
		slopeOf(Slope{
			Role: "look-up", Quantity: "heap of the table, bytes", Over: "client blocks",
			Mechanism: mechanismTable, DesignAt: DesignBlocks,
		}, blockSizes, func(n int) float64 {
			blocks := clientBlocks(n)
			defer runtime.KeepAlive(blocks)
			return heapOf(func() *lookup.Table { return lookup.NewTable(blocks, lookup.Place{}) })
		}),
		slopeOf(Slope{
			Role: "look-up", Quantity: "time to place a caller, ns", Over: "client blocks",
			Mechanism: mechanismTable, DesignAt: DesignBlocks,
		}, blockSizes, func(n int) float64 {
			table := lookup.NewTable(clientBlocks(n), lookup.Place{})
			return timePerCall(measureTime, func(i int) { table.Locate(blockAddress(i * 7919 % n)) })
		}),
		slopeOf(Slope{
			Role: "look-up", Quantity: "time to build the table, ns", Over: "client blocks",
			Mechanism: mechanismTable, DesignAt: DesignBlocks,
		}, blockSizes, func(n int) float64 {
			blocks := clientBlocks(n)
			start := time.Now()
			lookup.NewTable(blocks, lookup.Place{})
			return float64(time.Since(start).Nanoseconds())
		}),
		slopeOf(Slope{
			Role: "look-up", Quantity: "time to compute one answer, ns", Over: "daemons",
			Mechanism: "one answer for each place and bucket, kept until the members to be named change", DesignAt: DesignDaemons,
		}, memberSizes, func(n int) float64 {
			snap, roster := designSnapshot(0), lookup.NewRoster(designView(n))
			return timePerCall(measureTime, func(i int) {
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

// clientBlocks makes n blocks of 256 addresses over the design's regions.
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

// designSnapshot makes a document of the design's regions and zones with a
// number of targets of one service.
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
		panic(err) // the document is made here and always encodes
	}
	return snap
}

// designView makes a view of n members spread over the design's zones.
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

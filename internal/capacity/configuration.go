package capacity

import (
	"runtime"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
)

const (
	roleConfiguration   = "configuration"
	mechanismSpread     = "two watchers per region, tree of degree 8 in each region, heartbeats carry the generation"
	targetsPerSite      = 4
	blockDocumentSites  = 50
	minAdoptMeasureTime = 200 * time.Millisecond
)

// configurationSlopes measures the role configuration: the cost for a daemon of
// each accepted document.
func configurationSlopes() []Slope {
	targetSizes := []int{100, 400, 800, targetsPerSite * DesignSites}
	blockSizes := []int{10_000, 30_000, 60_000, 120_000}
	byTargets := Slope{Role: roleConfiguration, SizeOf: "targets, no client blocks", Mechanism: mechanismSpread, DesignSize: targetsPerSite * DesignSites}
	byBlocks := Slope{Role: roleConfiguration, SizeOf: "client blocks", Mechanism: mechanismSpread, DesignSize: DesignBlocks}
	return []Slope{
		measureSlope(withQuantity(byTargets, "time to adopt a document, ns"), targetSizes, func(n int) float64 { return adoptTime(encodedDocument(n, 0)) }),
		measureSlope(withQuantity(byTargets, "document on the wire, bytes"), targetSizes, func(n int) float64 { return wireBytes(encodedDocument(n, 0)) }),
		measureSlope(withQuantity(byTargets, "heap of a document in force, bytes"), targetSizes, func(n int) float64 { return documentHeap(encodedDocument(n, 0)) }),
		measureSlope(withQuantity(byBlocks, "time to adopt a document, ns"), blockSizes, func(n int) float64 { return adoptTime(encodedDocument(blockDocumentSites, n)) }),
		measureSlope(withQuantity(byBlocks, "time to adopt a document with the same client blocks, ns"), blockSizes, func(n int) float64 { return adoptSameBlocksTime(encodedDocument(blockDocumentSites, n)) }),
		measureSlope(withQuantity(byBlocks, "document on the wire, bytes"), blockSizes, func(n int) float64 { return wireBytes(encodedDocument(blockDocumentSites, n)) }),
		measureSlope(withQuantity(byBlocks, "heap of a document in force, bytes"), blockSizes, func(n int) float64 { return documentHeap(encodedDocument(blockDocumentSites, n)) }),
	}
}

func withQuantity(s Slope, quantity string) Slope {
	s.Quantity = quantity
	return s
}

// encodedDocument returns an encoded document with the given numbers of targets and
// client blocks.
func encodedDocument(targets, blocks int) *config.Encoded {
	doc := *designSnapshot(targets).Document
	doc.ClientBlocks = clientBlocks(blocks)
	e, err := config.Split(&doc)
	if err != nil {
		panic(err) // the document is generated above and always encodes
	}
	return e
}

func mustPack(e *config.Encoded) *repository.Packed {
	p, err := repository.Pack(e)
	if err != nil {
		panic(err) // writing to memory does not fail
	}
	return p
}

// adoptTime returns the time in nanoseconds to check, decompress, decode and index
// a document that shares no part with the one in force.
func adoptTime(e *config.Encoded) float64 { return adoptTimeWithPrevious(e, nil) }

// adoptSameBlocksTime returns the time in nanoseconds to adopt a document whose
// client blocks are already in force.
func adoptSameBlocksTime(e *config.Encoded) float64 {
	return adoptTimeWithPrevious(&config.Encoded{Main: e.Main, BlocksHash: e.BlocksHash}, mustLoad(e, nil))
}

func adoptTimeWithPrevious(e *config.Encoded, have *config.Snapshot) float64 {
	p := mustPack(e)
	return timePerCall(minAdoptMeasureTime, func(int) {
		opened, err := p.Unpack()
		if err != nil {
			panic(err) // packed above
		}
		mustLoad(opened, have)
	})
}

func mustLoad(e *config.Encoded, have *config.Snapshot) *config.Snapshot {
	snap, err := config.Load(1, e, have)
	if err != nil {
		panic(err) // encoded by encodedDocument
	}
	return snap
}

func wireBytes(e *config.Encoded) float64 {
	p := mustPack(e)
	return float64(len(p.Main) + len(p.Blocks))
}

// documentHeap returns the heap in bytes of a snapshot and of the compressed
// document that a daemon keeps to send to others.
func documentHeap(e *config.Encoded) float64 {
	type retained struct {
		snap *config.Snapshot
		body *repository.Packed
	}
	defer runtime.KeepAlive(e) // keeps e out of the difference that is measured
	return heapBytes(func() *retained { return &retained{mustLoad(e, nil), mustPack(e)} })
}

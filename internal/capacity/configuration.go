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
	adoptRepetitionTime = 200 * time.Millisecond
)

// configurationSlopes measures the role configuration: what each accepted
// document costs a daemon.
func configurationSlopes() []Slope {
	targetSizes := []int{100, 400, 800, targetsPerSite * DesignSites}
	blockSizes := []int{10_000, 30_000, 60_000, 120_000}
	byTargets := Slope{Role: roleConfiguration, Over: "targets, no client blocks", Mechanism: mechanismSpread, DesignAt: targetsPerSite * DesignSites}
	byBlocks := Slope{Role: roleConfiguration, Over: "client blocks", Mechanism: mechanismSpread, DesignAt: DesignBlocks}
	return []Slope{
		slopeOf(of(byTargets, "time to adopt a document, ns"), targetSizes, func(n int) float64 { return adoptTime(documentOf(n, 0)) }),
		slopeOf(of(byTargets, "document on the wire, bytes"), targetSizes, func(n int) float64 { return wireBytes(documentOf(n, 0)) }),
		slopeOf(of(byTargets, "heap of a document in force, bytes"), targetSizes, func(n int) float64 { return documentHeap(documentOf(n, 0)) }),
		slopeOf(of(byBlocks, "time to adopt a document, ns"), blockSizes, func(n int) float64 { return adoptTime(documentOf(blockDocumentSites, n)) }),
		slopeOf(of(byBlocks, "time to adopt a document with the same client blocks, ns"), blockSizes, func(n int) float64 { return adoptSameBlocksTime(documentOf(blockDocumentSites, n)) }),
		slopeOf(of(byBlocks, "document on the wire, bytes"), blockSizes, func(n int) float64 { return wireBytes(documentOf(blockDocumentSites, n)) }),
		slopeOf(of(byBlocks, "heap of a document in force, bytes"), blockSizes, func(n int) float64 { return documentHeap(documentOf(blockDocumentSites, n)) }),
	}
}

func of(s Slope, quantity string) Slope {
	s.Quantity = quantity
	return s
}

// documentOf returns an encoded document.
func documentOf(targets, blocks int) *config.Encoded {
	doc := *designSnapshot(targets).Document
	doc.ClientBlocks = clientBlocks(blocks)
	e, err := config.Split(&doc)
	if err != nil {
		panic(err) // the document is made here and always encodes
	}
	return e
}

func packed(e *config.Encoded) *repository.Packed {
	p, err := repository.Pack(e)
	if err != nil {
		panic(err) // writing to memory does not fail
	}
	return p
}

// adoptTime is the time to check, decompress, decode and index a document
// that differs from the one in force in all its parts.
func adoptTime(e *config.Encoded) float64 { return adoptTimeHaving(e, nil) }

// adoptSameBlocksTime is the time to adopt a document whose client blocks are
// those in force.
func adoptSameBlocksTime(e *config.Encoded) float64 {
	return adoptTimeHaving(&config.Encoded{Main: e.Main, BlocksHash: e.BlocksHash}, loaded(e, nil))
}

func adoptTimeHaving(e *config.Encoded, have *config.Snapshot) float64 {
	p := packed(e)
	return timePerCall(adoptRepetitionTime, func(int) {
		opened, err := p.Unpack()
		if err != nil {
			panic(err) // packed right before
		}
		loaded(opened, have)
	})
}

func loaded(e *config.Encoded, have *config.Snapshot) *config.Snapshot {
	snap, err := config.Load(1, e, have)
	if err != nil {
		panic(err) // encoded right before
	}
	return snap
}

func wireBytes(e *config.Encoded) float64 {
	p := packed(e)
	return float64(len(p.Main) + len(p.Blocks))
}

// documentHeap is the heap of the snapshot and of the compressed document that
// is kept to be passed on.
func documentHeap(e *config.Encoded) float64 {
	type kept struct {
		snap *config.Snapshot
		body *repository.Packed
	}
	defer runtime.KeepAlive(e) // which is not part of what is held
	return heapOf(func() *kept { return &kept{loaded(e, nil), packed(e)} })
}

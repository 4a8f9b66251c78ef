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
		slopeOf(of(byBlocks, "document on the wire, bytes"), blockSizes, func(n int) float64 { return wireBytes(documentOf(blockDocumentSites, n)) }),
		slopeOf(of(byBlocks, "heap of a document in force, bytes"), blockSizes, func(n int) float64 { return documentHeap(documentOf(blockDocumentSites, n)) }),
	}
}

func of(s Slope, quantity string) Slope {
	s.Quantity = quantity
	return s
}

// documentOf returns an encoded document.
func documentOf(targets, blocks int) []byte {
	doc := *designSnapshot(targets).Document
	doc.ClientBlocks = clientBlocks(blocks)
	raw, err := config.Encode(&doc)
	if err != nil {
		panic(err) // the document is made here and always encodes
	}
	return raw
}

func compressed(raw []byte) []byte {
	body, err := repository.Compress(raw)
	if err != nil {
		panic(err) // writing to memory does not fail
	}
	return body
}

// adoptTime is the time to check, decompress, decode and index a document.
func adoptTime(raw []byte) float64 {
	body, hash := compressed(raw), config.HashOf(raw)
	return timePerCall(adoptRepetitionTime, func(int) {
		opened, err := repository.Open(body, hash)
		if err != nil {
			panic(err) // compressed right before
		}
		loaded(opened)
	})
}

func loaded(raw []byte) *config.Snapshot {
	snap, err := config.Load(1, raw)
	if err != nil {
		panic(err) // encoded right before
	}
	return snap
}

func wireBytes(raw []byte) float64 { return float64(len(compressed(raw))) }

// documentHeap is the heap of the snapshot and of the compressed document that
// is kept to be passed on.
func documentHeap(raw []byte) float64 {
	type kept struct {
		snap *config.Snapshot
		body []byte
	}
	defer runtime.KeepAlive(raw) // which is not part of what is held
	return heapOf(func() *kept { return &kept{loaded(raw), compressed(raw)} })
}

package config

import "testing"

func TestSplitAndLoadRoundTrip(t *testing.T) {
	doc := validDocument()
	e, err := Split(doc)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Load(1, e, nil)
	if err != nil {
		t.Fatal(err)
	}
	effective, _ := Effective(doc)
	if changes := Diff(effective, s.Document); len(changes) > 0 {
		t.Errorf("changed: %v", changes)
	}
}

func TestOmittedBlocksAreTakenFromPreviousSnapshot(t *testing.T) {
	doc := validDocument()
	first, _ := Split(doc)
	held, err := Load(1, first, nil)
	if err != nil {
		t.Fatal(err)
	}
	doc.Lookup.MaxAgeMS = 9
	second, _ := Split(doc)
	second.Blocks = nil
	next, err := Load(2, second, held)
	if err != nil {
		t.Fatal(err)
	}
	if &next.Document.ClientBlocks[0] != &held.Document.ClientBlocks[0] {
		t.Error("equal client blocks are not shared")
	}
	if next.Hash == held.Hash {
		t.Error("different documents have the same hash")
	}
	doc.ClientBlocks[0].Zone = "n1"
	third, _ := Split(doc)
	third.Blocks = nil
	if _, err := Load(3, third, held); err == nil {
		t.Error("Load substituted client blocks with a different hash for the omitted ones")
	}
}

func TestHashCoversClientBlocks(t *testing.T) {
	doc := validDocument()
	a, _ := Split(doc)
	doc.ClientBlocks[0].Zone = ""
	b, _ := Split(doc)
	doc.ClientBlocks = nil
	c, _ := Split(doc)
	if a.Hash() == b.Hash() || b.Hash() == c.Hash() || c.BlocksHash != 0 {
		t.Error("documents that differ in their client blocks have the same hash")
	}
}

package lookup

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
)

func TestTableIsKeptWhileTheClientBlocksAreTheSame(t *testing.T) {
	source := &fakeConfig{snap: testSnapshot(t)}
	s := NewService(Deps{Config: source, Members: &fakeMembers{testView()}, Metrics: metrics.NewSet()})
	s.refresh()
	first := s.table.Load().table
	next := *source.snap.Document
	next.Lookup.Answers = 2
	source.snap = snapshotOf(t, &next)
	s.refresh()
	if s.table.Load().table != first {
		t.Error("the table was rebuilt although the client blocks are the same")
	}
	next.ClientBlocks = next.ClientBlocks[:1]
	source.snap = snapshotOf(t, &next)
	s.refresh()
	if s.table.Load().table == first {
		t.Error("the table was not rebuilt for other client blocks")
	}
}

func snapshotOf(t *testing.T, doc *config.Document) *config.Snapshot {
	t.Helper()
	snap, err := config.NewSnapshot(8, doc)
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

package daemon

import (
	"os"
	"testing"

	"masticturn/internal/telemetry"
)

const eventsPage = "../../docs/EVENTS.md"

// TestEventsPage checks that docs/EVENTS.md lists the events of all packages that are
// linked into a daemon.
func TestEventsPage(t *testing.T) {
	page, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != telemetry.CatalogueMarkdown() {
		t.Error("docs/EVENTS.md differs from the catalogue; run: go run ./cmd/masticturn events > docs/EVENTS.md")
	}
}

func TestEventsAreDocumented(t *testing.T) {
	for _, e := range telemetry.Catalogue() {
		if e.Name == "" || e.Meaning == "" || e.Action == "" {
			t.Errorf("event %d has no name, meaning or action", e.Number)
		}
	}
}

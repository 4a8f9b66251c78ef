package daemon

import (
	"os"
	"testing"

	"masticturn/internal/telemetry"
)

const eventsPage = "../../docs/EVENTS.md"

// TestEventsPage compares the page with the catalogue of all packages that are
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

func TestEventsSayWhatToDo(t *testing.T) {
	for _, e := range telemetry.Catalogue() {
		if e.Name == "" || e.Meaning == "" || e.Action == "" {
			t.Errorf("event %d lacks its text, meaning or action", e.Number)
		}
	}
}

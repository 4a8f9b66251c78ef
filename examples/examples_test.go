package examples_test

import (
	"testing"

	"masticturn/examples"
	"masticturn/internal/config"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range examples.Names() {
		t.Run(name, func(t *testing.T) {
			text, ok := examples.Document(name)
			if !ok {
				t.Fatal("no such example")
			}
			doc, err := config.Parse(text)
			if err != nil {
				t.Fatal(err)
			}
			if err := config.Validate(doc); err != nil {
				t.Fatal(err)
			}
			if warnings, err := config.Advise(doc); err != nil || len(warnings) > 0 {
				t.Errorf("warnings %v, %v", warnings, err)
			}
			checkSizes(t, doc)
		})
	}
}

// checkSizes checks the sizes that the examples stand for: six availability
// zones in three regions and four services with 12 to 14 targets each, spread
// over all zones.
func checkSizes(t *testing.T, doc *config.Document) {
	t.Helper()
	if len(doc.Regions) != 3 || len(doc.Services) != 4 {
		t.Errorf("%d regions, %d services; want 3 and 4", len(doc.Regions), len(doc.Services))
	}
	for _, service := range doc.Services {
		if n := len(service.Targets); n < 12 || n > 14 {
			t.Errorf("service %s has %d targets", service.Name, n)
		}
		zones := make(map[string]bool)
		for _, target := range service.Targets {
			zones[target.Zone] = true
		}
		if len(zones) != 6 {
			t.Errorf("service %s stands in %d availability zones", service.Name, len(zones))
		}
	}
}

func TestUnknownExample(t *testing.T) {
	if _, ok := examples.Document("nowhere"); ok {
		t.Error("an unknown deployment was found")
	}
}

package measure

import (
	"fmt"
	"testing"

	"masticturn/internal/membership"
)

// TestBrokerHearsOfItsTargets checks that in a fleet too large for everyone to
// hear everything the broker of each service, and who is next in line, do.
func TestBrokerHearsOfItsTargets(t *testing.T) {
	view := &membership.View{Self: "prober"}
	for i := range 3 * smallFleet {
		view.Members = append(view.Members, membership.Member{Name: fmt.Sprintf("vm-%d", i), Region: fmt.Sprintf("r%d", i%2)})
	}
	view.Members[0].State = membership.Suspect
	for i := range 50 {
		service := fmt.Sprintf("service-%d", i)
		heard := make(map[string]bool)
		for _, m := range recipients(view, service, "r0") {
			heard[m.Name] = true
		}
		for place, m := range view.Brokers(service, "r0", 2) {
			if !heard[m.Name] {
				t.Errorf("%s: place %d, %s, does not hear of its targets", service, place, m.Name)
			}
		}
		if heard["vm-0"] || len(heard) > recipientsPerService {
			t.Errorf("%s: %v hear of its targets", service, heard)
		}
	}
}

package bench

import (
	"context"
	"testing"
	"time"

	"masticturn/examples"
	"masticturn/internal/config"
)

// TestFaultsBreakNoPromise runs whole daemons under faults for a short time,
// without those kinds whose promises have a time limit, which a busy machine
// could miss.
func TestFaultsBreakNoPromise(t *testing.T) {
	if testing.Short() {
		t.Skip("takes ten seconds")
	}
	text, _ := examples.Document("estiba")
	doc, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	const requests = 1500
	report, err := Faults(context.Background(), FaultsOptions{
		Document: doc,
		Start:    StartDaemon,
		Seed:     11,
		Requests: requests,
		Load:     8 * time.Second,
		VMs:      6,
		Kinds: []FaultKind{
			FaultVMDeath, FaultTargetDeath, FaultTargetFaulty, FaultTargetCuts, FaultSilentTarget, FaultSilentPeer,
			FaultCutTarget, FaultCutPeer, FaultStoreLoses, FaultStoreStale, FaultPartition,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.BrokenPromises != 0 {
		t.Errorf("broken promises: %+v\ntraces: %+v", report.Promises, report.Traces)
	}
	if report.Requests < requests/2 || report.Answered == 0 || len(report.Faults) == 0 || len(report.Errors) != 0 {
		t.Errorf("%d requests, %d answered, faults %v, errors %v", report.Requests, report.Answered, report.Faults, report.Errors)
	}
}

package bench

import (
	"testing"
	"time"

	"masticturn/examples"
	"masticturn/internal/config"
	"masticturn/internal/config/repository"
)

// TestConfigBenchSmall runs the whole scenario at a small size.
func TestConfigBenchSmall(t *testing.T) {
	text, _ := examples.Document("lydspor")
	doc, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	report, err := Config(t.Context(), ConfigOptions{Document: doc, Daemons: 6, Changes: 10, Sizes: []int{}, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if report.Changes != 10 || report.Reverts != 0 || report.Lost != 0 {
		t.Errorf("got %+v", report)
	}
}

// TestConfigBenchSeesWhatIsBroken gives it runs that went back and that never
// heard of a change.
func TestConfigBenchSeesWhatIsBroken(t *testing.T) {
	now := time.Now()
	back := &configRun{began: now, adopted: []configAdoption{{1, now}, {3, now}, {2, now}}}
	if back.reverts() != 1 {
		t.Errorf("%d reverts", back.reverts())
	}
	behind := &configRun{began: now.Add(-time.Minute), adopted: []configAdoption{{1, now}}}
	f := &configFleet{daemons: []*configDaemon{{runs: []*configRun{behind}}}}
	c := configChange{record: repository.Record{Generation: config.Generation(2)}, at: now.Add(-10 * time.Second)}
	if took := f.slowest(c); took < configInForceWithin {
		t.Errorf("a change that is not in force took %v", took)
	}
}

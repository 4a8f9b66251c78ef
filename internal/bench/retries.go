package bench

import (
	"context"
	"time"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/promise"
	"masticturn/internal/standin/target"
)

// RetriesOptions configures Retries. Document and Start are required.
type RetriesOptions struct {
	Document *config.Document
	Start    cluster.StartDaemon
	Seed     uint64
	Rate     float64 // requests a second
	Load     time.Duration
}

// Defaults of RetriesOptions.
const (
	defaultRetryRate = 500.0
	defaultRetryLoad = 12 * time.Second
)

// RetriesReport is the result of Retries.
type RetriesReport struct {
	Deployment    string  `json:"deployment"`
	Seed          uint64  `json:"seed"`
	Failing       int     `json:"failing"` // targets
	Targets       int     `json:"targets"`
	Attempts      int     `json:"attempts"`      // requests that reached targets
	Amplification float64 `json:"amplification"` // attempts for each request of a caller
	LoadSummary
	Promises       promise.Report `json:"promises"`
	BrokenPromises int            `json:"broken_promises"`
}

// Retries measures how many attempts the system makes for each request while
// every second target of each service fails all of its requests. Callers try
// once only.
func Retries(ctx context.Context, opts RetriesOptions) (*RetriesReport, error) {
	if opts.Rate == 0 {
		opts.Rate = defaultRetryRate
	}
	if opts.Load == 0 {
		opts.Load = defaultRetryLoad
	}
	c, snapshot, err := startWarm(ctx, opts.Document, opts.Start, opts.Seed)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	report := &RetriesReport{
		Deployment: c.Document.Deployment,
		Seed:       opts.Seed,
		Failing:    failHalf(c),
		Targets:    len(c.Targets),
	}
	loadCtx, cancelLoad := context.WithTimeout(ctx, opts.Load)
	defer cancelLoad()
	cluster.RunCallers(loadCtx, c.Callers(caller.Options{Shapes: Mix(snapshot), Rate: opts.Rate, MaxTries: 1}))
	report.LoadSummary = summarize(c.Notes)
	report.Attempts = len(c.Log.Records())
	report.Amplification = float64(report.Attempts) / float64(max(1, report.Requests))
	report.Promises = c.Check()
	report.BrokenPromises = report.Promises.Total
	return report, nil
}

// failHalf makes every second target of each service fail, and returns how
// many there are.
func failHalf(c *cluster.Cluster) int {
	failing := 0
	for _, targets := range c.Services {
		for i, t := range targets {
			if i%2 == 0 {
				continue
			}
			t.SetFaults(1, target.CutBefore, target.CutAfter, target.CutAnswer)
			c.Note(cluster.TargetFaulty, "", t.Name(), "fails all")
			failing++
		}
	}
	return failing
}

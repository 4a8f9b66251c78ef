package bench

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
	"masticturn/internal/standin/promise"
)

// DemoOptions configures Demo. Document and Start are required.
type DemoOptions struct {
	Document  *config.Document
	Start     cluster.StartDaemon
	Duration  time.Duration // of the load
	Rate      float64       // requests per second over all callers
	TokenFile string        // operators' token of all VMs; may be empty
	// Progress is called about twice a second; may be nil.
	Progress func(DemoProgress)
	// Hold is called after the load, with the cluster still up; may be nil.
	Hold func(c *cluster.Cluster)
}

// DemoProgress is the state of a running demo.
type DemoProgress struct {
	Left     time.Duration
	Load     LoadSummary
	Headroom []RegionHeadroom
}

// DemoReport is the result of Demo.
type DemoReport struct {
	Deployment string  `json:"deployment"`
	Seconds    float64 `json:"seconds"`
	VMs        int     `json:"vms"`
	Targets    int     `json:"targets"`
	LoadSummary
	Headroom       []RegionHeadroom `json:"headroom"`
	Promises       promise.Report   `json:"promises"`
	BrokenPromises int              `json:"broken_promises"`
}

// Defaults of DemoOptions.
const (
	defaultDemoRate     = 600
	defaultDemoDuration = 10 * time.Second
	demoTries           = 2
	demoPatience        = 10 * time.Second
	progressPeriod      = 500 * time.Millisecond
)

// Demo runs a deployment with stand-ins and a mixed load.
func Demo(ctx context.Context, opts DemoOptions) (*DemoReport, error) {
	if opts.Duration == 0 {
		opts.Duration = defaultDemoDuration
	}
	if opts.Rate == 0 {
		opts.Rate = defaultDemoRate
	}
	c, err := startDemo(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	snapshot, err := config.NewSnapshot(1, c.Document)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	started := time.Now()
	meter := newHeadroomMeter(c)
	runDemoLoad(ctx, c, snapshot, opts, meter)
	report := &DemoReport{
		Deployment:  c.Document.Deployment,
		Seconds:     time.Since(started).Seconds(),
		VMs:         len(c.VMs),
		Targets:     len(c.Targets),
		LoadSummary: summarize(c.Notes),
		Headroom:    meter.regions,
		Promises:    c.Check(),
	}
	report.BrokenPromises = report.Promises.Total
	if opts.Hold != nil {
		opts.Hold(c)
	}
	return report, nil
}

func startDemo(ctx context.Context, opts DemoOptions) (*cluster.Cluster, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return cluster.New(ctx, cluster.Options{
		Document:   opts.Document,
		Start:      opts.Start,
		Seed:       1,
		Sigma:      cluster.DefaultSigma,
		QueueLimit: cluster.DefaultQueueLimit,
		ColdFactor: cluster.DefaultColdFactor,
		KeepLogs:   true,
		TokenFile:  opts.TokenFile,
	})
}

// runDemoLoad runs the callers and samples until the load is over.
func runDemoLoad(ctx context.Context, c *cluster.Cluster, snapshot *config.Snapshot, opts DemoOptions, meter *headroomMeter) {
	callers := c.Callers(caller.Options{
		Shapes:   Mix(snapshot),
		Rate:     opts.Rate,
		MaxTries: demoTries,
		Timeout:  demoPatience,
	})
	loadCtx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		cluster.RunCallers(loadCtx, callers)
	}()
	end := time.Now().Add(opts.Duration)
	sample := time.NewTicker(headroomPeriod)
	defer sample.Stop()
	next := time.Now()
	for {
		select {
		case <-done:
			return
		case now := <-sample.C:
			meter.sample()
			if opts.Progress != nil && now.After(next) {
				next = now.Add(progressPeriod)
				opts.Progress(DemoProgress{Left: end.Sub(now), Load: summarize(c.Notes), Headroom: meter.regions})
			}
		}
	}
}

package bench

import (
	"context"
	"time"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/standin/caller"
)

// LookupOptions configures Lookup. Only Start is required.
type LookupOptions struct {
	Start    cluster.StartDaemon
	Duration time.Duration
	Workers  int // look-ups at once
}

// Defaults of LookupOptions.
const (
	defaultLookupDuration = 4 * time.Second
	defaultLookupWorkers  = 64
)

// LookupReport is the result of Lookup.
type LookupReport struct {
	LookupsPerSecond float64 `json:"lookups_per_second"` // of one daemon
	Answered         int     `json:"answered"`
	Failed           int     `json:"failed"`
	BrokenPromises   int     `json:"broken_promises"`
}

// Lookup measures how many look-ups a second one daemon answers.
func Lookup(ctx context.Context, opts LookupOptions) (*LookupReport, error) {
	if opts.Duration == 0 {
		opts.Duration = defaultLookupDuration
	}
	if opts.Workers == 0 {
		opts.Workers = defaultLookupWorkers
	}
	c, err := localCluster(ctx, opts.Start, false)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	one := c.Callers(caller.Options{Shapes: []caller.Shape{pathShape(defaultAnswerBytes)}})[0]
	loadCtx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	started := time.Now()
	answered, failed := one.RunLookups(loadCtx, opts.Workers)
	took := time.Since(started)
	return &LookupReport{
		LookupsPerSecond: float64(answered) / took.Seconds(),
		Answered:         answered,
		Failed:           failed,
	}, nil
}

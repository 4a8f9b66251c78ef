package command

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/examples"
	"masticturn/internal/bench"
	"masticturn/internal/config"
)

const (
	flagDeployment = "deployment"
	flagSeed       = "seed"
	flagDuration   = "duration"
	flagTrace      = "trace"
	flagRequests   = "requests"
)

func deploymentFlag() cli.Flag {
	return &cli.StringFlag{Name: flagDeployment, Value: "estiba", Usage: "example `NAME`: estiba or lydspor"}
}

// exampleDocument returns the example that --deployment names.
func exampleDocument(c *cli.Command) (*config.Document, error) {
	name := c.String(flagDeployment)
	text, ok := examples.Document(name)
	if !ok {
		return nil, usageError(trace.BadParameter("--%s %s: known are %v", flagDeployment, name, examples.Names()))
	}
	return config.Parse(text)
}

// scenarioResult is what every scenario reports besides its figures.
type scenarioResult struct {
	report any
	broken int
}

// scenario makes a command that runs a scenario, prints its report, and exits
// with ExitBroken when a promise was broken.
func scenario(name, usage string, run func(ctx context.Context, c *cli.Command) (scenarioResult, error), flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: append(flags, jsonFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			result, err := run(ctx, c)
			if err != nil {
				return trace.Wrap(err, "bench %s", name)
			}
			if err := printJSON(c.Root().Writer, result.report); err != nil {
				return err
			}
			return checkPromises(result.broken)
		},
	}
}

func checkPromises(broken int) error {
	if broken > 0 {
		return brokenError(fmt.Errorf("%d broken promises", broken))
	}
	return nil
}

func newBenchPath() *cli.Command {
	return scenario("path", "added latency and throughput of one daemon",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			r, err := bench.Path(ctx, bench.PathOptions{Start: bench.StartDaemon, Duration: c.Duration(flagDuration)})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		},
		&cli.DurationFlag{Name: flagDuration, Value: 5 * time.Second, Usage: "how long throughput is measured"})
}

func newBenchLookup() *cli.Command {
	return scenario("lookup", "look-ups per second of one daemon",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			r, err := bench.Lookup(ctx, bench.LookupOptions{Start: bench.StartDaemon, Duration: c.Duration(flagDuration)})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		},
		&cli.DurationFlag{Name: flagDuration, Value: 3 * time.Second, Usage: "how long look-ups are sent"})
}

func newBenchFaults() *cli.Command {
	return scenario("faults", "mixed load on 10 daemons while faults come by chance",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			doc, err := exampleDocument(c)
			if err != nil {
				return scenarioResult{}, err
			}
			r, err := bench.Faults(ctx, bench.FaultsOptions{
				Document: doc,
				Start:    bench.StartDaemon,
				Seed:     c.Uint64(flagSeed),
				Requests: c.Int(flagRequests),
				Trace:    c.String(flagTrace),
			})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		},
		deploymentFlag(),
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "`SEED` of the faults and of the load"},
		&cli.IntFlag{Name: flagRequests, Usage: "at least `N` requests (0: 20,000)"},
		&cli.StringFlag{Name: flagTrace, Usage: "print what happened to this request `ID`"})
}

func newBenchDrains() *cli.Command {
	return scenario("drains", "planned stops of VMs under slow uploads, and targets that leave by each sign alone",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			doc, err := exampleDocument(c)
			if err != nil {
				return scenarioResult{}, err
			}
			r, err := bench.Drains(ctx, bench.DrainsOptions{
				Document: doc,
				Start:    bench.StartDaemon,
				Seed:     c.Uint64(flagSeed),
				Trace:    c.String(flagTrace),
			})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		},
		deploymentFlag(),
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "`SEED` of the load"},
		&cli.StringFlag{Name: flagTrace, Usage: "print what happened to this request `ID`"})
}

func newBenchRetries() *cli.Command {
	return scenario("retries", "attempts per request while half of the targets fail",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			doc, err := exampleDocument(c)
			if err != nil {
				return scenarioResult{}, err
			}
			r, err := bench.Retries(ctx, bench.RetriesOptions{Document: doc, Start: bench.StartDaemon, Seed: c.Uint64(flagSeed)})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		},
		deploymentFlag(),
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "`SEED` of the load"})
}

func newBenchUploads() *cli.Command {
	return scenario("uploads", "memory of one daemon with many large uploads at once",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			r, err := bench.Uploads(ctx, bench.UploadsOptions{Start: bench.StartDaemon})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		})
}

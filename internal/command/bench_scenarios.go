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

// exampleDocument returns the example document named by --deployment.
func exampleDocument(c *cli.Command) (*config.Document, error) {
	name := c.String(flagDeployment)
	text, ok := examples.Document(name)
	if !ok {
		return nil, usageError(trace.BadParameter("--%s %s: known are %v", flagDeployment, name, examples.Names()))
	}
	return config.Parse(text)
}

// scenarioResult is the report of a scenario and its number of broken promises.
type scenarioResult struct {
	report any
	broken int
}

// newScenarioCommand returns a command that runs a scenario, prints its report, and exits
// with ExitBroken if a promise was broken.
func newScenarioCommand(name, usage string, run func(ctx context.Context, c *cli.Command) (scenarioResult, error), flags ...cli.Flag) *cli.Command {
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
	return newScenarioCommand("path", "measure added latency and throughput of one daemon",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			r, err := bench.Path(ctx, bench.PathOptions{Start: bench.StartDaemon, Duration: c.Duration(flagDuration)})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		},
		&cli.DurationFlag{Name: flagDuration, Value: 5 * time.Second, Usage: "how long to measure throughput"})
}

func newBenchLookup() *cli.Command {
	return newScenarioCommand("lookup", "measure look-ups per second of one daemon",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			r, err := bench.Lookup(ctx, bench.LookupOptions{Start: bench.StartDaemon, Duration: c.Duration(flagDuration)})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		},
		&cli.DurationFlag{Name: flagDuration, Value: 3 * time.Second, Usage: "how long to send look-ups"})
}

func newBenchFaults() *cli.Command {
	return newScenarioCommand("faults", "run mixed load on 10 daemons with random faults",
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
	return newScenarioCommand("drains", "stop VMs during slow uploads, and remove targets by each signal alone",
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
	return newScenarioCommand("retries", "count attempts per request while half of the targets fail",
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
	return newScenarioCommand("uploads", "measure memory of one daemon during many concurrent large uploads",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			r, err := bench.Uploads(ctx, bench.UploadsOptions{Start: bench.StartDaemon})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		})
}

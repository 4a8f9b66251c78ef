package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"masticturn/internal/bench"
)

const (
	flagChanges = "changes"
	flagDaemons = "daemons"
	flagSizes   = "sizes"
)

func newBenchConfig() *cli.Command {
	return newScenarioCommand("config", "change the document while the store fails, responses are lost and daemons restart",
		func(ctx context.Context, c *cli.Command) (scenarioResult, error) {
			doc, err := exampleDocument(c)
			if err != nil {
				return scenarioResult{}, err
			}
			r, err := bench.Config(ctx, bench.ConfigOptions{
				Document: doc,
				Daemons:  c.Int(flagDaemons),
				Changes:  c.Int(flagChanges),
				Sizes:    c.IntSlice(flagSizes),
				Seed:     c.Uint64(flagSeed),
			})
			if err != nil {
				return scenarioResult{}, err
			}
			return scenarioResult{r, r.BrokenPromises}, nil
		},
		deploymentFlag(),
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "`SEED` of the faults"},
		&cli.IntFlag{Name: flagDaemons, Value: 30, Usage: "`N` daemons"},
		&cli.IntFlag{Name: flagChanges, Value: 200, Usage: "`N` accepted changes"},
		&cli.IntSliceFlag{Name: flagSizes, Value: []int{10, 30, 100}, Usage: "count store calls without faults at `N` daemons (may be repeated)"})
}

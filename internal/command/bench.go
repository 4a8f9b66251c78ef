package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"masticturn/internal/capacity"
)

func newBench() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "run benchmarks against stand-ins on the loopback interface",
		Commands: []*cli.Command{
			newBenchPath(),
			newBenchLookup(),
			newBenchFaults(),
			newBenchDrains(),
			newBenchRetries(),
			newBenchUploads(),
			newBenchSteering(),
			newBenchPlacement(),
			newBenchReport(),
			newBenchConfig(),
			newBenchCapacity(),
		},
	}
}

const flagRole = "role"

func newBenchCapacity() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure how the cost of each role grows, and extrapolate it to the design size",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagRole, Usage: "measure only this `ROLE` (may be repeated)"},
			jsonFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			report, err := capacity.Measure(ctx, c.StringSlice(flagRole)...)
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return printJSON(c.Root().Writer, report)
			}
			return report.Print(c.Root().Writer)
		},
	}
}

package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"masticturn/internal/capacity"
)

func newBench() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure this program with stand-ins on loopback",
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
		Usage: "measure how the cost of each role grows, and work it out at the size to design for",
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

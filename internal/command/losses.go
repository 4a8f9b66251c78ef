package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/losses"
	"masticturn/platform/dayreport"
)

const (
	flagWorth    = "worth"
	flagWay      = "way"
	flagTrip     = "trip"
	flagReport   = "report"
	flagExamples = "examples"
)

// Typical round trips: 3 ms each way to callers, 35 ms each way between regions.
const (
	defaultCallerRTT = 6 * time.Millisecond
	defaultRegionRTT = 70 * time.Millisecond
)

func newLosses() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "attribute callers' losses to causes, using the logs of VMs",
		ArgsUsage: "[FILE...]",
		Description: "Reads JSON log lines from the files, or from standard input, and attributes each late or failed request to one " +
			"cause. With the users' report of the same day it also prints how much of the callers' losses the logs explain, and the prices.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagWorth, Usage: "`NAME=WORTH/LATE`: worth of requests of a class in the logs, or of a kind in the report, when answered in time and late (default: 1 and 0.2)"},
			&cli.DurationFlag{Name: flagWay, Usage: "round trip between a caller and its VM", Value: defaultCallerRTT},
			&cli.DurationFlag{Name: flagTrip, Usage: "round trip between two regions", Value: defaultRegionRTT},
			&cli.StringFlag{Name: flagReport, Usage: "`FILE` with the users' report of the day"},
			&cli.IntFlag{Name: flagExamples, Usage: "number of example requests to print for each cause", Value: 3},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			o := losses.Options{Worth: make(map[string]losses.Worth), CallerRTT: c.Duration(flagWay), RegionRTT: c.Duration(flagTrip)}
			for _, text := range c.StringSlice(flagWorth) {
				class, w, err := losses.ParseWorth(text)
				if err != nil {
					return usageError(err)
				}
				o.Worth[class] = w
			}
			lines, err := readLogs(c.Args().Slice())
			if err != nil {
				return usageError(err)
			}
			table := losses.Read(lines).Count(o)
			if err := table.Print(c.Root().Writer, c.Int(flagExamples)); err != nil {
				return trace.Wrap(err)
			}
			if name := c.String(flagReport); name != "" {
				return compareReport(c.Root().Writer, name, table, o.Worth)
			}
			return nil
		},
	}
}

// compareReport prints how much of the loss in the users' report the logs explain,
// and the prices.
func compareReport(w io.Writer, name string, table *losses.Table, worth map[string]losses.Worth) error {
	raw, err := os.ReadFile(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	report, err := dayreport.Parse(raw)
	if err != nil {
		return trace.Wrap(err, "report %s", name)
	}
	lost, owed := report.Lost(worth)
	fmt.Fprintf(w, "\ncallers: total worth %.0f, lost %.0f (%.4f); explained by the logs %.0f (%.4f); not in the logs %.0f (%.4f)\n",
		owed, lost, lost/owed, table.Lost(), table.Lost()/owed, lost-table.Lost(), (lost-table.Lost())/owed)
	for _, u := range report.UnexplainedLosses(table, owed) {
		if u.Worth >= minUnexplainedFraction*owed {
			fmt.Fprintf(w, "  window from second %s: about %.0f not in the logs; %d of %d requests failed, %d were refused\n", u.Name, u.Worth, u.Failed, u.Requests, u.Refused)
		}
	}
	for _, p := range report.Prices {
		if p.Worth >= minPriceFraction {
			fmt.Fprintf(w, "  price %.4f  %s\n", p.Worth, p.Name)
		}
	}
	return nil
}

// minUnexplainedFraction is the smallest unexplained loss of a window that is listed, as a fraction of the
// total worth.
const minUnexplainedFraction = 0.001

// minPriceFraction is the smallest price that is listed, as a fraction of the day's worth.
const minPriceFraction = 0.0005

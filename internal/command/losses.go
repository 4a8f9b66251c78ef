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

// Usual ways there and back: 3 ms each way to callers, 35 ms between regions.
const (
	defaultWay  = 6 * time.Millisecond
	defaultTrip = 70 * time.Millisecond
)

func newLosses() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "tell from the logs of VMs where callers lost, and to what",
		ArgsUsage: "[FILE...]",
		Description: "Reads JSON log lines from the files, or from standard input, and attributes each late or failed request to one " +
			"cause. With the users' report of the same day it says how much of what callers lost the logs explain, and lists the prices.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagWorth, Usage: "`NAME=WORTH/LATE`: what requests of a class of the logs, or of a kind of the report, are worth in time and late; 1 and 0.2 where nothing is said"},
			&cli.DurationFlag{Name: flagWay, Usage: "time between a caller and its VM, there and back", Value: defaultWay},
			&cli.DurationFlag{Name: flagTrip, Usage: "time between two regions, there and back", Value: defaultTrip},
			&cli.StringFlag{Name: flagReport, Usage: "`FILE` with the users' report of the day"},
			&cli.IntFlag{Name: flagExamples, Usage: "how many requests to name for each cause", Value: 3},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			o := losses.Options{Worth: make(map[string]losses.Worth), Way: c.Duration(flagWay), Trip: c.Duration(flagTrip)}
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

// compareReport writes how much of what callers lost by the users' report the
// logs explain, and what was paid for.
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
	fmt.Fprintf(w, "\ncallers: %.0f worth owed, %.0f lost (%.4f); explained by the logs %.0f (%.4f); not in the logs %.0f (%.4f)\n",
		owed, lost, lost/owed, table.Lost(), table.Lost()/owed, lost-table.Lost(), (lost-table.Lost())/owed)
	for _, u := range report.UnexplainedLosses(table, owed) {
		if u.Worth >= unexplainedLeast*owed {
			fmt.Fprintf(w, "  asked from second %s on: about %.0f not in the logs; %d of %d failed, %d were refused\n", u.Name, u.Worth, u.Failed, u.Requests, u.Refused)
		}
	}
	for _, p := range report.Prices {
		if p.Worth >= pricesLeast {
			fmt.Fprintf(w, "  price %.4f  %s\n", p.Worth, p.Name)
		}
	}
	return nil
}

// unexplainedLeast is the least part of all worth that is listed of a window.
const unexplainedLeast = 0.001

// pricesLeast is the least price that is listed, as a part of the day's worth.
const pricesLeast = 0.0005

package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/logtrace"
)

const (
	flagRequest = "request"
	flagBefore  = "before"
)

// defaultBefore is how long before a request the lines about its targets and VMs
// start, so that a lost store or a leaving target is included.
const defaultBefore = 5 * time.Second

func newTrace() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "print the log lines about a request, from the logs of VMs",
		ArgsUsage: "[FILE...]",
		Description: "Reads JSON log lines from the files, or from standard input, and prints those about the request, sorted by time: " +
			"its own, and those about its targets and VMs from shortly before its start.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagRequest, Usage: "`ID` of the request", Required: true},
			&cli.DurationFlag{Name: flagBefore, Usage: "how long before the request to start", Value: defaultBefore},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			lines, err := readLogs(c.Args().Slice())
			if err != nil {
				return usageError(err)
			}
			id := c.String(flagRequest)
			selected := logtrace.RequestLines(lines, id, c.Duration(flagBefore))
			if selected == nil {
				return trace.NotFound("none of %d lines has request id %s; lines may have been dropped, see event 1011", len(lines), id)
			}
			for i := range selected {
				if _, err := fmt.Fprintln(c.Root().Writer, selected[i].String()); err != nil {
					return trace.Wrap(err)
				}
			}
			return nil
		},
	}
}

// readLogs reads the given files, or standard input if there are none.
func readLogs(files []string) ([]logtrace.Line, error) {
	if len(files) == 0 {
		return logtrace.Read(os.Stdin)
	}
	var all []logtrace.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]logtrace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func(c io.Closer) { _ = c.Close() }(f)
	lines, err := logtrace.Read(f)
	return lines, trace.Wrap(err, "log %s", name)
}

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

// defaultBefore is how long before a request lines about its targets and its
// VM are shown: within this time a lost store or a leaving target shows.
const defaultBefore = 5 * time.Second

func newTrace() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "tell a request's story from the logs of VMs",
		ArgsUsage: "[FILE...]",
		Description: "Reads JSON log lines from the files, or from standard input, and prints those about the request in order: " +
			"its own, and those about its targets and its VM from shortly before.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagRequest, Usage: "`ID` of the request", Required: true},
			&cli.DurationFlag{Name: flagBefore, Usage: "how long before the request to begin", Value: defaultBefore},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			lines, err := readLogs(c.Args().Slice())
			if err != nil {
				return usageError(err)
			}
			id := c.String(flagRequest)
			story := logtrace.Story(lines, id, c.Duration(flagBefore))
			if story == nil {
				return trace.NotFound("no line of %d names request %s; lines of events may have been left out, see event 1011", len(lines), id)
			}
			for i := range story {
				if _, err := fmt.Fprintln(c.Root().Writer, story[i].String()); err != nil {
					return trace.Wrap(err)
				}
			}
			return nil
		},
	}
}

// readLogs reads the files, or standard input when there are none.
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

package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/edge"
	"masticturn/internal/operator/client"
)

const (
	flagOperator  = "operator"
	flagTokenFile = "token-file"
	flagTimeout   = "timeout"

	envOperator  = "MASTICTURN_OPERATOR"
	envTokenFile = "MASTICTURN_TOKEN_FILE"

	operatorTimeout = 30 * time.Second
)

// operatorFlags returns the flags of a command that calls a daemon's operators'
// listener.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: flagOperator, Usage: "`URL` of the operators' listener of any VM", Required: true, Sources: cli.EnvVars(envOperator)},
		&cli.StringFlag{Name: flagTokenFile, Usage: "`FILE` with the operators' token", Sources: cli.EnvVars(envTokenFile)},
		&cli.DurationFlag{Name: flagTimeout, Value: operatorTimeout, Usage: "give up after this time"},
		jsonFlag(),
	}, more...)
}

// operatorAction returns the action of a command with operatorFlags.
func operatorAction(run func(ctx context.Context, c *cli.Command, op *client.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		var token string
		if file := c.String(flagTokenFile); file != "" {
			raw, err := os.ReadFile(file)
			if err != nil {
				return usageError(trace.Wrap(trace.ConvertSystemError(err), "--%s", flagTokenFile))
			}
			token = strings.TrimSpace(string(raw))
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		return run(ctx, c, client.New(client.Options{URL: c.String(flagOperator), Token: token}))
	}
}

func newStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show a daemon's view of members, generations, headroom, drains, store and ages",
		Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, op *client.Client) error {
			status, err := op.Status(ctx)
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return printJSON(c.Root().Writer, status)
			}
			return printStatus(c.Root().Writer, status)
		}),
	}
}

func printStatus(w io.Writer, s *edge.Status) error {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.NotReady
	}
	fmt.Fprintf(w, "%s in %s (%s): %s, generation %d, %d requests in flight\n", s.VM, s.Zone, s.Region, ready, s.Generation, s.InFlight)
	fmt.Fprintf(w, "store: last success %s, last failure %s %s\n", formatAge(s.At, s.Store.LastSuccess), formatAge(s.At, s.Store.LastFailure), s.Store.LastError)
	fmt.Fprintf(w, "targets: oldest measurement %d ms (%s), %d unmeasured, leaving %v, down %v\n\n",
		s.Ages.OldestTargetMS, s.Ages.OldestTarget, s.Ages.Unmeasured, s.Leaving, s.Down)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "VM\tZONE\tREGION\tSTATE\tGENERATION")
	for _, m := range s.Members {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%d\n", m.Name, m.Zone, m.Region, m.State, m.Generation)
	}
	fmt.Fprintln(tab, "\nREGION\tTARGETS\tHEALTHY\tSLOTS\tIN FLIGHT\tHEADROOM")
	for _, r := range s.Regions {
		fmt.Fprintf(tab, "%s\t%d\t%d\t%d\t%d\t%.0f%%\n", r.Region, r.Targets, r.Healthy, r.Slots, r.InFlight, 100*r.Headroom)
	}
	return trace.Wrap(tab.Flush())
}

func formatAge(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String() + " ago"
}

func newDrain() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "drain the VM that answers at --operator",
		Description: "Look-ups stop naming the VM, requests in flight end, then its process exits 0. The command returns immediately; with --wait it returns when the listener is closed.",
		Flags:       operatorFlags(&cli.BoolFlag{Name: flagWait, Usage: "wait until the VM no longer answers"}),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, op *client.Client) error {
			answer, err := op.Drain(ctx)
			if err != nil {
				return err
			}
			if c.Bool(flagWait) {
				if err := waitUntilStopped(ctx, op); err != nil {
					return err
				}
			}
			if c.Bool(flagJSON) {
				return printJSON(c.Root().Writer, answer)
			}
			_, err = fmt.Fprintf(c.Root().Writer, "%s is draining\n", answer.VM)
			return err
		}),
	}
}

const (
	flagWait         = "wait"
	stopPollInterval = 200 * time.Millisecond
)

// waitUntilStopped polls the daemon until it refuses connections.
func waitUntilStopped(ctx context.Context, op *client.Client) error {
	for {
		if _, err := op.Status(ctx); trace.IsConnectionProblem(err) && ctx.Err() == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("stopped waiting: the VM still answers")
		case <-time.After(stopPollInterval):
		}
	}
}

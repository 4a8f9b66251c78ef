package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/digest"
	"masticturn/internal/placement"
	"masticturn/internal/platform"
	"masticturn/internal/quarantine"
	"masticturn/platform/adapter"
	"masticturn/platform/store"
)

func newQuarantine() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` of any VM, which names the store"},
		&cli.BoolFlag{Name: flagPlatform, Usage: "use the settings file that the environment variable " + adapter.EnvSettings + " names"},
		&cli.StringFlag{Name: flagPolicy, Value: string(placement.PolicyCompletion), Hidden: true},
		&cli.DurationFlag{Name: flagTimeout, Value: operatorTimeout, Usage: "give up after this time"},
		jsonFlag(),
	}
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list or lift requests that are refused because targets crashed while running them",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list the requests in quarantine", Flags: flags,
				Action: storeAction(func(ctx context.Context, c *cli.Command, s platform.Store) error {
					return listQuarantine(ctx, c, s)
				}),
			},
			{
				Name: "lift", Usage: "allow a request to run again", ArgsUsage: "DIGEST", Flags: flags,
				Action: storeAction(func(ctx context.Context, c *cli.Command, s platform.Store) error {
					return liftQuarantine(ctx, c.Root().Writer, c.Args().First(), s)
				}),
			},
		},
	}
}

// storeAction returns the action of a command that calls the store.
func storeAction(run func(ctx context.Context, c *cli.Command, s platform.Store) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		settings, _, err := loadSettings(c)
		if err != nil {
			return usageError(err)
		}
		client, err := store.NewClient(store.ClientOptions{
			URL:            settings.Platform.URL,
			Timeout:        time.Duration(settings.Platform.TimeoutMS) * time.Millisecond,
			CallsPerSecond: settings.Platform.CallsPerSecond,
		})
		if err != nil {
			return trace.Wrap(err)
		}
		ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
		defer cancel()
		return run(ctx, c, client)
	}
}

// quarantineEntry is the output form of a request in quarantine.
type quarantineEntry struct {
	Digest string `json:"digest"`
	quarantine.StoredRecord
}

func listQuarantine(ctx context.Context, c *cli.Command, s platform.Store) error {
	objects, _, err := s.List(ctx, platform.KindQuarantine)
	if err != nil {
		return trace.Wrap(err, "list the quarantine")
	}
	all := make([]quarantineEntry, 0, len(objects))
	for _, o := range objects {
		q := quarantineEntry{Digest: o.Name}
		if err := json.Unmarshal(o.Value, &q.StoredRecord); err != nil {
			return trace.Wrap(err, "object %s", o.Name)
		}
		all = append(all, q)
	}
	if c.Bool(flagJSON) {
		return printJSON(c.Root().Writer, all)
	}
	return printQuarantine(c.Root().Writer, all)
}

func printQuarantine(w io.Writer, all []quarantineEntry) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DIGEST\tCRASHES\tSINCE\tWRITTEN BY")
	for _, q := range all {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\n", q.Digest, q.Crashes, q.Since.Format(time.RFC3339), q.WrittenBy)
	}
	return trace.Wrap(table.Flush())
}

func liftQuarantine(ctx context.Context, w io.Writer, text string, s platform.Store) error {
	d, err := digest.Parse(text)
	if err != nil {
		return usageError(err)
	}
	o, err := s.Get(ctx, platform.KindQuarantine, d.String())
	if err != nil {
		return trace.Wrap(err, "request %s", d)
	}
	if err := s.Delete(ctx, platform.KindQuarantine, d.String(), o.Version); err != nil {
		return trace.Wrap(err, "request %s", d)
	}
	_, err = fmt.Fprintf(w, "%s is lifted; VMs learn of it when the request is sent again\n", d)
	return trace.Wrap(err)
}

package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/operator/client"
)

const (
	flagEffective  = "effective"
	flagGeneration = "generation"
	flagBase       = "base"
	flagAuthor     = "author"
	flagComment    = "comment"
)

func newConfig() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "read and change the document",
		Commands: []*cli.Command{
			newConfigGet(),
			newConfigValidate(),
			newConfigSchema(),
			newConfigDiff(),
			newConfigApply(),
			newConfigHistory(),
		},
	}
}

func newConfigGet() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "print the document in force, or an earlier one",
		Flags: operatorFlags(
			&cli.BoolFlag{Name: flagEffective, Usage: "fill in all defaults"},
			&cli.Uint64Flag{Name: flagGeneration, Usage: "print this `GENERATION` instead"},
		),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, op *client.Client) error {
			answer, err := op.Get(ctx, c.Uint64(flagGeneration), c.Bool(flagEffective))
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return printJSON(c.Root().Writer, answer)
			}
			fmt.Fprintf(c.Root().ErrWriter, "generation %d\n", answer.Generation)
			return printJSON(c.Root().Writer, answer.Document)
		}),
	}
}

func newConfigValidate() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a document without a daemon and print every fault",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			raw, err := readDocument(c)
			if err != nil {
				return err
			}
			doc, err := config.Check(raw)
			if err != nil {
				return usageError(err)
			}
			if err := printWarnings(c.Root().ErrWriter, doc); err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.Root().Writer, "valid")
			return err
		},
	}
}

// printWarnings prints the parts of a document that are valid but probably unintended.
func printWarnings(w io.Writer, doc *config.Document) error {
	warnings, err := config.Advise(doc)
	for _, f := range warnings {
		fmt.Fprintf(w, "warning: %s: got %s; expected: %s\n", f.Path, f.Value, f.Allowed)
	}
	return err
}

func newConfigSchema() *cli.Command {
	return &cli.Command{
		Name:  "schema",
		Usage: "print the JSON Schema of the document",
		Action: func(_ context.Context, c *cli.Command) error {
			schema, err := config.Schema()
			if err != nil {
				return trace.Wrap(err)
			}
			_, err = fmt.Fprintln(c.Root().Writer, string(schema))
			return err
		},
	}
}

func newConfigDiff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare a document with the one in force",
		ArgsUsage: "FILE",
		Flags:     operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, op *client.Client) error {
			raw, err := readDocument(c)
			if err != nil {
				return err
			}
			diff, err := op.Diff(ctx, raw)
			if err != nil {
				return printOperatorError(c.Root().ErrWriter, err)
			}
			if c.Bool(flagJSON) {
				return printJSON(c.Root().Writer, diff)
			}
			printChanges(c.Root().Writer, diff.Changes)
			return nil
		}),
	}
}

func newConfigApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a document in force",
		ArgsUsage: "FILE",
		Description: "The document replaces the generation given by --base; if another one was accepted in the meantime, the change is refused and both diffs are printed. " +
			"If the outcome is unknown, run the same command again: a change is never applied twice.",
		Flags: operatorFlags(
			&cli.Uint64Flag{Name: flagBase, Usage: "`GENERATION` the change is based on (default: the one in force)"},
			&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` for the history", Value: os.Getenv("USER")},
			&cli.StringFlag{Name: flagComment, Usage: "`TEXT` for the history"},
			&cli.BoolFlag{Name: flagWait, Usage: "wait until the document is in force at all daemons"},
		),
		Action: operatorAction(applyConfig),
	}
}

func applyConfig(ctx context.Context, c *cli.Command, op *client.Client) error {
	raw, err := readDocument(c)
	if err != nil {
		return err
	}
	base := c.Uint64(flagBase)
	if !c.IsSet(flagBase) {
		if base, err = generationInForce(ctx, op); err != nil {
			return err
		}
	}
	applied, err := op.Apply(ctx, client.Change{
		Document: raw, Base: base, Author: c.String(flagAuthor), Comment: c.String(flagComment),
	})
	if err != nil {
		return printOperatorError(c.Root().ErrWriter, err)
	}
	if !c.Bool(flagWait) {
		return printApplied(c, applied, nil)
	}
	inForce, err := op.Wait(ctx, applied.Record.Generation, func(f *edge.ConfigInForce) {
		fmt.Fprintf(c.Root().ErrWriter, "in force at %d of %d daemons\n", f.InForce, f.Daemons)
	})
	if err != nil {
		for _, d := range inForce.Stragglers {
			fmt.Fprintf(c.Root().ErrWriter, "not in force yet: %s in %s (%s), generation %d\n", d.Name, d.Zone, d.State, d.Generation)
		}
		return err
	}
	return printApplied(c, applied, inForce)
}

// generationInForce returns the generation in force, or 0 if there is none yet.
func generationInForce(ctx context.Context, op *client.Client) (uint64, error) {
	answer, err := op.Get(ctx, 0, false)
	var failure *edge.OperatorError
	if errors.As(err, &failure) && failure.Code == edge.CodeNoDocument {
		return 0, nil
	}
	return answer.Generation, err
}

// appliedReport is the JSON output of config apply.
type appliedReport struct {
	*edge.ConfigApplied
	InForce *edge.ConfigInForce `json:"in_force,omitempty"`
}

func printApplied(c *cli.Command, applied *edge.ConfigApplied, inForce *edge.ConfigInForce) error {
	w := c.Root().Writer
	if c.Bool(flagJSON) {
		return printJSON(w, appliedReport{applied, inForce})
	}
	word := "accepted"
	if applied.Unchanged {
		word = "unchanged"
	}
	fmt.Fprintf(w, "generation %d %s\n", applied.Record.Generation, word)
	if inForce != nil {
		fmt.Fprintf(w, "in force at %d of %d daemons\n", inForce.InForce, inForce.Daemons)
	}
	return nil
}

func newConfigHistory() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the accepted generations, newest first",
		Flags: operatorFlags(),
		Action: operatorAction(func(ctx context.Context, c *cli.Command, op *client.Client) error {
			history, err := op.History(ctx)
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return printJSON(c.Root().Writer, history)
			}
			tab := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			fmt.Fprintln(tab, "GENERATION\tACCEPTED\tAUTHOR\tBYTES\tKEPT\tCOMMENT")
			for _, r := range history.Records {
				fmt.Fprintf(tab, "%d\t%s\t%s\t%d\t%t\t%s\n", r.Generation, r.AcceptedAt.Format("2006-01-02 15:04:05 MST"), r.Author, r.Bytes, r.Kept, r.Comment)
			}
			return trace.Wrap(tab.Flush())
		}),
	}
}

// readDocument reads the file named by the only argument, or standard input
// for "-".
func readDocument(c *cli.Command) ([]byte, error) {
	if c.Args().Len() != 1 {
		return nil, usageError(trace.BadParameter("exactly one FILE is required (- for standard input)"))
	}
	name := c.Args().First()
	if name == "-" {
		raw, err := io.ReadAll(os.Stdin)
		return raw, trace.Wrap(err, "read standard input")
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, usageError(trace.ConvertSystemError(err))
	}
	return raw, nil
}

func printChanges(w io.Writer, changes []edge.ConfigChange) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, change := range changes {
		fmt.Fprintln(w, change.Text)
	}
}

// printOperatorError prints the faults or the conflict of an error and returns the error
// with its exit code.
func printOperatorError(w io.Writer, err error) error {
	var failure *edge.OperatorError
	if !errors.As(err, &failure) {
		return err
	}
	for _, f := range failure.Faults {
		fmt.Fprintf(w, "%s: got %s; allowed is %s\n", f.Path, f.Value, f.Allowed)
	}
	if conflict := failure.Conflict; conflict != nil {
		fmt.Fprintf(w, "accepted in the meantime (generation %d by %s):\n", conflict.Current.Generation, conflict.Current.Author)
		printChanges(w, conflict.Theirs)
		fmt.Fprintln(w, "your change:")
		printChanges(w, conflict.Yours)
	}
	if failure.Code == edge.CodeInvalid {
		return usageError(failure)
	}
	return failure
}

// Package command implements the command-line interface, with one file per command.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/daemon"
)

// Exit codes of the program.
const (
	ExitOK     = 0 // success
	ExitFailed = 1 // the command failed; the message names the failed step
	ExitUsage  = 2 // invalid arguments, settings or document
	ExitBroken = 3 // a benchmark or the demo found a broken promise
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usageError(err error) error  { return &exitError{code: ExitUsage, err: err} }
func brokenError(err error) error { return &exitError{code: ExitBroken, err: err} }

// Options replaces what the daemon uses of its environment. The zero value replaces nothing.
type Options struct {
	Dial daemon.DialFunc // opens all connections of the daemon
}

// Run executes the command line and returns the exit code. It writes errors to
// stderr, without a stack trace.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return Options{}.Run(ctx, args, stdout, stderr)
}

// Run is like the function Run, with these options.
func (o Options) Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	log.SetOutput(io.Discard) // net/http logs protocol errors of its peers there; the daemon's own log has them as numbered events
	err := o.newRoot(stdout, stderr).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "masticturn: %s\n", trace.UserMessage(err))
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var unknownCommand cli.ExitCoder // only the library returns it, not the actions of this package
	if errors.As(err, &unknownCommand) || trace.IsBadParameter(err) {
		return ExitUsage
	}
	return ExitFailed
}

func (o Options) newRoot(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "masticturn",
		Usage:                 "global traffic steering",
		Description:           "Exit codes: 0 success, 1 failure, 2 invalid arguments, settings or document, 3 a benchmark or the demo found a broken promise.",
		Version:               version(),
		EnableShellCompletion: true,
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			o.newServe(),
			newDemo(),
			newLookup(),
			newConfig(),
			newStatus(),
			newDrain(),
			newEvents(),
			newTrace(),
			newLosses(),
			newQuarantine(),
			newStandin(),
			newBench(),
			newVersion(),
		},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes a command and all its subcommands exit with ExitUsage
// on invalid arguments.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError(err)
	}
	for _, sub := range c.Commands {
		setUsageErrors(sub)
	}
}

const flagJSON = "json"

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "print one JSON object"}
}

// printJSON writes v as one indented JSON object.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return trace.Wrap(enc.Encode(v))
}

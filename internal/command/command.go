// Package command is the command line: one file for each command.
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
)

// Exit codes of the program.
const (
	ExitOK     = 0 // done
	ExitFailed = 1 // the command failed; the message says at which step
	ExitUsage  = 2 // wrong arguments, settings or document
	ExitBroken = 3 // a bench or the demo saw a broken promise
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

// Run runs the command line and returns the exit code. Errors go to stderr as
// one line, without a stack trace.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	log.SetOutput(io.Discard) // net/http writes there what peers did wrong; our own log tells it by number
	err := newRoot(stdout, stderr).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "masticturn: %s\n", trace.UserMessage(err))
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var unknownCommand cli.ExitCoder // our own actions return none
	if errors.As(err, &unknownCommand) || trace.IsBadParameter(err) {
		return ExitUsage
	}
	return ExitFailed
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "masticturn",
		Usage:                 "global traffic steering",
		Description:           "Exit codes: 0 done, 1 failed, 2 wrong arguments, settings or document, 3 a bench or the demo saw a broken promise.",
		Version:               version(),
		EnableShellCompletion: true,
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			newServe(),
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

// setUsageErrors gives a command and all below it the exit code for wrong
// arguments.
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

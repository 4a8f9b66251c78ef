// Package command is the command line: one file for each command.
package command

import (
	"context"
	"fmt"
	"io"

	_ "masticturn/internal/settings" // PLACEHOLDER

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitOK     = 0 // done
	ExitFailed = 1 // the command failed; the message says at which step
	ExitUsage  = 2 // wrong arguments, settings or document
	ExitBroken = 3 // a bench or demo saw a broken promise
)

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:                  "masticturn",
		Usage:                 "global traffic steering",
		EnableShellCompletion: true,
		Writer:                stdout,
		ErrWriter:             stderr,
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "masticturn: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

package command

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// version returns the module version of the build, with the VCS revision if it
// is recorded.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	if v == "" {
		v = "(devel)"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v
}

type versionReport struct {
	Version string `json:"version"`
}

func newVersion() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of this program",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool(flagJSON) {
				return printJSON(c.Root().Writer, versionReport{version()})
			}
			_, err := fmt.Fprintln(c.Root().Writer, version())
			return err
		},
	}
}

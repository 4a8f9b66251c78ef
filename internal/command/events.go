package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"masticturn/internal/telemetry"
)

func newEvents() *cli.Command {
	return &cli.Command{
		Name:  "events",
		Usage: "print the catalogue of numbered log events",
		Flags: []cli.Flag{jsonFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool(flagJSON) {
				return printJSON(c.Root().Writer, telemetry.Catalogue())
			}
			_, err := fmt.Fprint(c.Root().Writer, telemetry.CatalogueMarkdown())
			return err
		},
	}
}

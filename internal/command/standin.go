package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
	"masticturn/internal/kernel"
	"masticturn/internal/platform/platformtest"
	"masticturn/internal/standin"
	"masticturn/internal/standin/target"
	"masticturn/platform/storestandin"
)

const (
	flagListen   = "listen"
	flagDocument = "document"
)

func newStandin() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins for external systems, to try out daemons by hand",
		Commands: []*cli.Command{
			newStandinPlatform(),
			newStandinTargets(),
		},
	}
}

func documentFlag() cli.Flag {
	return &cli.StringFlag{Name: flagDocument, Usage: "document `FILE`", Required: true}
}

// loadDocument reads and validates the document named by --document.
func loadDocument(c *cli.Command) (*config.Document, error) {
	raw, err := os.ReadFile(c.String(flagDocument))
	if err != nil {
		return nil, usageError(trace.ConvertSystemError(err))
	}
	doc, err := config.Parse(raw)
	if err == nil {
		err = config.Validate(doc)
	}
	if err != nil {
		return nil, usageError(err)
	}
	return doc, nil
}

func newStandinPlatform() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the platform's object API from memory, with a document as generation 1",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagListen, Usage: "`HOST:PORT`", Value: "127.0.0.1:9000"},
			documentFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			doc, err := loadDocument(c)
			if err != nil {
				return err
			}
			store := platformtest.NewStore()
			repo := repository.New(store, kernel.SystemClock{})
			if _, err := repo.Apply(ctx, repository.Proposal{Document: doc, Author: "standin", Comment: "first document"}); err != nil {
				return trace.Wrap(err, "store the document")
			}
			server, err := standin.Serve(c.String(flagListen), storestandin.NewHandler(store))
			if err != nil {
				return err
			}
			defer server.Close()
			fmt.Fprintf(c.Root().Writer, "platform at %s\n", server.URL())
			waitForSignal(ctx)
			return nil
		},
	}
}

func newStandinTargets() *cli.Command {
	return &cli.Command{
		Name:  "targets",
		Usage: "run all targets of a document at their addresses",
		Flags: []cli.Flag{documentFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			doc, err := loadDocument(c)
			if err != nil {
				return err
			}
			targets, err := startTargets(doc)
			for _, t := range targets {
				defer t.Kill()
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "%d targets up\n", len(targets))
			waitForSignal(ctx)
			return nil
		},
	}
}

// Behavior of the targets that newStandinTargets runs.
const (
	standinServiceTimeSigma = 0.5
	standinQueueLimit       = 2
)

func startTargets(doc *config.Document) ([]*target.Target, error) {
	var targets []*target.Target
	for _, svc := range doc.Services {
		for i, t := range svc.Targets {
			started, err := target.Start(target.Options{
				Name:       t.Name,
				Address:    t.Address,
				Slots:      t.Slots,
				QueueLimit: standinQueueLimit,
				Service:    max(svc.ServiceMS.Duration(), time.Millisecond),
				Sigma:      standinServiceTimeSigma,
				Seed:       uint64(i),
			})
			if err != nil {
				return targets, trace.Wrap(err, "target %s", t.Name)
			}
			targets = append(targets, started)
		}
	}
	return targets, nil
}

func waitForSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"masticturn/internal/daemon"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
)

const flagSettings = "settings"

func newServe() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the daemon of this VM",
		Description: "SIGTERM or SIGINT drains: look-ups stop naming this VM, requests in flight end, then it exits 0. " +
			"A second signal ends at once.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` (JSON with comments)", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String(flagSettings))
			if err != nil {
				return usageError(err)
			}
			level, err := logrus.ParseLevel(s.Log.Level)
			if err != nil {
				return usageError(trace.Wrap(err))
			}
			logger := telemetry.NewLogger(c.Root().ErrWriter, s.Log.Format, level, s.VM.Name)
			return serve(ctx, s, logger)
		},
	}
}

// serve runs a daemon until a signal. The first signal drains, the second one
// ends the drain.
func serve(ctx context.Context, s *settings.Settings, logger *telemetry.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)

	d, err := daemon.New(s, daemon.Options{Logger: logger})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := d.Start(ctx); err != nil {
		return trace.Wrap(err)
	}
	select {
	case <-signals:
	case <-d.DrainRequested():
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-drainCtx.Done():
		}
	}()
	err = d.Drain(drainCtx)
	return trace.NewAggregate(err, d.Stop(context.WithoutCancel(ctx)))
}

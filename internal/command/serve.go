package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"masticturn/internal/daemon"
	"masticturn/internal/placement"
	"masticturn/internal/settings"
	"masticturn/internal/telemetry"
	"masticturn/platform/adapter"
)

const (
	flagSettings = "settings"
	flagPlatform = "platform"
	flagLogLines = "log-lines"
)

// gcPercent is the heap growth, in percent of the live heap, that triggers a
// garbage collection. It is below Go's default of 100 because peak memory costs
// more than the processor time of more frequent collections.
const gcPercent = 30

func (o Options) newServe() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the daemon of this VM",
		Description: "SIGTERM or SIGINT drains: look-ups stop naming this VM, requests in flight end, then it exits 0. " +
			"A second signal ends the drain immediately.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` (JSON with comments)"},
			&cli.BoolFlag{Name: flagPlatform, Usage: "run on the users' platform, with the settings file that the environment variable " + adapter.EnvSettings + " names"},
			&cli.StringFlag{Name: flagPolicy, Value: string(placement.PolicyCompletion), Usage: "policy that chooses targets on the platform: " + placementPolicyNames()},
			&cli.IntFlag{Name: flagLogLines, Value: telemetry.LinesPerSecond, Usage: "maximum log lines per second, separately for successful requests and for all other events; masticturn losses needs complete logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, hosted, err := loadSettings(c)
			if err != nil {
				return usageError(err)
			}
			level, err := logrus.ParseLevel(s.Log.Level)
			if err != nil {
				return usageError(trace.Wrap(err))
			}
			out := c.Root().ErrWriter
			if hosted != nil {
				debug.SetGCPercent(gcPercent)
				// The platform collects standard output.
				out = telemetry.NewQueuedWriter(c.Root().Writer)
			}
			logger := telemetry.NewLogger(out, s.Log.Format, level, s.VM.Name)
			logger.SetLinesPerSecond(c.Int(flagLogLines))
			reload := func() (*settings.Settings, error) {
				s, _, err := loadSettings(c)
				return s, err
			}
			return serve(ctx, s, reload, daemon.Options{Logger: logger, Hosted: hosted, Dial: o.Dial})
		},
	}
}

// loadSettings reads the settings. On the platform it also returns the options
// of a hosted daemon.
func loadSettings(c *cli.Command) (*settings.Settings, *daemon.Hosted, error) {
	if c.Bool(flagPlatform) {
		policy, err := parsePlacementPolicy(c.String(flagPolicy))
		if err != nil {
			return nil, nil, err
		}
		hosted := adapter.Hosted()
		hosted.Policy = policy
		s, err := adapter.LoadSettings()
		return s, hosted, err
	}
	if c.String(flagSettings) == "" {
		return nil, nil, trace.BadParameter("one of --%s and --%s is required", flagSettings, flagPlatform)
	}
	s, err := settings.Load(c.String(flagSettings))
	return s, nil, err
}

// stopMargin is the part of the stop grace period that a drain leaves for the
// process to exit before it is killed.
const stopMargin = 300 * time.Millisecond

// serve runs a daemon until it is told to stop. SIGTERM, an interrupt or an operator's
// request starts a drain, and a second signal ends it; SIGHUP reloads the settings.
func serve(ctx context.Context, s *settings.Settings, reload func() (*settings.Settings, error), opts daemon.Options) error {
	stopSignals := make(chan os.Signal, 2)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(stopSignals)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)

	d, err := daemon.New(s, opts)
	if err != nil {
		return trace.Wrap(err)
	}
	defer opts.Logger.Flush()
	if err := d.Start(ctx); err != nil {
		return trace.Wrap(err)
	}
	for stopped := false; !stopped; {
		select {
		case <-reloadSignals:
			d.HandleReload(reload())
		case <-stopSignals:
			stopped = true
		case <-d.DrainRequested():
			stopped = true
		case <-ctx.Done():
			stopped = true
		}
	}
	drainCtx, cancel := drainContext(ctx, s.Bounds.StopGrace)
	defer cancel()
	go func() {
		select {
		case <-stopSignals:
			cancel()
		case <-drainCtx.Done():
		}
	}()
	err = d.Drain(drainCtx)
	return trace.NewAggregate(err, d.Stop(context.WithoutCancel(ctx)))
}

// drainContext returns a context that ends a drain stopMargin before the process is
// killed. A grace of 0 means that the process is not killed.
func drainContext(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	ctx = context.WithoutCancel(ctx)
	if grace == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, grace-stopMargin)
}

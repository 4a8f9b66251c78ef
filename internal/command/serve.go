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

// gcPercent is how much the heap may grow, as a percentage of what is in use,
// before garbage is collected: memory at its peak is dearer than the little
// processor time that collecting it more often takes.
const gcPercent = 30

func newServe() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the daemon of this VM",
		Description: "SIGTERM or SIGINT drains: look-ups stop naming this VM, requests in flight end, then it exits 0. " +
			"A second signal ends at once.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` (JSON with comments)"},
			&cli.BoolFlag{Name: flagPlatform, Usage: "run on the users' platform, with the settings file that " + adapter.EnvSettings + " names"},
			&cli.StringFlag{Name: flagPolicy, Value: string(placement.PolicyCompletion), Usage: "on the platform, how targets are chosen: " + placementPolicyNames()},
			&cli.IntFlag{Name: flagLogLines, Value: telemetry.LinesPerSecond, Usage: "most log lines a second, for requests that went well and for all else each; masticturn losses needs them all"},
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
			return serve(ctx, s, reload, daemon.Options{Logger: logger, Hosted: hosted})
		},
	}
}

// loadSettings reads the settings, and what a daemon on the platform needs
// besides.
func loadSettings(c *cli.Command) (*settings.Settings, *daemon.Hosted, error) {
	if c.Bool(flagPlatform) {
		policy, err := placementPolicy(c.String(flagPolicy))
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

// stopMargin is left of the time to stop when the rest is cut, for the process
// to end by itself.
const stopMargin = 300 * time.Millisecond

// serve runs a daemon until a signal. SIGTERM or an interrupt drains, a second
// one ends the drain; SIGHUP reads the settings once more.
func serve(ctx context.Context, s *settings.Settings, reload func() (*settings.Settings, error), opts daemon.Options) error {
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(stops)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)

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
		case <-hangups:
			d.HandleReload(reload())
		case <-stops:
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
		case <-stops:
			cancel()
		case <-drainCtx.Done():
		}
	}()
	err = d.Drain(drainCtx)
	return trace.NewAggregate(err, d.Stop(context.WithoutCancel(ctx)))
}

// drainContext bounds a drain by the time after which the process is killed; 0
// means that it is not.
func drainContext(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	ctx = context.WithoutCancel(ctx)
	if grace == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, grace-stopMargin)
}

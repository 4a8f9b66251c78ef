package bench

import (
	"context"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/daemon"
	"masticturn/internal/settings"
)

// StartDaemon starts the daemon as it is shipped; scenarios take it unless a
// test gives another one.
func StartDaemon(ctx context.Context, s *settings.Settings, deps cluster.DaemonDeps) (cluster.Daemon, error) {
	d, err := daemon.New(s, daemon.Options{Logger: deps.Logger, Dial: deps.Dial, Metrics: deps.Metrics})
	if err != nil {
		return nil, err
	}
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	return &shipped{d}, nil
}

var _ cluster.StartDaemon = StartDaemon

// shipped is a daemon of a cluster.
type shipped struct {
	daemon *daemon.Daemon
}

// Drain implements cluster.Daemon.
func (s *shipped) Drain(ctx context.Context) error {
	err := s.daemon.Drain(ctx)
	s.Kill()
	return err
}

// Kill implements cluster.Daemon.
func (s *shipped) Kill() {
	_ = s.daemon.Stop(context.Background()) // listeners already closed are no news
}

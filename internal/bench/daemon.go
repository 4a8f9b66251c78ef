package bench

import (
	"context"
	"sync"

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
	running := &shipped{daemon: d, killed: make(chan struct{})}
	go running.drainWhenAsked(context.WithoutCancel(ctx))
	return running, nil
}

var _ cluster.StartDaemon = StartDaemon

// shipped is a daemon of a cluster.
type shipped struct {
	daemon *daemon.Daemon
	killed chan struct{}
	kill   sync.Once
	drain  sync.Once
	err    error // of the drain
}

// drainWhenAsked drains as the program would when an operator asks for it.
func (s *shipped) drainWhenAsked(ctx context.Context) {
	select {
	case <-s.killed:
	case <-s.daemon.DrainRequested():
		_ = s.Drain(ctx) // the daemon's log tells
	}
}

// Drain implements cluster.Daemon. It ends early when the daemon is killed.
func (s *shipped) Drain(ctx context.Context) error {
	s.drain.Do(func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-s.killed:
				cancel()
			case <-ctx.Done():
			}
		}()
		s.err = s.daemon.Drain(ctx)
		s.stop()
	})
	return s.err
}

// Kill implements cluster.Daemon.
func (s *shipped) Kill() {
	s.kill.Do(func() { close(s.killed) })
	s.drain.Do(s.stop)
}

func (s *shipped) stop() {
	_ = s.daemon.Stop(context.Background()) // listeners already closed are no news
}

package confsync

import (
	"context"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"masticturn/internal/config"
)

// notifier calls subscribers with each snapshot, in order, from a single goroutine.
type notifier struct {
	mu          sync.Mutex
	queue       []*config.Snapshot
	subscribers []*subscriber
	wake        chan struct{}
}

type subscriber struct {
	call func(*config.Snapshot)
}

func newNotifier() *notifier { return &notifier{wake: make(chan struct{}, 1)} }

func (n *notifier) subscribe(f func(*config.Snapshot)) (cancel func()) {
	s := &subscriber{f}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers = append(slices.Clip(n.subscribers), s)
	return func() { n.remove(s) }
}

func (n *notifier) remove(s *subscriber) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers = slices.DeleteFunc(slices.Clone(n.subscribers), func(o *subscriber) bool { return o == s })
}

// add queues a snapshot without blocking.
func (n *notifier) add(snap *config.Snapshot) {
	n.mu.Lock()
	n.queue = append(n.queue, snap)
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *notifier) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
			n.deliver()
		}
	}
}

func (n *notifier) deliver() {
	n.mu.Lock()
	queue, subscribers := n.queue, n.subscribers
	n.queue = nil
	n.mu.Unlock()
	for _, snap := range queue {
		for _, s := range subscribers {
			s.call(snap)
		}
	}
}

// counters holds the metrics of the service.
type counters struct {
	adopted *metrics.Counter
	pushes  *metrics.Counter
	fetches *metrics.Counter
}

func newCounters(set *metrics.Set, s *Service) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	set.NewGauge("masticturn_config_generation", func() float64 { return float64(s.current.Load().generation()) })
	set.NewGauge("masticturn_config_ready", func() float64 {
		if s.Ready() != nil {
			return 0
		}
		return 1
	})
	return counters{
		adopted: set.NewCounter("masticturn_config_adopted_total"),
		pushes:  set.NewCounter("masticturn_config_pushes_total"),
		fetches: set.NewCounter("masticturn_config_fetches_total"),
	}
}

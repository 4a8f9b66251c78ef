package bench

import (
	"context"

	"github.com/gravitational/trace"

	"masticturn/internal/bench/cluster"
	"masticturn/internal/config"
)

// startWarm starts a cluster with warm targets and logs of tries and runs, and
// returns it with the snapshot of its document.
func startWarm(ctx context.Context, doc *config.Document, start cluster.StartDaemon, seed uint64) (*cluster.Cluster, *config.Snapshot, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := cluster.New(startCtx, cluster.Options{
		Document:   doc,
		Start:      start,
		Seed:       seed,
		Sigma:      cluster.DefaultSigma,
		QueueLimit: cluster.DefaultQueueLimit,
		Warm:       true,
		KeepLogs:   true,
	})
	if err != nil {
		return nil, nil, err
	}
	snapshot, err := config.NewSnapshot(1, c.Document)
	if err != nil {
		return nil, nil, trace.NewAggregate(err, c.Close())
	}
	return c, snapshot, nil
}

package admission

import (
	"context"

	"golang.org/x/sync/errgroup"

	"masticturn/internal/steering"
)

// Controller is the admitter of a daemon: it follows the policy that the
// document names.
type Controller struct {
	deps     Deps
	local    *Local
	brokered *Brokered
}

var _ Admitter = (*Controller)(nil)

// New returns the admitter of a daemon. It registers its handlers with the
// network, so it must be called before the network starts; Run must be called
// for requests to be admitted in time.
func New(deps Deps) *Controller {
	m := newMeter(deps.Metrics)
	return &Controller{deps: deps, local: newLocal(deps, m), brokered: NewBrokered(deps, m)}
}

// Run looks after queues until the context is done.
func (c *Controller) Run(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error { c.local.Run(ctx); return nil })
	g.Go(func() error { c.brokered.Run(ctx); return nil })
	_ = g.Wait()
}

// Acquire implements Admitter.
func (c *Controller) Acquire(ctx context.Context, r *Request) (Permit, error) {
	s := c.deps.Config.Current()
	if s == nil {
		return nil, notRun(reasonNoDocument, silentRetryAfter)
	}
	switch steering.PolicyName(s.Document.Steering.Policy) {
	case steering.PolicyRandom, steering.PolicyP2C, steering.PolicyStaticSpill, steering.PolicySubset:
		return c.local.Acquire(ctx, r)
	default:
		return c.brokered.Acquire(ctx, r)
	}
}

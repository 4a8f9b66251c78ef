package admission

import "context"

// Controller is the admitter of a daemon: it follows the policy that the
// document names.
type Controller struct {
	deps  Deps
	local *Local
}

var _ Admitter = (*Controller)(nil)

// New returns the admitter of a daemon. It registers its handlers with the
// network, so it must be called before the network starts; Run must be called
// for requests to be admitted in time.
func New(deps Deps) *Controller {
	return &Controller{deps: deps, local: NewLocal(deps)}
}

// Run looks after queues until the context is done.
func (c *Controller) Run(ctx context.Context) { c.local.Run(ctx) }

// Acquire implements Admitter.
func (c *Controller) Acquire(ctx context.Context, r *Request) (Permit, error) {
	return c.local.Acquire(ctx, r)
}

package client

import (
	"context"

	"masticturn/internal/edge"
)

// Status returns what the daemon knows of the fleet.
func (c *Client) Status(ctx context.Context) (*edge.Status, error) {
	answer := &edge.Status{}
	return answer, c.do(ctx, c.base.New().Get(edge.PathOperatorStatus), answer)
}

// Drain asks the daemon to leave the fleet gracefully and returns at once.
func (c *Client) Drain(ctx context.Context) (*edge.DrainResponse, error) {
	answer := &edge.DrainResponse{}
	return answer, c.do(ctx, c.base.New().Post(edge.PathOperatorDrain), answer)
}

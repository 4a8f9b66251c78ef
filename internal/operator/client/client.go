// Package client is the operators' client of a daemon, for the command
// line.
package client

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"masticturn/internal/edge"
)

// Client calls one daemon's operators' listener.
type Client struct {
	base *sling.Sling
	url  string
}

// Options configures a Client.
type Options struct {
	URL   string       // base URL of the operators' listener
	Token string       // bearer token
	HTTP  *http.Client // with the TLS settings wanted; nil: http.DefaultClient
}

// New returns a client. It opens no connection.
func New(o Options) *Client {
	base := sling.New().Client(o.HTTP).Base(o.URL)
	if o.Token != "" {
		base = base.Set("Authorization", "Bearer "+o.Token)
	}
	return &Client{base: base, url: o.URL}
}

// getQuery is the query of reading a document.
type getQuery struct {
	Effective  bool   `url:"effective,omitempty"`
	Generation uint64 `url:"generation,omitempty"`
}

// Get returns the document in force or, with a generation that is not 0, one
// of the history; with its defaults when effective is set.
func (c *Client) Get(ctx context.Context, generation uint64, effective bool) (*edge.ConfigResponse, error) {
	answer := &edge.ConfigResponse{}
	req := c.base.New().Get(edge.PathOperatorConfig).QueryStruct(getQuery{effective, generation})
	return answer, c.do(ctx, req, answer)
}

// Validate returns the warnings about a valid document. The error is an
// *edge.OperatorError with the faults of an invalid one.
func (c *Client) Validate(ctx context.Context, document []byte) (*edge.ConfigValid, error) {
	answer := &edge.ConfigValid{}
	req := c.base.New().Post(edge.PathOperatorValidate).Body(bytes.NewReader(document))
	return answer, c.do(ctx, req, answer)
}

// Diff returns the difference of a document to the one in force.
func (c *Client) Diff(ctx context.Context, document []byte) (*edge.ConfigDiff, error) {
	answer := &edge.ConfigDiff{}
	req := c.base.New().Post(edge.PathOperatorDiff).Body(bytes.NewReader(document))
	return answer, c.do(ctx, req, answer)
}

// History returns the accepted generations, newest first.
func (c *Client) History(ctx context.Context) (*edge.ConfigHistory, error) {
	answer := &edge.ConfigHistory{}
	return answer, c.do(ctx, c.base.New().Get(edge.PathOperatorHistory), answer)
}

// InForce returns which daemons have a generation in force.
func (c *Client) InForce(ctx context.Context, generation uint64) (*edge.ConfigInForce, error) {
	answer := &edge.ConfigInForce{}
	req := c.base.New().Get(edge.PathOperatorInForce).QueryStruct(getQuery{Generation: generation})
	return answer, c.do(ctx, req, answer)
}

// Change is a document to be applied.
type Change struct {
	Document []byte
	Base     uint64 // generation that the operator started from
	Author   string
	Comment  string
}

type applyQuery struct {
	Author  string `url:"author,omitempty"`
	Comment string `url:"comment,omitempty"`
}

// Apply has a document accepted. The error is an *edge.OperatorError when the
// daemon answered; any other error leaves it open whether the document was
// accepted, and the same call may be made again.
func (c *Client) Apply(ctx context.Context, change Change) (*edge.ConfigApplied, error) {
	answer := &edge.ConfigApplied{}
	req := c.base.New().Put(edge.PathOperatorConfig).
		Set(edge.HeaderIfMatch, strconv.Quote(strconv.FormatUint(change.Base, 10))).
		QueryStruct(applyQuery{change.Author, change.Comment}).
		Body(bytes.NewReader(change.Document))
	return answer, c.do(ctx, req, answer)
}

// pollInterval is the time between two looks at where a generation is in
// force.
const pollInterval = 200 * time.Millisecond

// Wait returns when a generation is in force at all daemons that the asked
// one knows, or with the last answer and an error when the context is done.
// It calls progress, which may be nil, with each answer.
func (c *Client) Wait(ctx context.Context, generation uint64, progress func(*edge.ConfigInForce)) (*edge.ConfigInForce, error) {
	last := &edge.ConfigInForce{Generation: generation}
	for {
		answer, err := c.InForce(ctx, generation)
		if err == nil {
			last = answer
			if progress != nil {
				progress(answer)
			}
			if len(answer.Stragglers) == 0 {
				return answer, nil
			}
		}
		select {
		case <-ctx.Done():
			return last, trace.LimitExceeded("generation %d is in force at %d of %d daemons: %v",
				generation, last.InForce, last.Daemons, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

func (c *Client) do(ctx context.Context, s *sling.Sling, answer any) error {
	req, err := s.Request()
	if err != nil {
		return trace.Wrap(err, "make request to %s", c.url)
	}
	failure := &edge.OperatorError{}
	resp, err := s.Do(req.WithContext(ctx), answer, failure)
	if err != nil && resp == nil {
		return trace.ConnectionProblem(err, "call %s %s at %s: %v", req.Method, req.URL.Path, c.url, err)
	}
	if resp.StatusCode/100 == 2 {
		return trace.Wrap(err, "read the answer of %s", c.url)
	}
	if failure.Code == "" {
		return trace.BadParameter("%s answered %s", c.url, resp.Status)
	}
	return failure
}

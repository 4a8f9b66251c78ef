package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/dghubble/sling"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"masticturn/internal/edge"
	"masticturn/internal/kernel"
)

// ServiceName is the name of the client in the kernel.
const ServiceName = "platform.store"

// Defaults of ClientOptions and bounds of the client's connections.
const (
	DefaultTimeout        = time.Second
	DefaultWatchTimeout   = time.Second
	DefaultCallsPerSecond = 20.0

	// claimShare is the part of the budget that claims of idempotency keys may
	// use. They follow the callers' load; the rest stays for the others.
	claimShare = 0.75

	maxIdleConnections = 4
	idleTimeout        = 10 * time.Second
	maxAnswerBytes     = 64 << 20 // of a list or watch
)

// ClientOptions configures a Client. Only URL is required.
type ClientOptions struct {
	URL            string        // base URL of the object API
	Timeout        time.Duration // of one call, waiting for the budget included
	WatchTimeout   time.Duration // how long the platform may hold a watch; it fails Timeout later
	CallsPerSecond float64       // budget of this process; bursts of one second are allowed
	Metrics        *metrics.Set  // gets counts and durations by operation; may be nil
	// Dial opens connections; nil means a plain net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is the HTTP client of the platform's object API.
//
// Reads and watches share pooled connections, which are all dropped as soon
// as one call times out. Each write goes on a connection of its own, so that
// net/http never sends it a second time.
type Client struct {
	opts    ClientOptions
	peer    string
	base    *sling.Sling
	reads   *http.Client
	writes  *http.Client
	limiter *rate.Limiter // of all calls
	claims  *rate.Limiter // of the claims among them
	metrics callMetrics
	health  healthNote
}

var (
	_ Store          = (*Client)(nil)
	_ kernel.Service = (*Client)(nil)
)

// NewClient returns a client. It opens no connection. The error tells what is
// wrong with the URL.
func NewClient(opts ClientOptions) (*Client, error) {
	u, err := url.Parse(opts.URL)
	if err != nil {
		return nil, trace.BadParameter("platform URL: %v", err)
	}
	if u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, trace.BadParameter("platform URL: got %q; allowed is http://host:port or https://host:port", opts.URL)
	}
	opts.setDefaults()
	return &Client{
		opts:    opts,
		peer:    u.Host,
		base:    sling.New().Base(opts.URL),
		reads:   &http.Client{Transport: newReadTransport(opts), CheckRedirect: noRedirect},
		writes:  &http.Client{Transport: newWriteTransport(opts), CheckRedirect: noRedirect},
		limiter: newLimiter(opts.CallsPerSecond),
		claims:  newLimiter(claimShare * opts.CallsPerSecond),
		metrics: callMetrics{set: opts.Metrics},
	}, nil
}

func (o *ClientOptions) setDefaults() {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WatchTimeout <= 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	if o.CallsPerSecond <= 0 {
		o.CallsPerSecond = DefaultCallsPerSecond
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.Timeout}).DialContext
	}
}

// newLimiter allows bursts of one second.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func newReadTransport(opts ClientOptions) *http.Transport {
	return &http.Transport{
		DialContext:         opts.Dial,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// newWriteTransport returns a transport that uses each connection once. The
// transport of net/http resends a request only when a reused connection
// fails, so that with this one a write is sent at most once.
func newWriteTransport(opts ClientOptions) *http.Transport {
	return &http.Transport{
		DialContext:        opts.Dial,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

// noRedirect hands a redirection back as the answer: following one would send
// a write twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	a, err := c.do(ctx, call{op: OpGet, kind: kind, name: name, request: c.base.New().Get(objectPath(kind, name))})
	if err != nil {
		return Object{}, err
	}
	return Object{Kind: kind, Name: name, Version: a.version, Value: a.body}, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind Kind) ([]Object, Version, error) {
	cl := call{op: OpList, kind: kind, request: c.base.New().Get(edge.PathPlatformObjects + url.PathEscape(string(kind)))}
	a, err := c.do(ctx, cl)
	if err != nil {
		return nil, 0, err
	}
	var objects []Object
	if err := json.Unmarshal(a.body, &objects); err != nil {
		return nil, 0, c.fail(cl, ErrUnavailable, err)
	}
	return objects, a.version, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind Kind, name string, value []byte) (Version, error) {
	req := c.base.New().Put(objectPath(kind, name)).Set(edge.HeaderIfNoneMatch, edge.IfNoneMatchAny)
	return c.put(ctx, call{op: OpCreate, kind: kind, name: name, request: req}, value)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind Kind, name string, value []byte, ifVersion Version) (Version, error) {
	req := c.base.New().Put(objectPath(kind, name)).Set(edge.HeaderIfMatch, quoteVersion(ifVersion))
	return c.put(ctx, call{op: OpUpdate, kind: kind, name: name, request: req}, value)
}

func (c *Client) put(ctx context.Context, cl call, value []byte) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, c.fail(cl, ErrTooLarge, nil)
	}
	cl.request = cl.request.Body(bytes.NewReader(value))
	a, err := c.do(ctx, cl)
	return a.version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, ifVersion Version) error {
	req := c.base.New().Delete(objectPath(kind, name)).Set(edge.HeaderIfMatch, quoteVersion(ifVersion))
	_, err := c.do(ctx, call{op: OpDelete, kind: kind, name: name, request: req})
	return err
}

// Watch implements Store. A connection that went silent is found within
// WatchTimeout and Timeout together.
func (c *Client) Watch(ctx context.Context, kind Kind, since Version) ([]Event, Version, error) {
	query := edge.WatchQuery{Since: uint64(since), TimeoutMS: c.opts.WatchTimeout.Milliseconds()}
	req := c.base.New().Get(edge.PathPlatformWatch + url.PathEscape(string(kind))).QueryStruct(query)
	cl := call{op: OpWatch, kind: kind, request: req}
	a, err := c.do(ctx, cl)
	if err != nil {
		return nil, since, err
	}
	var events []Event
	if err := json.Unmarshal(a.body, &events); err != nil {
		return nil, since, c.fail(cl, ErrUnavailable, err)
	}
	return events, a.version, nil
}

func objectPath(kind Kind, name string) string {
	return edge.PathPlatformObjects + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func quoteVersion(v Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

// Provision implements kernel.Service.
func (c *Client) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (c *Client) Start(context.Context) error { return nil }

// Drain implements kernel.Service. Others may still call while they drain.
func (c *Client) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (c *Client) Stop(context.Context) error {
	c.reads.CloseIdleConnections()
	return nil
}

package measure

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"masticturn/internal/config"
	"masticturn/internal/edge"
	"masticturn/internal/targetconn"
)

// DialFunc opens a connection; the bench puts delays and faults here.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// maxProbesAtOnce bounds the connections a prober holds.
const maxProbesAtOnce = 32

// Limits of a target's answer to a probe.
const (
	maxProbeHeadBytes = 16 << 10
	maxProbeBodyBytes = 64 << 10
)

// checkedResponses is a RoundTripper that fails if a response is malformed. Bodies end with an error after
// maxProbeBodyBytes.
type checkedResponses struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c checkedResponses) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := targetconn.CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, trace.Wrap(err)
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxProbeBodyBytes)
	return resp, nil
}

// prober asks targets for their health and load. Each probe opens a new
// connection, so that it proves that new work would get through.
type prober struct {
	client *http.Client
	vm     string
	now    func() time.Time
}

func newProber(dial DialFunc, vm string, now func() time.Time) *prober {
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxProbeHeadBytes}
	return &prober{client: &http.Client{Transport: checkedResponses{transport}}, vm: vm, now: now}
}

// probeAll probes the targets at the same time and returns the results in
// their order. No probe lasts longer than timeout.
func (p *prober) probeAll(ctx context.Context, targets []*config.TargetIndex, timeout time.Duration) []Probe {
	results := make([]Probe, len(targets))
	places := make(chan struct{}, maxProbesAtOnce)
	var wg sync.WaitGroup
	for i, t := range targets {
		places <- struct{}{}
		wg.Go(func() {
			defer func() { <-places }()
			results[i] = p.probe(ctx, t, timeout)
		})
	}
	wg.Wait()
	return results
}

// probe asks one target. An error of either endpoint makes it a failed probe;
// a load endpoint that fails alone leaves the load unknown.
func (p *prober) probe(ctx context.Context, t *config.TargetIndex, timeout time.Duration) Probe {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := Probe{Target: t.Name, Reporter: p.vm, InFlight: -1}
	var health edge.TargetHealth
	if err := p.get(ctx, t, edge.PathTargetHealth, &health); err != nil {
		result.At = p.now()
		return result
	}
	result.OK = true
	result.Status = health.Status
	var load edge.TargetLoad
	if err := p.get(ctx, t, edge.PathTargetLoad, &load); err == nil {
		result.InFlight, result.Slots, result.Queued = load.InFlight, load.Slots, load.Queued
	}
	result.At = p.now()
	return result
}

func (p *prober) get(ctx context.Context, t *config.TargetIndex, path string, into any) error {
	base := sling.New().Client(p.client).Get("http://" + t.Address + path)
	req, err := base.Request()
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := base.Do(req.WithContext(ctx), into, nil)
	if err != nil {
		return trace.Wrap(err, "probe %s of %s", path, t.Name)
	}
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("probe %s of %s: status %d", path, t.Name, resp.StatusCode)
	}
	return nil
}

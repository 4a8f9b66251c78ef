package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"masticturn/internal/edge"
)

// errNoVM is the error of a request for which no VM is known.
var errNoVM = errors.New("no VM is known")

// answers caches the look-ups of one caller for as long as they allow.
type answers struct {
	pool    *pool
	entries []string // addresses of VMs to ask first
	timeout time.Duration

	mu     sync.Mutex
	cached map[string]*cachedAnswer
}

// cachedAnswer is the look-up of one service. Its lock lets one goroutine ask
// while the others wait.
type cachedAnswer struct {
	mu      sync.Mutex
	answer  edge.LookupResponse
	expires time.Time
}

func (a *answers) entry(service string) *cachedAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.cached[service]
	if c == nil {
		c = &cachedAnswer{}
		a.cached[service] = c
	}
	return c
}

// vms returns the VMs to use for a service, best first. When no VM can be
// asked an answer that has expired is not used again.
func (a *answers) vms(ctx context.Context, service string) ([]edge.LookupVM, error) {
	c := a.entry(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.answer.VMs, nil
	}
	answer, asked, err := a.ask(ctx, service, c.answer.VMs)
	if err != nil {
		return nil, err
	}
	c.answer = answer
	c.expires = asked.Add(time.Duration(answer.MaxAgeSeconds * float64(time.Second)))
	return answer.VMs, nil
}

// ask asks the VMs of the last answer, then the configured ones, until one
// answers. The age of the answer counts from when it was asked for.
func (a *answers) ask(ctx context.Context, service string, last []edge.LookupVM) (edge.LookupResponse, time.Time, error) {
	var addresses []string
	for _, vm := range last {
		addresses = append(addresses, vm.Address)
	}
	err := errNoVM
	for _, address := range append(addresses, a.entries...) {
		asked := time.Now()
		answer, askErr := a.askOne(ctx, address, service)
		if askErr == nil && len(answer.VMs) > 0 {
			return answer, asked, nil
		}
		err = errors.Join(err, askErr)
	}
	return edge.LookupResponse{}, time.Time{}, err
}

func (a *answers) askOne(ctx context.Context, address, service string) (answer edge.LookupResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	conn, err := a.pool.get(ctx, address)
	if err != nil {
		return answer, err
	}
	target := "http://" + address + edge.PathLookup + "?service=" + url.QueryEscape(service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, err
	}
	resp, err := conn.RoundTrip(req)
	if err != nil {
		conn.Close()
		return answer, err
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	resp.Body.Close()
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("look-up at %s: status %s", address, resp.Status)
	}
	a.pool.put(address, conn)
	return answer, err
}

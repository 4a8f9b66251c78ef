package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"masticturn/internal/customer"
	"masticturn/internal/outcome"
)

// keysRefusedRetryAfter is the Retry-After while API keys can't be checked here; other VMs may be able
// to check them.
const keysRefusedRetryAfter = 100 * time.Millisecond

// keysAreCurrent reports whether API keys are accepted. It must be called before the document is loaded.
func (h *Handler) keysAreCurrent() bool {
	return h.deps.KeyGuard == nil || h.deps.KeyGuard.KeysUsable()
}

// identifyCustomer finds the customer of the request by its API key and applies the customer's class
// and regions to the match.
func (x *exchange) identifyCustomer() *outcome.Error {
	directory := x.snap.Customers
	if !directory.KeysRequired() || x.match.Rule == nil || x.match.Rule.Public {
		return nil
	}
	if !x.keysCurrent {
		err := notRunError(outcome.StepIdentify, http.StatusServiceUnavailable, "the document is too old to accept keys")
		err.RetryAfter = keysRefusedRetryAfter
		return err
	}
	c := directory.ByKey(x.customerKey())
	if c == nil {
		return notRunError(outcome.StepIdentify, http.StatusUnauthorized, "a valid key is required here")
	}
	x.customer = c
	var ok bool
	if x.match, ok = x.snap.ForCustomer(x.match, c); !ok {
		err := notRunError(outcome.StepIdentify, http.StatusServiceUnavailable, "no region is allowed by both route and customer")
		err.RetryAfter = time.Second
		return err
	}
	return nil
}

// checkRateLimit takes one request from the customer's rate limit.
func (x *exchange) checkRateLimit() *outcome.Error {
	if x.customer == nil || x.h.deps.Limiter == nil {
		return nil
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, errDeadline)
	defer cancel()
	refusal := x.h.deps.Limiter.Take(ctx, x.customer)
	if refusal == nil {
		return nil
	}
	err := notRunError(outcome.StepLimit, http.StatusTooManyRequests, "the customer's rate limit is reached")
	if !refusal.OverLimit {
		err = notRunError(outcome.StepLimit, http.StatusServiceUnavailable, "the customer's rate limit can't be checked here now")
	}
	err.RetryAfter = refusal.RetryAfter
	return err
}

// customerKey returns the request's API key; "" if there is none, or more than one.
func (x *exchange) customerKey() string {
	keys := x.r.Header[x.h.deps.Dialect.CustomerKey]
	if len(keys) != 1 {
		return ""
	}
	return keys[0]
}

// customerName returns the name of the request's customer; "" if it has none.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// trailerFilter removes internal headers from a caller's trailer at the end of the body. Trailers arrive
// after the head of the outgoing request was built.
type trailerFilter struct {
	io.ReadCloser
	trailer  http.Header
	internal func(name string) bool
}

// Read implements io.Reader.
func (f *trailerFilter) Read(p []byte) (int, error) {
	n, err := f.ReadCloser.Read(p)
	if err == io.EOF {
		f.strip()
	}
	return n, err
}

func (f *trailerFilter) strip() {
	for name := range f.trailer {
		if f.internal(name) {
			delete(f.trailer, name)
		}
	}
}

var _ io.ReadCloser = (*trailerFilter)(nil)

// maxCustomerSeries is the number of customers with metrics of their own. All others share a label.
const maxCustomerSeries = 256

// otherCustomers is the label shared by customers without metrics of their own.
const otherCustomers = "(other)"

// customerLabel returns the metric label of a customer.
func (c *seriesCache) customerLabel(cust *customer.Customer) string {
	if cust == nil {
		return ""
	}
	if _, ok := c.customerLabels.Load(cust.Name); ok {
		return cust.Name
	}
	if c.customerCount.Add(1) > maxCustomerSeries {
		c.customerCount.Add(-1)
		return otherCustomers
	}
	if _, loaded := c.customerLabels.LoadOrStore(cust.Name, true); loaded {
		c.customerCount.Add(-1)
	}
	return cust.Name
}

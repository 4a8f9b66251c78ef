package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"masticturn/internal/customer"
	"masticturn/internal/outcome"
)

// keysRefusedRetryAfter is the Retry-After while keys can't be checked here. Other VMs may be able to.
const keysRefusedRetryAfter = 100 * time.Millisecond

// keysAreCurrent reports whether keys may be used. It must be called before the document is loaded.
func (h *Handler) keysAreCurrent() bool {
	return h.deps.KeyGuard == nil || h.deps.KeyGuard.KeysUsable()
}

// identify finds the customer of the request, whose class and regions bind besides the rule's.
func (x *exchange) identify() *outcome.Error {
	directory := x.snap.Customers
	if !directory.KeysRequired() || x.match.Rule == nil || x.match.Rule.Public {
		return nil
	}
	if !x.keysCurrent {
		err := refuse(outcome.StepIdentify, http.StatusServiceUnavailable, "the document is too old to accept keys")
		err.RetryAfter = keysRefusedRetryAfter
		return err
	}
	c := directory.ByKey(x.customerKey())
	if c == nil {
		return refuse(outcome.StepIdentify, http.StatusUnauthorized, "a valid key is required here")
	}
	x.customer = c
	var ok bool
	if x.match, ok = x.snap.ForCustomer(x.match, c); !ok {
		err := refuse(outcome.StepIdentify, http.StatusServiceUnavailable, "no region is allowed by both route and customer")
		err.RetryAfter = time.Second
		return err
	}
	return nil
}

// takeLimit takes the request from its customer's rate limit.
func (x *exchange) takeLimit() *outcome.Error {
	if x.customer == nil || x.h.deps.Limiter == nil {
		return nil
	}
	ctx, cancel := context.WithDeadlineCause(x.r.Context(), x.deadline, errDeadline)
	defer cancel()
	refusal := x.h.deps.Limiter.Take(ctx, x.customer)
	if refusal == nil {
		return nil
	}
	err := refuse(outcome.StepLimit, http.StatusTooManyRequests, "the customer's rate limit is reached")
	if !refusal.OverLimit {
		err = refuse(outcome.StepLimit, http.StatusServiceUnavailable, "the customer's rate limit can't be checked here now")
	}
	err.RetryAfter = refusal.RetryAfter
	return err
}

// customerKey returns the request's key; "" if there is none, or more than one.
func (x *exchange) customerKey() string {
	keys := x.r.Header[x.h.deps.Dialect.CustomerKey]
	if len(keys) != 1 {
		return ""
	}
	return keys[0]
}

// trailerFilter removes internal headers from a caller's trailer when the body ends, as they arrive
// after the request's head was built.
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

// maxCustomerSeries bounds the customers with metrics of their own; others share one.
const maxCustomerSeries = 256

// otherCustomers is the label of customers without metrics of their own.
const otherCustomers = "(other)"

// label returns the name of a customer in metrics.
func (c *seriesCache) label(one *customer.Customer) string {
	if one == nil {
		return ""
	}
	if _, ok := c.customers.Load(one.Name); ok {
		return one.Name
	}
	if c.customerCount.Add(1) > maxCustomerSeries {
		c.customerCount.Add(-1)
		return otherCustomers
	}
	if _, loaded := c.customers.LoadOrStore(one.Name, true); loaded {
		c.customerCount.Add(-1)
	}
	return one.Name
}

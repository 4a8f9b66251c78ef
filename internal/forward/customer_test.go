package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/customer"
	"masticturn/internal/ratelimit"
)

// fakeKeyGuard is a KeyGuard with a fixed answer.
type fakeKeyGuard bool

func (g fakeKeyGuard) KeysUsable() bool { return bool(g) }

// fakeLimiter returns the same refusal for all requests; nil allows them.
type fakeLimiter struct{ refusal *ratelimit.Refusal }

func (l fakeLimiter) Take(context.Context, *customer.Customer) *ratelimit.Refusal { return l.refusal }

// customerDocument requires a customer for "/svc/" but not for "/open/".
func customerDocument(target string) *config.Document {
	doc := testDocument(target)
	doc.Classes = append(doc.Classes, config.Class{Name: "gold"})
	parts := []config.Part{{Service: "svc", Weight: 1}}
	doc.Hosts = []config.Host{{Name: "127.0.0.1", Rules: []config.Rule{
		{Name: "closed", PathPrefix: "/svc/", Parts: parts, Class: "fast", AllowedRegions: []string{"r1"}},
		{Name: "open", PathPrefix: "/open/", Parts: parts, Class: "fast", Public: true},
	}}}
	return doc
}

// testCustomers returns "acme" and "abroad", which is allowed in other regions only.
func testCustomers() *customer.Directory {
	return customer.NewDirectory([]customer.Customer{
		{Name: "acme", Keys: []customer.KeyDigest{customer.DigestOf("key-a")}, Class: "gold"},
		{Name: "abroad", Keys: []customer.KeyDigest{customer.DigestOf("key-b")}, AllowedRegions: []string{"r2"}},
	})
}

// newCustomerProxy returns a proxy with customers and its log. got returns the headers and trailers of
// the next request that the target has received; nil if there is none.
func newCustomerProxy(t *testing.T) (b *testProxy, log *syncBuffer, got func() http.Header) {
	received := make(chan http.Header, 16)
	target := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		header := r.Header.Clone()
		for name, values := range r.Trailer {
			header["Trailer-"+name] = values
		}
		received <- header
		w.Header().Set("Their-Id", r.Header.Get("Their-Id"))
		_, _ = io.WriteString(w, "ok")
	})
	log = &syncBuffer{}
	b = newTestProxy(t, customerDocument(target), nil, newTestLogger(log))
	b.handler.deps.Config.Current().Customers = testCustomers()
	d := foreignDialect()
	d.CustomerKey, d.TargetCustomer = "Their-Key", "Their-Customer"
	d.Internal = func(name string) bool { return name == "Their-Key" || name == "Their-Customer" }
	b.handler.deps.Dialect = d
	return b, log, func() http.Header {
		select {
		case h := <-received:
			return h
		default:
			return nil
		}
	}
}

func TestAPIKeyIdentifiesCustomer(t *testing.T) {
	tests := map[string]struct {
		path     string
		header   []string
		status   int
		customer string // name sent to the target
	}{
		"a key":                           {"/svc/a", []string{"Their-Key", "key-a"}, 200, "acme"},
		"in upper case":                   {"/svc/a", []string{"THEIR-KEY", "key-a"}, 200, "acme"},
		"a forged name":                   {"/svc/a", []string{"Their-Key", "key-a", "their-customer", "other"}, 200, "acme"},
		"no key":                          {"/svc/a", nil, 401, ""},
		"an unknown key":                  {"/svc/a", []string{"Their-Key", "key-x"}, 401, ""},
		"an empty key":                    {"/svc/a", []string{"Their-Key", " "}, 401, ""},
		"no region in common":             {"/svc/a", []string{"Their-Key", "key-b"}, 503, ""},
		"public":                          {"/open/a", nil, 200, ""},
		"public with a key":               {"/open/a", []string{"Their-Key", "key-a"}, 200, ""},
		"public with a forged name":       {"/open/a", []string{"Their-Customer", "acme"}, 200, ""},
		"public with an unknown key":      {"/open/a", []string{"Their-Key", "key-x"}, 200, ""},
		"no route and no key":             {"/none/", nil, 404, ""},
		"listed in the Connection header": {"/svc/a", []string{"Their-Key", "key-a", "Connection", "Their-Customer"}, 200, "acme"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b, log, got := newCustomerProxy(t)
			header := append([]string{"Their-Id", "id-1"}, tt.header...)
			resp, _, err := b.call(t, "GET", tt.path, nil, header...)
			if err != nil || resp.StatusCode != tt.status {
				t.Fatalf("status %d, %v; want %d", resp.StatusCode, err, tt.status)
			}
			received := got()
			if (received != nil) != (tt.status == 200) {
				t.Fatalf("the target got %v", received)
			}
			if v := received["Their-Key"]; v != nil {
				t.Error("the target got the key")
			}
			if v := strings.Join(received["Their-Customer"], ","); v != tt.customer {
				t.Errorf("the target got customer %q, want %q", v, tt.customer)
			}
			if strings.Contains(log.String(), "key-") {
				t.Error("a key is in the log")
			}
		})
	}
}

func TestTwoAPIKeysAreRejected(t *testing.T) {
	b, _, got := newCustomerProxy(t)
	req, _ := http.NewRequest("GET", b.URL+"/svc/a", nil)
	req.Header["Their-Key"] = []string{"key-a", "key-b"}
	resp, err := b.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 401 || got() != nil {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Trailers arrive after the head was sent to the target, so they are filtered
// separately.
func TestCallerTrailersCannotSetCustomer(t *testing.T) {
	b, _, got := newCustomerProxy(t)
	req, _ := http.NewRequest("POST", b.URL+"/svc/a", io.NopCloser(strings.NewReader(strings.Repeat("x", 200<<10))))
	req.Header.Set("Their-Id", "id-1")
	req.Header.Set("Their-Key", "key-a")
	req.Trailer = http.Header{"Their-Customer": {"other"}, "Their-Key": {"key-a"}, "Other": {"kept"}}
	resp, err := b.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	received := got()
	if received["Trailer-Their-Customer"] != nil || received["Trailer-Their-Key"] != nil || received["Trailer-Other"] == nil {
		t.Errorf("the target got %v", received)
	}
}

func TestKeysOfAnOldDocumentAreRefusedAsNotRun(t *testing.T) {
	b, _, got := newCustomerProxy(t)
	b.handler.deps.KeyGuard = fakeKeyGuard(false)
	for _, key := range []string{"key-a", "key-x"} {
		resp, _, _ := b.call(t, "POST", "/svc/a", strings.NewReader("x"), "Their-Id", "id-1", "Their-Key", key)
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || got() != nil {
			t.Errorf("key %s: status %d, Retry-After %q", key, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
	if resp, _, _ := b.call(t, "GET", "/open/a", nil, "Their-Id", "id-1"); resp.StatusCode != 200 {
		t.Errorf("a public route: status %d", resp.StatusCode)
	}
}

func TestRequestsBeyondTheLimitAreRefused(t *testing.T) {
	for _, tt := range []struct {
		refusal *ratelimit.Refusal
		status  int
		after   string
	}{
		{&ratelimit.Refusal{OverLimit: true, RetryAfter: 250 * time.Millisecond}, 429, "0.250"},
		{&ratelimit.Refusal{RetryAfter: 200 * time.Millisecond}, 503, "0.200"},
		{nil, 200, ""},
	} {
		b, _, got := newCustomerProxy(t)
		b.handler.deps.Limiter = fakeLimiter{tt.refusal}
		resp, _, _ := b.call(t, "POST", "/svc/a", strings.NewReader("x"), "Their-Id", "id-1", "Their-Key", "key-a")
		if resp.StatusCode != tt.status || resp.Header.Get("Retry-After") != tt.after || (got() != nil) != (tt.status == 200) {
			t.Errorf("status %d, Retry-After %q; want %d, %q", resp.StatusCode, resp.Header.Get("Retry-After"), tt.status, tt.after)
		}
	}
}

// The digest of the head contains the customer's name, not its API key.
func TestHeadDigestDependsOnCustomer(t *testing.T) {
	b, _, _ := newCustomerProxy(t)
	digestOf := func(c *customer.Customer, key string) string {
		r, _ := http.NewRequest("GET", "http://h/svc/a", nil)
		r.Header.Set("Their-Key", key)
		x := exchange{h: b.handler, r: r, customer: c}
		return x.computeHeadDigest().Key().String()
	}
	a, other := &customer.Customer{Name: "a"}, &customer.Customer{Name: "b"}
	if digestOf(a, "k1") == digestOf(other, "k1") || digestOf(a, "k1") != digestOf(a, "k2") {
		t.Error("the digest does not depend on the customer alone")
	}
}

func TestMetricsOfCustomersAreBounded(t *testing.T) {
	b, _, _ := newCustomerProxy(t)
	series := b.handler.series
	for i := range 3 * maxCustomerSeries {
		series.customerLabel(&customer.Customer{Name: strings.Repeat("c", i+1)})
	}
	if got := series.customerLabel(&customer.Customer{Name: "new"}); got != otherCustomers {
		t.Errorf("label %q", got)
	}
	if got := series.customerLabel(&customer.Customer{Name: "c"}); got != "c" {
		t.Errorf("label %q of the first customer", got)
	}
}

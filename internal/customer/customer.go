// Package customer identifies callers by their API keys and holds what the operators' document
// grants to each customer.
package customer

import (
	"crypto/rand"
	"crypto/sha256"
	"slices"
)

// KeyDigest stands for an API key. It is salted by the process, so that it is of no use elsewhere.
type KeyDigest [sha256.Size]byte

// salt is drawn once per process.
var salt = newSalt()

func newSalt() (s [sha256.Size]byte) {
	_, _ = rand.Read(s[:]) // never fails
	return s
}

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	h := sha256.New()
	_, _ = h.Write(salt[:])
	_, _ = h.Write([]byte(key))
	var d KeyDigest
	h.Sum(d[:0])
	return d
}

// redacted replaces keys and their digests in texts.
const redacted = "(redacted)"

// String hides the digest.
func (KeyDigest) String() string { return redacted }

// GoString hides the digest.
func (KeyDigest) GoString() string { return redacted }

// MarshalText hides the digest.
func (KeyDigest) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Customer is one customer of the document.
type Customer struct {
	Name           string
	Keys           []KeyDigest `json:"-"`
	Class          string      // class of its requests; empty: the rule's
	AllowedRegions []string    // regions its requests may run in; empty: all
	Limit          Limit
}

// Limit is a customer's rate limit over all VMs.
type Limit struct {
	PerSecond float64 // requests/s; 0: no limit
	Burst     float64 // requests beyond the rate
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Directory finds customers by their keys. It is immutable.
type Directory struct {
	customers []Customer
	byKey     map[KeyDigest]*Customer
	byName    map[string]*Customer
	limited   bool
}

// NewDirectory indexes customers that passed Check.
func NewDirectory(customers []Customer) *Directory {
	d := &Directory{
		customers: customers,
		byKey:     make(map[KeyDigest]*Customer),
		byName:    make(map[string]*Customer, len(customers)),
	}
	for i := range customers {
		c := &customers[i]
		d.byName[c.Name] = c
		d.limited = d.limited || c.Limit.Limited()
		for _, key := range c.Keys {
			d.byKey[key] = c
		}
	}
	return d
}

// Required reports whether requests need a key, which is so once there are customers.
func (d *Directory) Required() bool { return d != nil && len(d.customers) > 0 }

// Limited reports whether any customer has a rate limit.
func (d *Directory) Limited() bool { return d != nil && d.limited }

// ByKey returns the customer that holds a key, or nil.
func (d *Directory) ByKey(key string) *Customer {
	if key == "" {
		return nil
	}
	return d.byKey[DigestOf(key)]
}

// ByName returns a customer, or nil.
func (d *Directory) ByName(name string) *Customer {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// All returns the customers in the document's order.
func (d *Directory) All() []Customer {
	if d == nil {
		return nil
	}
	return d.customers
}

// CommonRegions returns the regions that two lists of allowed regions have in common, where an
// empty list allows all. The result is nil if all are allowed; ok is false if none is.
func CommonRegions(a, b []string) (common []string, ok bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common, len(common) > 0
}

// Package customer identifies customers by their API keys and holds the settings that the
// configuration document defines for each of them.
package customer

import (
	"crypto/rand"
	"crypto/sha256"
	"slices"
)

// KeyDigest is a salted hash of an API key. The salt differs per process, so that a leaked digest
// is of no use elsewhere.
type KeyDigest [sha256.Size]byte

// salt is generated once per process.
var salt = newSalt()

func newSalt() (s [sha256.Size]byte) {
	_, _ = rand.Read(s[:]) // never returns an error
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

// redacted is printed in place of keys and their digests.
const redacted = "(redacted)"

// String hides the digest.
func (KeyDigest) String() string { return redacted }

// GoString hides the digest.
func (KeyDigest) GoString() string { return redacted }

// MarshalText hides the digest.
func (KeyDigest) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// Customer holds the settings of one customer.
type Customer struct {
	Name           string
	Keys           []KeyDigest `json:"-"`
	Class          string      // request class; empty: the class of the matching rule
	AllowedRegions []string    // regions in which its requests may run; empty: all
	Limit          Limit
}

// Limit is a customer's rate limit across all VMs.
type Limit struct {
	PerSecond float64 // requests/s; 0: no limit
	Burst     float64 // requests allowed beyond the rate
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// Directory looks up customers by key or name. It is immutable. The methods other than ByKey
// accept a nil Directory, which has no customers.
type Directory struct {
	customers []Customer
	byKey     map[KeyDigest]*Customer
	byName    map[string]*Customer
	limited   bool
}

// NewDirectory indexes customers, which must have passed Check.
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

// KeysRequired reports whether requests need a key, which is the case if any customer exists.
func (d *Directory) KeysRequired() bool { return d != nil && len(d.customers) > 0 }

// Limited reports whether any customer has a rate limit.
func (d *Directory) Limited() bool { return d != nil && d.limited }

// ByKey returns the customer that owns a key, or nil if there is none or the key is empty.
func (d *Directory) ByKey(key string) *Customer {
	if key == "" {
		return nil
	}
	return d.byKey[DigestOf(key)]
}

// ByName returns the customer with a name, or nil.
func (d *Directory) ByName(name string) *Customer {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// All returns the customers in document order. The slice must not be modified.
func (d *Directory) All() []Customer {
	if d == nil {
		return nil
	}
	return d.customers
}

// CommonRegions returns the intersection of two lists of allowed regions, where an empty list
// allows all regions. The result is empty with ok true if all regions are allowed; ok is false if
// none is.
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

package customer

import (
	"fmt"
	"math"
	"strconv"
)

// Limits on the configured customers.
const (
	maxCustomers = 10_000
	maxNameBytes = 128
	maxPerSecond = 1e9 // also bounds bursts
)

// InvalidField describes a field with an invalid value. It never contains keys.
type InvalidField struct {
	Field   string // path relative to the list of customers, such as "1.keys"
	Got     string // the value, or a placeholder for keys
	Allowed string // description of valid values
}

// Check validates a list of customers and returns all invalid fields.
func Check(customers []Customer) []InvalidField {
	c := checker{names: make(map[string]bool), keyOwners: make(map[KeyDigest]string)}
	if n := len(customers); n > maxCustomers {
		c.report("", strconv.Itoa(n), fmt.Sprintf("at most %d customers", maxCustomers))
	}
	for i := range customers {
		c.checkCustomer(i, &customers[i])
	}
	return c.invalid
}

type checker struct {
	names     map[string]bool
	keyOwners map[KeyDigest]string // customer name by key
	invalid   []InvalidField
}

func (c *checker) report(field, got, allowed string) {
	c.invalid = append(c.invalid, InvalidField{field, got, allowed})
}

func (c *checker) checkCustomer(i int, cust *Customer) {
	prefix := strconv.Itoa(i) + "."
	if !validName(cust.Name) || c.names[cust.Name] {
		c.report(prefix+"name", cust.Name[:min(len(cust.Name), maxNameBytes)],
			fmt.Sprintf("a unique name of 1 to %d printable ASCII characters without spaces", maxNameBytes))
	}
	c.names[cust.Name] = true
	c.checkNumber(prefix+"rate", cust.Limit.PerSecond)
	c.checkNumber(prefix+"burst", cust.Limit.Burst)
	empty := DigestOf("")
	for _, key := range cust.Keys {
		owner, taken := c.keyOwners[key]
		if key == empty || taken && owner != cust.Name {
			c.report(prefix+"keys", redacted, "non-empty keys that belong to no other customer")
		}
		c.keyOwners[key] = cust.Name
	}
}

func (c *checker) checkNumber(field string, n float64) {
	if n < 0 || n > maxPerSecond || math.IsNaN(n) {
		c.report(field, strconv.FormatFloat(n, 'g', -1, 64), fmt.Sprintf("0 to %g", maxPerSecond))
	}
}

// validName reports whether a name can be sent as a header value.
func validName(name string) bool {
	for _, b := range []byte(name) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

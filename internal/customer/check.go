package customer

import (
	"fmt"
	"math"
	"strconv"
)

// Bounds on customers.
const (
	maxCustomers = 10_000
	maxNameBytes = 128
	maxPerSecond = 1e9
)

// Fault is an invalid field. Keys are never part of it.
type Fault struct {
	Field   string // path below the list of customers
	Got     string
	Allowed string
}

// Check returns all faults of a list of customers.
func Check(customers []Customer) []Fault {
	c := checker{names: make(map[string]bool), holders: make(map[KeyDigest]string)}
	if n := len(customers); n > maxCustomers {
		c.report("", strconv.Itoa(n), fmt.Sprintf("at most %d customers", maxCustomers))
	}
	for i := range customers {
		c.check(i, &customers[i])
	}
	return c.faults
}

type checker struct {
	names   map[string]bool
	holders map[KeyDigest]string // customer by key
	faults  []Fault
}

func (c *checker) report(field, got, allowed string) {
	c.faults = append(c.faults, Fault{field, got, allowed})
}

func (c *checker) check(i int, one *Customer) {
	at := strconv.Itoa(i) + "."
	if !validName(one.Name) || c.names[one.Name] {
		c.report(at+"name", one.Name[:min(len(one.Name), maxNameBytes)],
			fmt.Sprintf("1 to %d printable characters that no other customer has as its name", maxNameBytes))
	}
	c.names[one.Name] = true
	c.number(at+"rate", one.Limit.PerSecond)
	c.number(at+"burst", one.Limit.Burst)
	empty := DigestOf("")
	for _, key := range one.Keys {
		holder, held := c.holders[key]
		if key == empty || held && holder != one.Name {
			c.report(at+"keys", redacted, "keys that are not empty and that no other customer holds")
		}
		c.holders[key] = one.Name
	}
}

func (c *checker) number(field string, n float64) {
	if n < 0 || n > maxPerSecond || math.IsNaN(n) {
		c.report(field, strconv.FormatFloat(n, 'g', -1, 64), fmt.Sprintf("0 to %g", maxPerSecond))
	}
}

// validName reports whether a name can be sent as a header.
func validName(name string) bool {
	for _, b := range []byte(name) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

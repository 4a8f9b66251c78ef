// Package lookup tells callers which VMs to use.
package lookup

import "net/netip"

// Place is the location of a caller or a VM.
type Place struct {
	Region string
	Zone   string // nearest availability zone; may be empty
}

// Locator maps the address of a caller to its place: that of the longest
// matching prefix among the document's client blocks, or this VM's own place if
// no block matches.
type Locator interface {
	Locate(addr netip.Addr) Place
}

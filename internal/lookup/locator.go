// Package lookup answers which VMs a caller shall use.
package lookup

import "net/netip"

// Place is where a caller is.
type Place struct {
	Region string
	Zone   string // availability zone nearest to it; may be empty
}

// Locator places callers by their address: longest prefix of the document's
// client blocks; this VM's own place when no block matches.
type Locator interface {
	Locate(addr netip.Addr) Place
}

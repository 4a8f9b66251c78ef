// Package discovery maintains the catalog of this VM: the document, the targets and the
// evacuated availability zones. It mirrors kinds of the platform's store, read by few VMs
// and relayed among the others, and publishes immutable views.
package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"masticturn/internal/config"
	"masticturn/internal/customer"
	"masticturn/internal/platform"
)

// Kinds names what is mirrored.
type Kinds struct {
	Document     platform.Kind
	DocumentName string        // of the object that holds the document
	Evacuations  platform.Kind // named by availability zone
	Targets      platform.Kind // named by instance
}

// Target is a target's own entry.
type Target struct {
	Instance string // the id under which it registers
	Born     int64  // start, in Unix milliseconds; 0: unknown
	Sequence int64  // of its reports since the start
	Service  string
	Address  string
	Zone     string // availability zone
	Slots    int
	Leaving  bool
	Cold     time.Duration // remaining cold time when the entry was written
}

// A start is appended to names in base 36, which keeps the names in messages short.
const (
	startBase      = 36
	startSeparator = "@"
)

// Name identifies one start of the target. State of targets is kept by it, as a new start
// shares nothing with the one before.
func (t *Target) Name() string {
	if t.Born == 0 {
		return t.Instance
	}
	return t.Instance + startSeparator + strconv.FormatInt(t.Born, startBase)
}

// Limits of entries.
const (
	maxSlots         = 1 << 16
	maxColdTime      = time.Hour
	maxInstanceBytes = 128 // bytes of an id
)

// check returns the first invalid field as a *FieldError, or nil. Places maps the
// deployment's availability zones to regions.
func (t *Target) check(places map[string]string) error {
	if !validInstance(t.Instance) {
		return &FieldError{"name", t.Instance[:min(len(t.Instance), maxInstanceBytes)], fmt.Sprintf("1 to %d printable characters without space and %s", maxInstanceBytes, startSeparator)}
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		return &FieldError{"slots", strconv.Itoa(t.Slots), fmt.Sprintf("1 to %d", maxSlots)}
	}
	if t.Cold < 0 || t.Cold > maxColdTime {
		return &FieldError{"cold time", t.Cold.String(), "0 to " + maxColdTime.String()}
	}
	if t.Born < 0 || t.Sequence < 0 {
		return &FieldError{"start", fmt.Sprintf("%d, report %d", t.Born, t.Sequence), "numbers that are not negative"}
	}
	if places[t.Zone] == "" {
		return &FieldError{"zone", t.Zone, "an availability zone of the deployment"}
	}
	if address, err := netip.ParseAddrPort(t.Address); err != nil || address.Port() == 0 {
		return &FieldError{"address", t.Address, "an IP address with a port"}
	}
	return nil
}

// validInstance reports whether an id is valid in headers and in Name.
func validInstance(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || string(c) == startSeparator {
			return false
		}
	}
	return len(id) >= 1 && len(id) <= maxInstanceBytes
}

// FieldError is an invalid field of a stored object.
type FieldError struct {
	Field   string // path within the object; "" is the object itself
	Got     string // the value, or the beginning of a long one
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q: got %q; allowed is %s", e.Field, e.Got, e.Allowed)
}

// ErrOmitted is returned for objects whose content was too long to be kept.
var ErrOmitted = errors.New("the entry is too long")

// Content is the content of the document's object.
type Content struct {
	Generation config.Generation
	Document   *config.Document
	Customers  *customer.Directory // nil: there are none
}

// Decoder decodes objects of the store, which anyone may have written. Errors describe
// invalid content.
type Decoder interface {
	Kinds() Kinds
	Document(platform.Object) (*Content, error)
	Target(platform.Object) (Target, error)
}

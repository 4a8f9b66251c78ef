// Package discovery maintains the catalog of this VM: the document, the targets and the
// evacuated availability zones. It mirrors objects of the platform's store, which a few VMs read
// and relay to the others, and publishes immutable views.
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

// Kinds names the kinds of objects that are mirrored.
type Kinds struct {
	Document     platform.Kind
	DocumentName string        // name of the object that holds the document
	Evacuations  platform.Kind // objects are named by availability zone
	Targets      platform.Kind // objects are named by instance
}

// Target is the entry that a target writes about itself.
type Target struct {
	Instance string // id under which the target registers
	StartMS  int64  // start time in Unix milliseconds; 0: unknown
	Sequence int64  // number of the report since the start
	Service  string
	Address  string
	Zone     string // availability zone
	Slots    int
	Leaving  bool
	ColdTime time.Duration // remaining cold time when the entry was written
}

// The start time is appended to names in base 36, to keep names in messages short.
const (
	startBase      = 36
	startSeparator = "@"
)

// Name identifies one start of the target. State about targets is keyed by this name, because a
// restarted target shares no state with its previous start.
func (t *Target) Name() string {
	if t.StartMS == 0 {
		return t.Instance
	}
	return t.Instance + startSeparator + strconv.FormatInt(t.StartMS, startBase)
}

// Limits of entries.
const (
	maxSlots         = 1 << 16
	maxColdTime      = time.Hour
	maxInstanceBytes = 128 // length of an id
)

// validate returns the first invalid field as a *FieldError, or nil. regionByZone maps the
// deployment's availability zones to their regions.
func (t *Target) validate(regionByZone map[string]string) error {
	if !isValidInstance(t.Instance) {
		return &FieldError{"name", t.Instance[:min(len(t.Instance), maxInstanceBytes)], fmt.Sprintf("1 to %d printable ASCII characters other than space and %s", maxInstanceBytes, startSeparator)}
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		return &FieldError{"slots", strconv.Itoa(t.Slots), fmt.Sprintf("1 to %d", maxSlots)}
	}
	if t.ColdTime < 0 || t.ColdTime > maxColdTime {
		return &FieldError{"cold time", t.ColdTime.String(), "0 to " + maxColdTime.String()}
	}
	if t.StartMS < 0 || t.Sequence < 0 {
		return &FieldError{"start", fmt.Sprintf("%d, report %d", t.StartMS, t.Sequence), "non-negative numbers"}
	}
	if regionByZone[t.Zone] == "" {
		return &FieldError{"zone", t.Zone, "an availability zone of the deployment"}
	}
	if address, err := netip.ParseAddrPort(t.Address); err != nil || address.Port() == 0 {
		return &FieldError{"address", t.Address, "an IP address with a port"}
	}
	return nil
}

// isValidInstance reports whether an id can be used in headers and in Name.
func isValidInstance(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || string(c) == startSeparator {
			return false
		}
	}
	return len(id) >= 1 && len(id) <= maxInstanceBytes
}

// FieldError reports an invalid field of a stored object.
type FieldError struct {
	Field   string // path within the object; "" for the object itself
	Got     string // the value, truncated if long
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q: got %q; allowed is %s", e.Field, e.Got, e.Allowed)
}

// ErrContentTooLarge is returned for objects whose content was too large to be kept.
var ErrContentTooLarge = errors.New("the object's content is too large")

// DecodedDocument is the decoded object that holds the document.
type DecodedDocument struct {
	Generation config.Generation
	Document   *config.Document
	Customers  *customer.Directory // nil if there are no customers
}

// Decoder decodes objects of the store. Their content is untrusted. Errors describe invalid
// content.
type Decoder interface {
	Kinds() Kinds
	Document(platform.Object) (*DecodedDocument, error)
	Target(platform.Object) (Target, error)
}

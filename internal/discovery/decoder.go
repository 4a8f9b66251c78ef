// Package discovery keeps what this VM believes of the fleet's surroundings:
// the document, the targets that come and go, and the availability zones that
// are evacuated. It mirrors kinds of the platform's store and puts what it
// finds in force as immutable views.
package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"masticturn/internal/config"
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
	Born     int64  // Unix millisecond of its start; 0: it does not tell
	Sequence int64  // counts its reports since its start
	Service  string
	Address  string
	Zone     string // availability zone
	Slots    int
	Leaving  bool
	Cold     time.Duration // how much longer it stays cold, when it wrote the entry
}

// startBase is the base in which the time of a start is written in names: names
// go to other VMs twice a second, and 36 makes them five bytes shorter than 10.
const (
	startBase      = 36
	startSeparator = "@"
)

// Name names one start of the target. A target that starts again under its id
// holds and knows nothing of before, so that all that is kept of targets is
// kept by this name.
func (t *Target) Name() string {
	if t.Born == 0 {
		return t.Instance
	}
	return t.Instance + startSeparator + strconv.FormatInt(t.Born, startBase)
}

// Ranges of what entries may hold; they are far wider than any target's.
const (
	slotsMost    = 1 << 16
	coldMost     = time.Hour
	instanceMost = 128 // bytes of an id
)

// check returns what in an entry can't be, a *FieldError, or nil. Places maps
// the availability zones of the deployment to their regions.
func (t *Target) check(places map[string]string) error {
	if !validInstance(t.Instance) {
		return &FieldError{"name", t.Instance[:min(len(t.Instance), instanceMost)], fmt.Sprintf("1 to %d printable characters without space and %s", instanceMost, startSeparator)}
	}
	if t.Slots < 1 || t.Slots > slotsMost {
		return &FieldError{"slots", strconv.Itoa(t.Slots), fmt.Sprintf("1 to %d", slotsMost)}
	}
	if t.Cold < 0 || t.Cold > coldMost {
		return &FieldError{"cold time", t.Cold.String(), "0 to " + coldMost.String()}
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

// validInstance reports whether an id can go into headers and, with the time of
// a start, into names that are unique.
func validInstance(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || string(c) == startSeparator {
			return false
		}
	}
	return len(id) >= 1 && len(id) <= instanceMost
}

// FieldError is a field of a stored object that can't be what it is.
type FieldError struct {
	Field   string // path within the object; "" is the object itself
	Got     string // the value, or the beginning of a long one
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q: got %q; allowed is %s", e.Field, e.Got, e.Allowed)
}

// ErrOmitted says that an object's content is too long to be kept.
var ErrOmitted = errors.New("the entry is too long")

// Decoder translates objects of the store. Anybody may have written them: an
// error says that an object can't be what its kind holds.
type Decoder interface {
	Kinds() Kinds
	Document(platform.Object) (*config.Document, config.Generation, error)
	Target(platform.Object) (Target, error)
}

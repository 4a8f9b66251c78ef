// Package discovery keeps what this VM believes of the fleet's surroundings:
// the document, the targets that come and go, and the availability zones that
// are evacuated. It mirrors kinds of the platform's store and puts what it
// finds in force as immutable views.
package discovery

import (
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
	Instance string // one start of the target
	Service  string
	Address  string
	Zone     string // availability zone
	Slots    int
	Leaving  bool
	Cold     time.Duration // how much longer it stays cold, when it wrote the entry
}

// Decoder translates objects of the store. An error leaves what is believed
// as it is.
type Decoder interface {
	Kinds() Kinds
	Document(platform.Object) (*config.Document, config.Generation, error)
	Target(platform.Object) (Target, error)
}

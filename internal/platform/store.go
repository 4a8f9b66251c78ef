// Package platform is the interface to the platform's object API: versioned objects with
// conditional updates and watches. It holds the system's only persistent state, and the
// number of calls to it is limited.
package platform

import (
	"context"
	"errors"
	"fmt"
	"strconv"
)

// Kind is a kind of objects.
type Kind string

// Kinds used by the system.
const (
	KindConfig Kind = "masticturn-config" // the operators' document and its history

	// KindConfigChunk holds parts of large documents. It is separate from KindConfig so
	// that watches of KindConfig do not transfer them.
	KindConfigChunk Kind = "masticturn-config-chunk"

	KindClaim   Kind = "masticturn-claim"   // claims of idempotency keys
	KindVM      Kind = "masticturn-vm"      // entries that VMs write about themselves; may be stale
	KindTargets Kind = "masticturn-targets" // the platform's list of targets; may be stale

	KindRoster Kind = "masticturn-roster" // names of the VMs that may be running, by region

	KindLimits Kind = "masticturn-limits" // lease of the VM that grants rate limits

	KindQuarantine Kind = "masticturn-quarantine" // digests of requests that crash targets
)

// Version is the version of an object. It increases with every write to any object in
// the store. Zero means that the object does not exist.
//
// It consists of the store's era and a revision. The era rises each time that the store comes
// back from a copy; revisions then go back and are given out again. A later era is newer, whatever
// the revisions.
type Version uint64

// revisionBits is the number of bits of a revision.
const revisionBits = 40

// NewVersion returns the version of a revision in an era.
func NewVersion(era, revision uint64) Version {
	return Version(era<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns the store's era; 0 if the store names none.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the revision within the era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// String returns era and revision, for logs.
func (v Version) String() string {
	if v.Era() == 0 {
		return strconv.FormatUint(v.Revision(), 10)
	}
	return fmt.Sprintf("%d/%d", v.Era(), v.Revision())
}

// Object is a stored object. Value is at most MaxValueBytes long.
type Object struct {
	Kind    Kind    `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	// Status is the status reported by the object's owner, as JSON. It is nil for the
	// system's own kinds.
	Status []byte `json:"status,omitempty"`
	// Omitted is the size of value and status if they were too long and therefore
	// dropped, and 0 otherwise.
	Omitted int `json:"omitted,omitempty"`
}

// MaxValueBytes is the size limit of the platform for a value.
const MaxValueBytes = 1 << 20

// Event is a change reported by a watch. Deleted objects have a nil value.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the platform's object API. All methods return one of the typed errors below,
// possibly wrapped; use errors.Is to test for them.
type Store interface {
	// Get returns the object, or ErrNotFound. A read may be stale.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind, sorted by name, and the version of the list.
	List(ctx context.Context, kind Kind) ([]Object, Version, error)
	// Create stores a new object. It returns ErrConflict if the name exists.
	Create(ctx context.Context, kind Kind, name string, value []byte) (Version, error)
	// Update replaces the object if it still has version ifVersion, and returns
	// ErrConflict otherwise. A version of an earlier era is a conflict. If the store
	// has begun another era meanwhile, the outcome is ErrUnknownOutcome.
	Update(ctx context.Context, kind Kind, name string, value []byte, ifVersion Version) (Version, error)
	// Delete removes the object if it still has version ifVersion, and returns
	// ErrConflict otherwise.
	Delete(ctx context.Context, kind Kind, name string, ifVersion Version) error
	// Watch waits until an object of the kind changes after version since (0: any), or until
	// the server's timeout. It returns the events, oldest first, and the version from
	// which to continue. A watch counts as one call, however long it waits.
	Watch(ctx context.Context, kind Kind, since Version) ([]Event, Version, error)
	// Era returns the latest era of the store that this client knows; 0: none.
	Era() uint64
	// LearnEra tells the client of an era that the store has named to another VM.
	LearnEra(era uint64)
}

// Typed errors of the object API.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict means that the condition of the write did not hold and nothing was
	// written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable means that the call definitely had no effect: it was refused, shed
	// or over budget, or it was a read that failed.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknownOutcome means that a write was sent but its response was lost. The write
	// may take effect now or later; only reading the object again can tell.
	ErrUnknownOutcome = errors.New("platform: outcome of the write is unknown")
	// ErrCompacted means that the changes since the version of a watch are no longer
	// available. The caller has to list the objects again.
	ErrCompacted = errors.New("platform: changes since that version are no longer available")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
)

// Package platform is the interface to the platform's object API: versioned objects with
// conditional updates and watches. It holds the system's only persistent state, and the
// number of calls to it is limited.
package platform

import (
	"context"
	"errors"
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

	KindLimits Kind = "masticturn-limits" // lease of the VM that grants rate limits

	KindQuarantine Kind = "masticturn-quarantine" // digests of requests that crash targets
)

// Version is the version of an object. It increases with every write to any object in
// the store. Zero means that the object does not exist.
type Version uint64

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
	// ErrConflict otherwise.
	Update(ctx context.Context, kind Kind, name string, value []byte, ifVersion Version) (Version, error)
	// Delete removes the object if it still has version ifVersion, and returns
	// ErrConflict otherwise.
	Delete(ctx context.Context, kind Kind, name string, ifVersion Version) error
	// Watch waits until an object of the kind changes after version since, or until
	// the server's timeout. It returns the events, oldest first, and the version from
	// which to continue. A watch counts as one call, however long it waits.
	Watch(ctx context.Context, kind Kind, since Version) ([]Event, Version, error)
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

// Package platform is the edge to the platform's object API: versioned
// objects with conditional updates and watches. It is the only place where
// something lasts; every call to it counts.
package platform

import (
	"context"
	"errors"
)

// Kind is a kind of objects. The project's own kinds and the platform's list
// of VMs are named here.
type Kind string

// The kinds used by the system.
const (
	KindConfig Kind = "masticturn-config" // the operators' document, its history

	// KindConfigChunk holds parts of large documents, apart from KindConfig so
	// that its watches do not carry them.
	KindConfigChunk Kind = "masticturn-config-chunk"

	KindClaim   Kind = "masticturn-claim"   // claims of idempotency keys
	KindVM      Kind = "masticturn-vm"      // the VMs' own entries, which lag
	KindTargets Kind = "masticturn-targets" // the platform's list of targets, which lags

	KindLimits Kind = "masticturn-limits" // the lease of the granter of rate limits

	KindQuarantine Kind = "masticturn-quarantine" // requests that crash targets, by digest
)

// Version is the version of an object. It rises with each write of any object
// of the platform; zero means that the object does not exist.
type Version uint64

// Object is one stored object. Value is at most MaxValueBytes long.
type Object struct {
	Kind    Kind    `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	// Status is what the object's owner reports of it, as JSON, for kinds of
	// the platform's own; nil for kinds of the system.
	Status []byte `json:"status,omitempty"`
	// Omitted is the size of value and status if they were dropped as too long; 0: complete.
	Omitted int `json:"omitted,omitempty"`
}

// MaxValueBytes is the largest value the platform takes.
const MaxValueBytes = 1 << 20

// Event is one change reported by a watch. Deleted objects have a nil value.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the platform's object API. Every method returns one of the typed
// errors below (test with errors.Is), possibly wrapped.
type Store interface {
	// Get returns the object, or ErrNotFound. A read may be stale.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind, sorted by name, and the version of the list.
	List(ctx context.Context, kind Kind) ([]Object, Version, error)
	// Create stores a new object; ErrConflict when the name exists.
	Create(ctx context.Context, kind Kind, name string, value []byte) (Version, error)
	// Update replaces the object if it still has the version; else ErrConflict.
	Update(ctx context.Context, kind Kind, name string, value []byte, ifVersion Version) (Version, error)
	// Delete removes the object if it still has the version; else ErrConflict.
	Delete(ctx context.Context, kind Kind, name string, ifVersion Version) error
	// Watch waits until objects of the kind changed after since, or until the
	// server's own timeout. It returns the events, oldest first, and the
	// version to wait from next. A waiting watch counts as one call.
	Watch(ctx context.Context, kind Kind, since Version) ([]Event, Version, error)
}

// The typed errors of the platform edge.
var (
	// ErrNotFound: there is no such object.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict: the condition of the write did not hold; nothing was written.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable: the call surely took no effect (refused, shed, over
	// budget, or a read that failed).
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknownOutcome: a write was sent and its answer was lost. It may take
	// effect, now or later; only a re-read shows it.
	ErrUnknownOutcome = errors.New("platform: outcome of the write is unknown")
	// ErrCompacted: the changes since the version of a watch are no longer
	// kept; a new list is required.
	ErrCompacted = errors.New("platform: changes since that version are gone")
	// ErrTooLarge: the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
)

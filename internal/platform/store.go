// Package platform provides access to the platform's object API: versioned
// objects, conditional updates, lists and watches.
package platform

import (
	"context"

	"github.com/zeebo/errs"
)

// Object is a stored value with its version, see NewVersion. The versions of one
// key only increase; versions of different keys are not comparable.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Error classes of the store. Every error of a Store belongs to one of them.
var (
	// ErrConflict means that the current version was not the expected one; the
	// change did not take effect.
	ErrConflict = errs.Class("platform conflict")
	// ErrNotFound means that no object has the key.
	ErrNotFound = errs.Class("platform object not found")
	// ErrUnavailable means that the call was refused or never sent: the change
	// did not take effect.
	ErrUnavailable = errs.Class("platform unavailable")
	// ErrUnknown means that the response was lost: the change may have taken
	// effect, and the caller must read the object to determine the outcome.
	ErrUnknown = errs.Class("platform outcome unknown")
	// ErrTooLarge means that the value is larger than MaxValueBytes; the change
	// did not take effect.
	ErrTooLarge = errs.Class("platform value too large")
)

// Store is the interface of the platform's object store.
type Store interface {
	// Get returns the current object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key has the prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put stores value if the current version equals expected, and returns the
	// new version. If expected is 0, the key must not exist.
	Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	// Delete removes the object if its version equals expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch calls fn for each change under the prefix until ctx ends or the
	// watch breaks. Changes may be skipped or repeated, so they are only hints.
	// Watch does not send the initial state: the caller lists the objects once
	// ready has been called, which happens when the watch is open. A deletion
	// is reported as an object without a value.
	Watch(ctx context.Context, prefix string, ready func(), fn func(Object)) error
}

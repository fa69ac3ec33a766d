// Package platform talks to the platform's object API: versioned objects,
// conditional updates, lists and watches.
package platform

import (
	"context"

	"github.com/zeebo/errs"
)

// Object is a stored value with its version. Versions of one key only grow;
// nothing is assumed of versions across keys.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Error classes of the store. Every error of a Store belongs to one of them.
var (
	// ErrConflict says that the expected version was not the present one; the
	// change did not take effect.
	ErrConflict = errs.Class("platform conflict")
	// ErrNotFound says that no object has the key.
	ErrNotFound = errs.Class("platform object not found")
	// ErrUnavailable says that the call was refused or never sent: the change
	// did not take effect.
	ErrUnavailable = errs.Class("platform unavailable")
	// ErrUnknown says that the answer was lost: the change may have taken
	// effect, and must be settled by reading the object.
	ErrUnknown = errs.Class("platform outcome unknown")
	// ErrTooLarge says that the value is above MaxValueBytes; the change did
	// not take effect.
	ErrTooLarge = errs.Class("platform value too large")
)

// Store is the platform as the rest of the system sees it.
type Store interface {
	// Get returns the present object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key has the prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put stores value if the present version is expected (0: the key must
	// not exist) and returns the new version.
	Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error)
	// Delete removes the object if its version is expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch calls fn for each change under the prefix from now on, until ctx
	// ends or the watch breaks. It may skip and repeat: it is a hint. It sends
	// no initial state; list after it was opened (ready is called then). A
	// deletion is reported as an object without a value.
	Watch(ctx context.Context, prefix string, ready func(), fn func(Object)) error
}

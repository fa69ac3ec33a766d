package config

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"fulmarhinge/internal/contract"
)

// Error classes of a change. An error of the platform keeps its own class.
var (
	// ErrInvalid says that the configuration would not be valid; it wraps an
	// InvalidError.
	ErrInvalid = errs.Class("invalid configuration")
	// ErrConflict says that what was edited has changed since it was read; it
	// wraps a ConflictError. Nothing was changed.
	ErrConflict = errs.Class("configuration conflict")
	// ErrUnknown says that it is not known whether the change was accepted; it
	// wraps an UnknownError.
	ErrUnknown = errs.Class("configuration outcome unknown")
	// ErrCorrupt says that an object of the configuration can't be read.
	ErrCorrupt = errs.Class("corrupt configuration")
)

// InvalidError lists the fields that are wrong.
type InvalidError struct {
	Problems []contract.Problem
}

// Error returns one line a problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ConflictError names the version that an operator edited and the present one.
type ConflictError struct {
	// Item is what was edited, such as "contract padaria-1".
	Item string
	// Expected is the version that the edit was made on, 0 for a new item.
	Expected uint64
	// Present is the version now, 0 if there is no such item.
	Present uint64
}

// Error returns one sentence.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: the edit was made on %s, the present one is %s",
		e.Item, versionText(e.Expected), versionText(e.Present))
}

// versionText names a version; 0 means that there is no item.
func versionText(v uint64) string {
	if v == 0 {
		return "version 0 (none)"
	}
	return fmt.Sprintf("version %d", v)
}

// UnknownError names a change whose outcome could not be settled in time.
type UnknownError struct {
	// Revision is the one that the change has if it was accepted.
	Revision uint64
	ChangeID string
	Cause    error
}

// Error returns one sentence.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("change %s may have been accepted as revision %d: %v", e.ChangeID, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

package config

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"fulmarhinge/internal/contract"
)

// Error classes of configuration changes. Errors of the platform keep their own
// classes.
var (
	// ErrInvalid means that the configuration would be invalid; it wraps an
	// InvalidError.
	ErrInvalid = errs.Class("invalid configuration")
	// ErrConflict means that the edited item or configuration has changed since
	// it was read; it wraps a ConflictError. Nothing was changed.
	ErrConflict = errs.Class("configuration conflict")
	// ErrUnknown means that the change may or may not have been accepted; it
	// wraps an UnknownError.
	ErrUnknown = errs.Class("configuration outcome unknown")
	// ErrCorrupt means that a stored object of the configuration can't be
	// decoded, or that a part is missing.
	ErrCorrupt = errs.Class("corrupt configuration")
)

// InvalidError lists the invalid fields.
type InvalidError struct {
	Problems []contract.Problem
}

// Error returns one line per problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ConflictError holds the version that an edit was based on and the current one.
type ConflictError struct {
	// Item is what was edited, such as "contract padaria-1".
	Item string
	// Expected is the version that the edit was based on; 0 for a new item.
	Expected uint64
	// Current is the current version; 0 if the item does not exist.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: the edit was made on %s, the present one is %s",
		e.Item, versionText(e.Expected), versionText(e.Current))
}

// versionText formats a version; 0 means that the item does not exist.
func versionText(v uint64) string {
	if v == 0 {
		return "version 0 (none)"
	}
	return fmt.Sprintf("version %d", v)
}

// UnknownError identifies a change whose outcome could not be determined.
type UnknownError struct {
	// Revision is the revision of the change if it was accepted.
	Revision uint64
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("change %s may have been accepted as revision %d: %v", e.ChangeID, e.Revision, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Package result defines the numbered result codes of every answer, and what
// each one says about whether the request ran.
package result

import (
	"fmt"
	"time"
)

// Kind says what a caller may conclude about its request.
type Kind int

// The kinds of result.
const (
	// Answered means that the caller has the backend server's whole answer.
	Answered Kind = iota + 1
	// NotRun means that no byte of the request reached a backend server: it
	// is safe to send it again.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the kind as it stands in the Fulmarhinge-Result header.
func (k Kind) String() string {
	switch k {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Code is the number of a result: 1xxx are answered, 2xxx not run, 3xxx
// outcome unknown.
type Code uint32

// DefaultRetryAfter is when to come back where nothing better is known. A lost
// owner's keys are served again within seconds.
const DefaultRetryAfter = time.Second

// Error is a refusal or failure with its code and when to come back.
type Error struct {
	Code Code
	// Message is one short sentence for a person.
	Message string
	// RetryAfter is zero where coming back does not help.
	RetryAfter time.Duration
	// Owner is the present owner's caller address, if known, as a hint.
	Owner string
}

// Error returns the code and the message.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Code, e.Message) }

// Kind returns the kind of the error's code.
func (e *Error) Kind() Kind { return Lookup(e.Code).Kind }

// New returns an error with the table's sentence as its message and, where
// coming back helps, the default time to do so.
func New(c Code) *Error { return Errorf(c, "%s", Lookup(c).Meaning) }

// Errorf returns an error with a message of its own.
func Errorf(c Code, format string, args ...any) *Error {
	e := &Error{Code: c, Message: fmt.Sprintf(format, args...)}
	if Lookup(c).RetryHelps {
		e.RetryAfter = DefaultRetryAfter
	}
	return e
}

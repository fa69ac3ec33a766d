// Package result defines the numeric result codes of responses. Each code tells
// whether the request ran.
package result

import (
	"fmt"
	"time"
)

// Kind tells a caller whether its request ran.
type Kind int

// The kinds of result.
const (
	// Answered means that the caller received the backend server's complete
	// response.
	Answered Kind = iota + 1
	// NotRun means that the request did not run: no byte of it reached a backend
	// server, or the backend server refused it. It is safe to send it again.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the value of the Fulmarhinge-Result header for the kind.
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

// Code is a result code: 1xxx is answered, 2xxx not run and 3xxx outcome unknown.
type Code uint32

// DefaultRetryAfter is the Retry-After used if no better value is known. The
// keys of a lost owner are served again within seconds.
const DefaultRetryAfter = time.Second

// Error is a refusal or failure with its result code and the time to wait before
// a retry.
type Error struct {
	Code Code
	// Message is one short sentence for human readers.
	Message string
	// RetryAfter is the time to wait before a retry; 0 if a retry does not help.
	RetryAfter time.Duration
	// Owner is a hint: the caller address of the current owner, if known.
	Owner string
}

// Error returns the code and the message.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Code, e.Message) }

// Kind returns the kind of the error's code.
func (e *Error) Kind() Kind { return Lookup(e.Code).Kind }

// New returns an error whose message is the meaning of the code. If the code is
// retryable, RetryAfter is the default.
func New(c Code) *Error { return Errorf(c, "%s", Lookup(c).Meaning) }

// Errorf returns an error with a formatted message. If the code is retryable,
// RetryAfter is the default.
func Errorf(c Code, format string, args ...any) *Error {
	e := &Error{Code: c, Message: fmt.Sprintf(format, args...)}
	if Lookup(c).Retryable {
		e.RetryAfter = DefaultRetryAfter
	}
	return e
}

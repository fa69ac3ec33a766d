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

// Code is the number of a result.
type Code uint32

// The codes. 1xxx are answered, 2xxx not run, 3xxx outcome unknown.
const (
	OK Code = 1000
)

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

package harness

import "time"

// Class is the outcome of one attempt as its caller sees it.
type Class string

// The classes of an attempt.
const (
	// Answered is a complete and correct answer of the backend server with
	// status 200.
	Answered Class = "answered"
	// OtherStatus is an answer with a status other than 200 that the router
	// marks as the backend server's.
	OtherStatus Class = "other-status"
	// NotRun is a refusal which guarantees that the request did not run.
	NotRun Class = "not-run"
	// Unknown is a refusal after which the request may have run.
	Unknown Class = "unknown"
	// Incomplete is an attempt whose connection broke, or which timed out,
	// before the answer was complete.
	Incomplete Class = "cut"
	// Unreached is an attempt without a connection to the entry.
	Unreached Class = "unreached"
	// Wrong is an answer that is complete, but whose body is not the expected
	// one.
	Wrong Class = "wrong"
	// NoResultCode is a status other than 200 without a result code.
	NoResultCode Class = "unnumbered"
)

// Attempt is one sending of a request and its outcome.
type Attempt struct {
	ID      string
	Request string
	// IdempotencyKey is set for non-idempotent requests.
	IdempotencyKey string
	Key            string
	Entry          string
	Sent           time.Time
	Ended          time.Time
	Class          Class
	Code           uint32
	Status         int
	Detail         string
	// Owner is the caller address of the key's owner, as named in the answer.
	Owner string
	// Sends is how often the client library sent the request.
	Sends int
}

// Latency returns the time from sending the attempt to its end.
func (a Attempt) Latency() time.Duration { return a.Ended.Sub(a.Sent) }

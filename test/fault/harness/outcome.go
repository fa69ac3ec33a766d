package harness

import "time"

// Class says what a caller learnt from one attempt.
type Class string

// The classes of an attempt.
const (
	// Answered: the whole answer of the backend server, status 200.
	Answered Class = "answered"
	// Other: an answer that the router says is the backend server's, with a
	// status other than 200.
	Other Class = "other-status"
	// NotRun: a refusal that says that nothing ran.
	NotRun Class = "not-run"
	// Unknown: a refusal that says that the outcome is unknown.
	Unknown Class = "unknown"
	// Cut: the connection broke before the whole answer was there.
	Cut Class = "cut"
	// Unreached: no connection to the entry; it is tried again elsewhere.
	Unreached Class = "unreached"
	// Wrong: an answer that looks whole and isn't the caller's own.
	Wrong Class = "wrong"
	// Unnumbered: a status other than 200 without a result code.
	Unnumbered Class = "unnumbered"
)

// Attempt is one sending of a request and what came of it.
type Attempt struct {
	ID      string
	Request string
	// IdempotencyKey is set for a request that is not idempotent.
	IdempotencyKey string
	Key            string
	Entry          string
	Sent           time.Time
	Ended          time.Time
	Class          Class
	Code           uint32
	Status         int
	Detail         string
	// Owner is the caller address that the answer names as the key's owner.
	Owner string
	// Sends is how often the client library sent the request.
	Sends int
}

// Latency is the time from sending to the end.
func (a Attempt) Latency() time.Duration { return a.Ended.Sub(a.Sent) }

// Package stopping decides which requests a node still accepts once its planned stop has
// begun. Callers need some seconds to notice that the node is not ready, and a request
// that is accepted must be answered before the process ends.
package stopping

import "time"

// Window holds the limits of a planned stop. A nil window is that of a node that does not
// stop.
type Window struct {
	// AcceptUntil is when callers have noticed that the node is not ready. From then on
	// only requests that are due before EndsAt are accepted.
	AcceptUntil time.Time
	// EndsAt is when the process ends.
	EndsAt time.Time
}

// Bound returns the deadline of a request that arrives now, not later than the end of the
// process, and whether the request is accepted.
func (w *Window) Bound(now, deadline time.Time) (time.Time, bool) {
	if w == nil || !deadline.After(w.EndsAt) {
		return deadline, true
	}
	return w.EndsAt, now.Before(w.AcceptUntil)
}

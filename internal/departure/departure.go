// Package departure looks whether the asker of a request that was held up has
// left: a node or link that stood still has the word of that waiting right behind
// the request, and would else act on the request first.
package departure

import (
	"context"
	"time"
)

// wait is the time for a look: what waits in a socket is read in less.
const wait = 5 * time.Millisecond

// Stays reports whether ctx, which ends when the asker leaves, still holds after
// a look.
func Stays(ctx context.Context) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

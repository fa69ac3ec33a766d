// Package disconnect checks whether the caller of a delayed request has
// disconnected. After a pause of the process or the network, the request and
// the disconnect that follows it are both waiting to be read; without the
// check, the request would run before the disconnect is noticed.
package disconnect

import (
	"context"
	"time"
)

// checkDelay is the time allowed for a pending disconnect to be read from its
// socket. On a busy machine the goroutine that reads it may not run for several
// milliseconds.
const checkDelay = 20 * time.Millisecond

// StillConnected waits for checkDelay and reports whether ctx, which ends when
// the caller disconnects, is still active.
func StillConnected(ctx context.Context) bool {
	timer := time.NewTimer(checkDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		// Both may have come while this goroutine did not run.
		return ctx.Err() == nil
	}
}

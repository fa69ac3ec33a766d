package ingress

import (
	"sync/atomic"
	"time"

	"fulmarhinge/internal/clock"
)

const (
	// stallThreshold is the time without a heartbeat after which the process
	// counts as having been stalled. Heartbeats come every 40 ms.
	stallThreshold = 300 * time.Millisecond
	// recoveryWindow is the time after a stall during which requests that arrived
	// during the stall may still be read.
	recoveryWindow = 30 * time.Millisecond
)

// stallDetector detects pauses of the process. The callers of requests that
// arrived during a pause may have disconnected since; the connection's close is
// then read directly after the request.
type stallDetector struct {
	lastHeartbeat, stallEnded atomic.Int64
}

// heartbeat records that the process is running and reports whether a stall has
// ended within the recovery window.
func (d *stallDetector) heartbeat(now clock.Mono) bool {
	previous := clock.Mono(d.lastHeartbeat.Swap(int64(now)))
	if previous > 0 && now.Sub(previous) > stallThreshold {
		d.stallEnded.Store(int64(now))
	}
	stallEnded := clock.Mono(d.stallEnded.Load())
	return stallEnded > 0 && now.Sub(stallEnded) < recoveryWindow
}

package gate

import (
	"sync"
	"time"

	"fulmarhinge/internal/cluster"
)

// offsetWindow is the period over which the fastest message of a peer counts as
// one without excess delay. It is short because clocks drift.
const offsetWindow = 5 * time.Second

// delayEstimator estimates the excess delay of a peer's messages. Its baseline
// is the smallest difference between the clock readings at sending and at
// receipt, over the current and the previous offsetWindow.
type delayEstimator struct {
	mu    sync.Mutex
	peers map[string]*clockOffsets
}

// clockOffsets holds the smallest differences of the current and the previous
// window.
type clockOffsets struct {
	incarnation       uint64
	windowStart       time.Time
	current, previous time.Duration
	hasPrevious       bool
}

// excess returns how much longer a message took than the fastest recent one.
// sent is a reading of the peer's clock, received one of this VM's.
func (e *delayEstimator) excess(from cluster.MemberRef, sent, received time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers == nil {
		e.peers = map[string]*clockOffsets{}
	}
	offset, now := received-sent, time.Now()
	o := e.peers[from.Name]
	if o == nil || o.incarnation != from.Incarnation {
		e.peers[from.Name] = &clockOffsets{incarnation: from.Incarnation, windowStart: now, current: offset}
		return 0
	}
	if now.Sub(o.windowStart) > offsetWindow {
		o.previous, o.current, o.windowStart, o.hasPrevious = o.current, offset, now, true
	}
	o.current = min(o.current, offset)
	baseline := o.current
	if o.hasPrevious {
		baseline = min(baseline, o.previous)
	}
	return offset - baseline
}

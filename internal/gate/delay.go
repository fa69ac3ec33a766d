package gate

import (
	"sync"
	"time"

	"fulmarhinge/internal/cluster"
)

// transitBucket is the time over which the quickest message of a peer counts as
// one that was not held up. It is short, as clocks drift.
const transitBucket = 5 * time.Second

// transit tells how long a peer's message was held up on its way, from the
// difference of the two clocks at the quickest message of the last seconds.
type transit struct {
	mu    sync.Mutex
	peers map[string]*offsets
}

// offsets are the smallest differences of two periods.
type offsets struct {
	incarnation uint64
	since       time.Time
	now, before time.Duration
	old         bool
}

// excess returns how much longer than the quickest a message took that was sent
// at the given reading of the peer's clock and received at one of this VM's.
func (t *transit) excess(from cluster.MemberRef, sent, received time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[string]*offsets{}
	}
	d, now := received-sent, time.Now()
	o := t.peers[from.Name]
	if o == nil || o.incarnation != from.Incarnation {
		t.peers[from.Name] = &offsets{incarnation: from.Incarnation, since: now, now: d}
		return 0
	}
	if now.Sub(o.since) > transitBucket {
		o.before, o.now, o.since, o.old = o.now, d, now, true
	}
	o.now = min(o.now, d)
	least := o.now
	if o.old {
		least = min(least, o.before)
	}
	return d - least
}

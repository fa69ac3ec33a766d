package sidecar

import (
	"sync"
	"time"
)

// maxDeliveries bounds the addresses that are kept, as VMs are replaced every day.
const maxDeliveries = 4096

// deliveries keeps when each address was last sent something that is not to be sent
// again while it may still be on its way. The zero value lets all be sent.
type deliveries struct {
	mu       sync.Mutex
	sentAt   map[string]time.Time
	interval time.Duration
}

// reset forgets all deliveries; the next ones to an address are this far apart.
func (d *deliveries) reset(interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sentAt, d.interval = map[string]time.Time{}, interval
}

// due reports whether an address may be sent to now, and counts it as sent if so.
func (d *deliveries) due(now time.Time, addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, sent := d.sentAt[addr]; sent && now.Sub(last) < d.interval {
		return false
	}
	if d.sentAt == nil || len(d.sentAt) >= maxDeliveries {
		d.sentAt = map[string]time.Time{}
	}
	d.sentAt[addr] = now
	return true
}

// deliveryTime returns how long a value of this size may take to all members over a link
// of this bandwidth in Mbit/s; 0 means no limit.
func deliveryTime(size, members int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return spreadTime
	}
	seconds := float64(size*members*8) / (linkMbps * 1e6 * configLinkShare)
	return spreadTime + time.Duration(seconds*float64(time.Second))
}

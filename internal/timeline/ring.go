package timeline

import (
	"sync"

	"fulmarhinge/internal/cluster"
)

// maxTextBytes bounds each text and key of an event, and so, with the
// capacity, the memory of a ring.
const maxTextBytes = 256

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	node  cluster.MemberRef
	clock *Clock

	mu     sync.Mutex
	events []Event
	// next is where the next event goes once the ring is full.
	next    int
	dropped uint64
}

// NewRing returns an empty ring for the events of node. The capacity is a
// number of events and at least 1.
func NewRing(node cluster.MemberRef, capacity int, clock *Clock) *Ring {
	return &Ring{node: node, clock: clock, events: make([]Event, 0, max(capacity, 1))}
}

// SetNode changes the node that later events are recorded for, as a process
// that joins again has another incarnation.
func (r *Ring) SetNode(node cluster.MemberRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node = node
}

// Add stamps the event, records it as this node's and returns it as kept.
func (r *Ring) Add(e Event) Event {
	e.Text = clip(e.Text)
	e.Customer = clip(e.Customer)
	if e.Unit != nil && len(e.Unit.Key) > maxTextBytes {
		u := *e.Unit
		u.Key = clip(u.Key)
		e.Unit = &u
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Node = r.node
	// Stamped under the lock, so that the ring is in the order of its stamps.
	e.Stamp = r.clock.Now()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return e
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.dropped++
	return e
}

// All returns the events that are kept, oldest first.
func (r *Ring) All() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Event, 0, len(r.events))
	list = append(list, r.events[r.next:]...)
	return append(list, r.events[:r.next]...)
}

// Since returns the kept events that come after the stamp, oldest first.
func (r *Ring) Since(after Stamp) []Event {
	var list []Event
	for _, e := range r.All() {
		if after.Less(e.Stamp) {
			list = append(list, e)
		}
	}
	return list
}

// Dropped returns how many events were overwritten.
func (r *Ring) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func clip(s string) string {
	if len(s) > maxTextBytes {
		return s[:maxTextBytes]
	}
	return s
}

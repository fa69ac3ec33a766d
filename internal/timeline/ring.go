package timeline

import (
	"sync"

	"fulmarhinge/internal/cluster"
)

// maxTextBytes bounds each text and key of an event. Together with the capacity
// it bounds the memory of a ring.
const maxTextBytes = 256

// Ring is a ring buffer of the newest events of one process. It is safe for
// concurrent use.
type Ring struct {
	node  cluster.MemberRef
	clock *Clock

	mu     sync.Mutex
	events []Event
	// next is the index that the next event overwrites once the ring is full.
	next        int
	overwritten uint64
}

// NewRing returns an empty ring for the events of node. The capacity is the
// number of events; the minimum is 1.
func NewRing(node cluster.MemberRef, capacity int, clock *Clock) *Ring {
	return &Ring{node: node, clock: clock, events: make([]Event, 0, max(capacity, 1))}
}

// SetNode changes the node of later events, because a process that joins again
// has a new incarnation.
func (r *Ring) SetNode(node cluster.MemberRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node = node
}

// Add sets the stamp and the node of the event, stores it and returns the stored
// form, in which long texts are truncated.
func (r *Ring) Add(e Event) Event {
	e.Text = truncate(e.Text)
	e.Customer = truncate(e.Customer)
	if e.Unit != nil && len(e.Unit.Key) > maxTextBytes {
		u := *e.Unit
		u.Key = truncate(u.Key)
		e.Unit = &u
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Node = r.node
	// The stamp is taken under the lock, so that events are stored in the order of
	// their stamps.
	e.Stamp = r.clock.Now()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return e
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.overwritten++
	return e
}

// All returns the stored events, oldest first.
func (r *Ring) All() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Event, 0, len(r.events))
	list = append(list, r.events[r.next:]...)
	return append(list, r.events[:r.next]...)
}

// Since returns the stored events after the stamp, oldest first.
func (r *Ring) Since(after Stamp) []Event {
	var list []Event
	for _, e := range r.All() {
		if after.Less(e.Stamp) {
			list = append(list, e)
		}
	}
	return list
}

// Overwritten returns how many events were overwritten by newer ones.
func (r *Ring) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overwritten
}

// truncate shortens s to maxTextBytes.
func truncate(s string) string {
	if len(s) > maxTextBytes {
		return s[:maxTextBytes]
	}
	return s
}

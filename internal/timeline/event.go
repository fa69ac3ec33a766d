// Package timeline keeps a ring buffer of events in each process, ordered by a
// hybrid logical clock, and merges the events of all processes of a fleet.
package timeline

import "fulmarhinge/internal/cluster"

// Kind classifies an event.
type Kind string

// The kinds of event.
const (
	KindLease     Kind = "lease"
	KindEviction  Kind = "eviction"
	KindPlacement Kind = "placement"
	KindMove      Kind = "move"
	KindDrain     Kind = "drain"
	KindConfig    Kind = "config"
	KindLimit     Kind = "limit"
	KindBackend   Kind = "backend"
	KindMember    Kind = "member"
)

// Stamp is a timestamp of a hybrid logical clock: wall time in nanoseconds since
// the Unix epoch, and a counter that orders events with the same wall time.
type Stamp struct {
	Wall    int64  `json:"wall"`
	Logical uint32 `json:"logical"`
}

// Event is one entry of the timeline.
type Event struct {
	Stamp Stamp `json:"stamp"`
	// Node is the process that recorded the event.
	Node cluster.MemberRef `json:"node"`
	Kind Kind              `json:"kind"`
	// Unit, Epoch, Member, Customer and Revision are set if they apply to the
	// event.
	Unit     *cluster.Unit      `json:"unit,omitempty"`
	Epoch    uint64             `json:"epoch,omitempty"`
	Member   *cluster.MemberRef `json:"member,omitempty"`
	Customer string             `json:"customer,omitempty"`
	Revision uint64             `json:"revision,omitempty"`
	// Text is one short sentence.
	Text string `json:"text"`
}

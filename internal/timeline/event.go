// Package timeline keeps a bounded ring of events in each process, ordered by
// a hybrid logical clock, and merges the rings of a fleet.
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

// Stamp is a hybrid logical clock reading: wall time in nanoseconds since the
// Unix epoch, then a counter for events at one instant.
type Stamp struct {
	Wall    int64  `json:"wall"`
	Logical uint32 `json:"logical"`
}

// Event is one entry of the time line.
type Event struct {
	Stamp Stamp `json:"stamp"`
	// Node is the process that recorded the event.
	Node cluster.MemberRef `json:"node"`
	Kind Kind              `json:"kind"`
	// Unit, Epoch, Member, Customer and Revision are set where they apply.
	Unit     *cluster.Unit      `json:"unit,omitempty"`
	Epoch    uint64             `json:"epoch,omitempty"`
	Member   *cluster.MemberRef `json:"member,omitempty"`
	Customer string             `json:"customer,omitempty"`
	Revision uint64             `json:"revision,omitempty"`
	// Text is one short sentence.
	Text string `json:"text"`
}

package operator

import (
	"context"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/timeline"
)

// Status is what one node says of itself and of the fleet as it sees it.
type Status struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Version     string `json:"version"`
	// State is the state of the node's own member object.
	State cluster.MemberState `json:"state"`
	// RevisionInForce is the configuration that the node applies, and
	// RevisionKnown the newest that it has heard of.
	RevisionInForce uint64 `json:"revision_in_force"`
	RevisionKnown   uint64 `json:"revision_known"`
	// Admitting is false if the node refuses new requests; Reason says why.
	Admitting bool   `json:"admitting"`
	Reason    string `json:"reason,omitempty"`
	Draining  bool   `json:"draining"`
	// LeaseLeftMs is the time until the lease lapses, in milliseconds; 0 if it
	// does not hold.
	LeaseLeftMs int64 `json:"lease_left_ms"`
	// Witnesses are the peers that hold the node's lease promises.
	Witnesses []cluster.MemberRef `json:"witnesses"`
	// Owned counts the units that the node owns, by state.
	Owned    OwnedCounts `json:"owned"`
	InFlight int         `json:"in_flight"`
	Backend  *Backend    `json:"backend,omitempty"`
	// PlatformLagMs is the time since the platform last answered any node
	// that this one hears from, in milliseconds; -1 if it never did.
	PlatformLagMs int64 `json:"platform_lag_ms"`
	// Shards gives the number of shards of each service divided by key.
	Shards map[string]int `json:"shards,omitempty"`
	// Members are all members that are not gone, sorted by name.
	Members []MemberRow `json:"members"`
}

// OwnedCounts counts owned shards by state, and the served hot keys apart.
type OwnedCounts struct {
	Pending  int `json:"pending"`
	Serving  int `json:"serving"`
	Stopping int `json:"stopping"`
	Pins     int `json:"pins"`
}

// Backend is the backend server beside the node, as the gate sees it.
type Backend struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Ready   bool   `json:"ready"`
	Slots   int    `json:"slots"`
}

// MemberRow is one member as the answering node sees it.
type MemberRow struct {
	cluster.MemberRef
	// OperatorAddr lets one node's answer lead to all the others.
	OperatorAddr string              `json:"operator_addr"`
	Zone         string              `json:"zone"`
	State        cluster.MemberState `json:"state"`
	Service      string              `json:"service,omitempty"`
	Ready        bool                `json:"ready"`
	// SilentMs is the time since the member was last heard, in milliseconds;
	// -1 if this node does not hear it directly.
	SilentMs int64 `json:"silent_ms"`
}

// Deps is what the endpoint needs of the node. All methods are safe for
// concurrent use.
type Deps interface {
	// Status returns the present picture.
	Status() Status
	// Ready reports whether the node takes requests, and if not, why.
	Ready() (bool, string)
	// Events returns the kept events, oldest first.
	Events() []timeline.Event
	// Drain begins a planned stop of this node and returns once it has begun.
	Drain(ctx context.Context) error
	// Evict votes the member out. With force it marks the member evicted
	// without the witnesses' votes.
	Evict(ctx context.Context, member string, force bool) error
}

package operator

import (
	"context"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/timeline"
)

// Status is the state of a node, and the state of the fleet as the node sees
// it.
type Status struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	Version     string `json:"version"`
	// State is the state of the node's own member object.
	State cluster.MemberState `json:"state"`
	// RevisionInForce is the configuration revision that the node applies.
	// RevisionKnown is the newest revision that it has learned of.
	RevisionInForce uint64 `json:"revision_in_force"`
	RevisionKnown   uint64 `json:"revision_known"`
	// Admitting is false if the node refuses new requests; Reason then gives
	// the reason.
	Admitting bool   `json:"admitting"`
	Reason    string `json:"reason,omitempty"`
	Draining  bool   `json:"draining"`
	// LeaseLeftMs is the time until the lease expires, in milliseconds; 0 if
	// the node holds no lease.
	LeaseLeftMs int64 `json:"lease_left_ms"`
	// Witnesses are the peers that hold the promises for the node's lease.
	Witnesses []cluster.MemberRef `json:"witnesses"`
	// Owned counts the units that the node owns, by state.
	Owned    OwnedCounts `json:"owned"`
	InFlight int         `json:"in_flight"`
	Backend  *Backend    `json:"backend,omitempty"`
	// PlatformLagMs is the time since the platform last answered this node, in
	// milliseconds; -1 if it has not answered yet.
	PlatformLagMs int64 `json:"platform_lag_ms"`
	// Shards is the number of shards of each service that is divided by key.
	Shards map[string]int `json:"shards,omitempty"`
	// EvacuatedZones are the zones under evacuation, sorted, as the node knows them.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// Members are all members that are not gone, sorted by name.
	Members []MemberRow `json:"members"`
}

// OwnedCounts counts the owned shards by state. The served hot keys are counted
// separately, as Pins.
type OwnedCounts struct {
	Pending  int `json:"pending"`
	Serving  int `json:"serving"`
	Stopping int `json:"stopping"`
	Pins     int `json:"pins"`
}

// Backend is the state of the node's backend server at the gate.
type Backend struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Ready   bool   `json:"ready"`
	Slots   int    `json:"slots"`
}

// MemberRow is a member as the answering node sees it.
type MemberRow struct {
	cluster.MemberRef
	// OperatorAddr lets a client that knows one node find the others without
	// the platform.
	OperatorAddr string              `json:"operator_addr"`
	Zone         string              `json:"zone"`
	State        cluster.MemberState `json:"state"`
	Service      string              `json:"service,omitempty"`
	Ready        bool                `json:"ready"`
	// SinceLastMessageMs is the time since the last message from the member, in
	// milliseconds; -1 if this node receives no messages from the member.
	SinceLastMessageMs int64 `json:"silent_ms"`
}

// Deps are the functions of the node that the endpoint needs. All methods are
// safe for concurrent use.
type Deps interface {
	// Status returns the current status.
	Status() Status
	// Ready reports whether the node accepts requests, and the reason if it
	// does not.
	Ready() (bool, string)
	// Events returns the buffered events, oldest first.
	Events() []timeline.Event
	// Drain starts a planned stop of this node and returns once it has begun.
	Drain(ctx context.Context) error
	// Evict evicts a member by a vote of its witnesses. With force it marks the
	// member evicted without a vote.
	Evict(ctx context.Context, member string, force bool) error
}

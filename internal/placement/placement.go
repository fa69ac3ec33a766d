// Package placement decides which node owns each shard and hot key of a service
// and writes the decisions into placement groups. It is deterministic: equal
// input gives equal output, and it uses no clock, I/O or goroutines.
package placement

import (
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
)

// The thresholds for moving load and for pinning hot keys.
const (
	// MaxImbalance is the ratio of the highest load per slot of a node to the
	// mean load per slot, above which load is moved. Correcting a smaller
	// imbalance is not worth the moves.
	MaxImbalance = 1.15
	// HotKeyShare is the share of the mean node load above which a key is pinned.
	HotKeyShare = 0.10
	// ColdPinShare is the share of the mean node load below which a pin is
	// removed. The gap to HotKeyShare prevents random variation of a key's load
	// from pinning and unpinning the key repeatedly.
	ColdPinShare = 0.03
	// MinHotKeyRPS is the load of a key, in requests/s, below which it is not
	// pinned.
	MinHotKeyRPS = 10.0
)

const (
	// assumedNodeRPS is the load per node, in requests/s, that is added to the
	// measured load of an idle service and spread evenly over the shards. It
	// balances an idle service by shard count. While the load is only a few
	// requests, it also keeps random variation from moving shards back and forth.
	assumedNodeRPS = 30.0
	// assumedCutoffNodeRPS is the measured load per node, in requests/s, from
	// which no load is assumed. Below it, the assumed load decreases linearly.
	assumedCutoffNodeRPS = 100.0
)

// Reason is why a unit is moved.
type Reason int

// The reasons for a move. The first four are forced: the current owner can't or
// must not keep the unit, so the budget of planned moves does not apply.
const (
	// OwnerGone means that the owner left, was evicted or has restarted.
	OwnerGone Reason = iota + 1
	// OwnerDraining means that a planned stop of the owner is in progress.
	OwnerDraining
	// OwnerWithdrawn means that the owner is a live member without a ready
	// backend server.
	OwnerWithdrawn
	// Unowned means that the unit has had no owner yet.
	Unowned
	// Balance means that the owner has more than its share of the load.
	Balance
	// HotKey means that a key is pinned, on the same node or another.
	HotKey
	// Unpin means that a pin is removed because its load is low, or moved to the
	// owner of its shard for that purpose.
	Unpin
)

var reasonNames = map[Reason]string{
	OwnerGone:      "owner-gone",
	OwnerDraining:  "owner-draining",
	OwnerWithdrawn: "owner-withdrawn",
	Unowned:        "unowned",
	Balance:        "balance",
	HotKey:         "hot-key",
	Unpin:          "unpin",
}

// String returns the name of the reason as shown in the timeline.
func (r Reason) String() string { return reasonNames[r] }

// Forced reports whether moves for this reason are exempt from the budget.
func (r Reason) Forced() bool { return r >= OwnerGone && r <= Unowned }

// Node is a member as seen by placement.
type Node struct {
	Ref  cluster.MemberRef
	Zone string
	// Slots is the number of requests that the backend server runs concurrently.
	// Load is distributed in proportion to it. Values below 1 count as 1.
	Slots int
	// Eligible is true if the member is active and its backend server is ready.
	Eligible bool
	// Gone is true if this incarnation has left or was evicted.
	Gone bool
}

// Input is everything that the plan for a service depends on.
type Input struct {
	Service string
	// Shards is indexed by shard number.
	Shards []cluster.Assignment
	Pins   []cluster.Pin
	Nodes  []Node
	// Load is the measured load in requests/s. The load of a shard includes that
	// of its keys, except for pinned keys. A missing unit counts as idle. If all
	// are missing, every shard has the same weight.
	Load map[cluster.Unit]float64
	// Serving is the epoch at which the current owner reported that it serves a
	// unit. All earlier owners have then released the unit or are gone.
	Serving map[cluster.Unit]uint64
	// Draining holds the members whose planned stop is in progress.
	Draining map[cluster.MemberRef]bool
	// MaxMoves is the maximum number of planned owner changes in the plan. Forced
	// moves and new pins that stay with their owner are not counted.
	MaxMoves int
}

// Move is one decision: a unit gets a new owner, a key is pinned, or a pin is
// removed.
type Move struct {
	Unit   cluster.Unit
	To     cluster.MemberRef
	Reason Reason
	// FromEpoch is the epoch of the unit, or of the shard for a new pin, that the
	// decision is based on. Apply skips the move if the group has another epoch.
	FromEpoch uint64
	// FromServing is true if the current owner is known to serve the unit at
	// FromEpoch.
	FromServing bool
	// Remove is true if the pin is removed. To is then the owner of both the pin
	// and its shard, and is known to serve the shard at ShardEpoch.
	Remove     bool
	ShardEpoch uint64
}

// InitialGroups returns the placement groups of a new service: no shard has an
// owner, and all epochs are 0.
func InitialGroups(service config.Service) []cluster.Group {
	var groups []cluster.Group
	for first := 0; first < service.Shards; first += cluster.MaxShardsPerGroup {
		n := min(cluster.MaxShardsPerGroup, service.Shards-first)
		groups = append(groups, cluster.Group{
			Service: service.Name,
			First:   first,
			Shards:  make([]cluster.Assignment, n),
		})
	}
	return groups
}

// Plan returns the moves for the input. Units whose owner can't keep them always
// move if any node is eligible. Other units move only while the load is out of
// balance and MaxMoves is not reached. Planning again for the result, with the
// same load and a sufficient MaxMoves, returns no moves.
func Plan(in Input) []Move {
	s := newPlanState(in)
	if len(s.nodes) == 0 {
		return nil
	}
	s.addHotKeys()
	s.placeForced()
	s.balance()
	s.returnColdPins()
	return s.moves()
}

// Package placement decides which node owns which shard and which hot key of
// a service, and writes the decisions into placement groups. It is pure: equal
// input gives equal output, and it uses no clock, I/O or goroutine.
package placement

import (
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
)

// The limits that decide when load is moved.
const (
	// MaxImbalance is the load of the busiest node over the mean, each weighted
	// by slots, above which load is moved. Less is not worth the churn.
	MaxImbalance = 1.15
	// HotShare is the share of a node's mean load above which a key is pinned.
	HotShare = 0.10
	// ColdShare is the share of a node's mean load below which a pin is
	// dissolved. The gap to HotShare keeps a key from being pinned, dissolved
	// and pinned again by the noise of its load.
	ColdShare = 0.03
	// MinHotRate is the load in requests/s below which no key is pinned.
	MinHotRate = 10.0
)

const (
	// priorRate is the load in requests/s a node that is assumed on top of the
	// measured load and spread evenly over the shards. It makes an idle service
	// balance by shard count, and keeps the noise of a small load, which a few
	// requests make up, from moving shards to and fro.
	priorRate = 30.0
	// fullRate is the measured load in requests/s a node from which nothing is
	// assumed; the assumed load falls evenly up to there.
	fullRate = 100.0
)

// Reason says why a unit is moved.
type Reason int

// The reasons for a move. The first four are forced: the present owner can't
// or must not keep the unit, so the budget of planned moves doesn't apply.
const (
	// OwnerGone means that the owner left, was evicted or has restarted.
	OwnerGone Reason = iota + 1
	// OwnerDraining means that a planned stop of the owner is under way.
	OwnerDraining
	// OwnerWithdrawn means that the owner lives, but has no backend server
	// that is ready.
	OwnerWithdrawn
	// Unowned means that the unit never had an owner.
	Unowned
	// Balance means that the owner has more than its share of the load.
	Balance
	// HotKey means that a key becomes a pin, on the same node or another.
	HotKey
	// Unpin means that a cold pin returns to its shard.
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

// String returns the reason's name as it is shown in the time line.
func (r Reason) String() string { return reasonNames[r] }

// Forced reports whether a move for this reason ignores the budget.
func (r Reason) Forced() bool { return r >= OwnerGone && r <= Unowned }

// Node is what placement knows of a member.
type Node struct {
	Ref  cluster.MemberRef
	Zone string
	// Slots is the number of requests that the backend server runs at a time;
	// load is divided in proportion to it. Less than 1 counts as 1.
	Slots int
	// Eligible is true if the member is active and its backend server ready.
	Eligible bool
	// Gone is true if this incarnation left or was evicted.
	Gone bool
}

// Input is all that a plan for one service depends on.
type Input struct {
	Service string
	// Shards is indexed by shard number.
	Shards []cluster.Assignment
	Pins   []cluster.Pin
	Nodes  []Node
	// Load is the measured load in requests/s. The load of a key that is not
	// pinned is part of its shard's load; that of a pinned key is not. A
	// missing unit counts as idle; if all are missing, each shard weighs the
	// same.
	Load map[cluster.Unit]float64
	// Serving is the epoch at which the present owner said that it serves a
	// unit. Earlier owners have then released the unit or are gone.
	Serving map[cluster.Unit]uint64
	// Draining holds the members whose planned stop is under way.
	Draining map[cluster.MemberRef]bool
	// MaxMoves bounds the planned changes of owner in this plan. Forced moves
	// and pins that stay with their owner are not counted.
	MaxMoves int
}

// Move is one decision: the unit gets a new owner, becomes a pin, or stops
// being one.
type Move struct {
	Unit   cluster.Unit
	To     cluster.MemberRef
	Reason Reason
	// FromEpoch is the unit's epoch that the decision is based on; for a new
	// pin that of the shard. Apply skips the move if the group has another.
	FromEpoch uint64
	// FromServing is true if the present owner is known to serve at FromEpoch.
	FromServing bool
	// Remove is true if the pin is dissolved; To is then its owner and that of
	// its shard, which it is known to serve at ShardEpoch.
	Remove     bool
	ShardEpoch uint64
}

// InitialGroups returns the placement groups of a service that is new: no
// shard has an owner, and all epochs are 0.
func InitialGroups(service config.Service) []cluster.Group {
	var groups []cluster.Group
	for first := 0; first < service.Shards; first += cluster.GroupShards {
		n := min(cluster.GroupShards, service.Shards-first)
		groups = append(groups, cluster.Group{
			Service: service.Name,
			First:   first,
			Shards:  make([]cluster.Assignment, n),
		})
	}
	return groups
}

// Plan returns the moves that the input calls for. Units whose owner can't
// keep them always move if any node is eligible; others move only while the
// load is out of balance and the budget lasts. A plan for the result of an
// earlier plan with the same load and enough budget is empty.
func Plan(in Input) []Move {
	s := newState(in)
	if len(s.nodes) == 0 {
		return nil
	}
	s.addHotKeys()
	s.placeForced()
	s.balance()
	s.followShards()
	return s.moves()
}

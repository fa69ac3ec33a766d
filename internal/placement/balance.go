package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// roundingTolerance is the relative rounding error allowed for in comparisons of
	// summed loads.
	roundingTolerance = 1e-9
	// maxOvershootShare is how much more load than its excess a node may give away,
	// as a share of the excess. Units can't be divided, so an exact fit is rare.
	maxOvershootShare = 0.2
	// minGainShare is the minimum decrease in load per slot, as a share of the
	// mean, for a move that leaves the receiver above MaxImbalance.
	minGainShare = 0.05
	// lightUnitShare is the share of the mean shard weight below which the weight
	// of a unit is too small to decide its placement.
	lightUnitShare = 0.01
	// maxSelections is the maximum number of selections compared to find the units
	// that a node gives away. Each starts with a different unit.
	maxSelections = 32
)

// placeForced assigns every unit without an eligible owner to a node. If the
// owner has restarted, its new incarnation gets the unit, so that a restart moves
// nothing else. The other units go, heaviest first, to the node with the lowest
// load per slot.
func (s *planState) placeForced() {
	var unplaced []*unitState
	for _, u := range slices.Concat(s.shards, s.pins) {
		if u.plannedNode != noNode || u.cold {
			continue
		}
		reason := s.forcedReason(u.assignment.Owner)
		if i, ok := s.eligibleByName[u.assignment.Owner.Name]; ok {
			s.assign(u, i, reason)
			continue
		}
		u.reason = reason
		unplaced = append(unplaced, u)
	}
	slices.SortStableFunc(unplaced, func(a, b *unitState) int { return cmp.Compare(b.weight, a.weight) })
	minWeight := lightUnitShare * s.totalLoad / float64(max(1, len(s.shards)))
	for _, u := range unplaced {
		if u.weight >= minWeight {
			s.assign(u, s.leastLoaded.bestNode(u.weight), u.reason)
		}
	}
	s.placeLightUnits(unplaced, minWeight)
}

// placeLightUnits assigns the units below minWeight to the nodes in round-robin
// order, the least loaded node first. If they were placed by load, a single node
// would get all of them.
func (s *planState) placeLightUnits(unplaced []*unitState, minWeight float64) {
	order := s.nodesByLoadPerSlot()
	slices.Reverse(order)
	next := 0
	for _, u := range unplaced {
		if u.weight >= minWeight {
			continue
		}
		s.assign(u, order[next%len(order)], u.reason)
		next++
	}
}

// balance moves units off nodes whose load per slot exceeds MaxImbalance times
// the mean, until there are no such nodes or no move helps. It terminates because
// each move lowers the larger of the loads per slot of the two nodes.
func (s *planState) balance() {
	moved := true
	for moved && s.budget > 0 {
		moved = s.offloadAll()
	}
}

// offloadAll moves units off each overloaded node once, the most loaded node
// first, and reports whether any unit moved.
func (s *planState) offloadAll() bool {
	limit := MaxImbalance*s.meanLoadPerSlot() + roundingTolerance*s.meanLoadPerSlot()
	moved := false
	for _, i := range s.nodesByLoadPerSlot() {
		if s.nodes[i].loadPerSlot() > limit && s.offload(i) {
			moved = true
		}
	}
	return moved
}

// nodesByLoadPerSlot returns the indices of the nodes, the highest load per slot
// first.
func (s *planState) nodesByLoadPerSlot() []int {
	order := make([]int, len(s.nodes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(s.nodes[b].loadPerSlot(), s.nodes[a].loadPerSlot())
	})
	return order
}

// offload moves units off one overloaded node and reports whether any moved.
func (s *planState) offload(from int) bool {
	n := s.nodes[from]
	excess := n.load - MaxImbalance*s.meanLoadPerSlot()*n.slots
	moved := false
	for _, u := range selectUnits(s.movableUnits(from), excess) {
		if s.budget <= 0 && s.countsAgainstBudget(u) {
			continue
		}
		to := s.leastLoaded.bestNode(u.weight)
		if to == from || !s.improvesBalance(u, from, to) {
			continue
		}
		if s.countsAgainstBudget(u) {
			s.budget--
		}
		s.assign(u, to, Balance)
		moved = true
	}
	return moved
}

// movableUnits returns the units of a node whose move would improve the balance.
// A key that would overload every other node as well stays where it is.
func (s *planState) movableUnits(from int) []*unitState {
	var out []*unitState
	for _, u := range s.nodes[from].units {
		if to := s.leastLoaded.bestNode(u.weight); to != from && s.improvesBalance(u, from, to) {
			out = append(out, u)
		}
	}
	return out
}

// countsAgainstBudget reports whether moving the unit is a planned owner change
// that has not been counted yet. Forced moves are not counted, and a unit that
// was moved earlier in the plan is counted once.
func (s *planState) countsAgainstBudget(u *unitState) bool {
	return u.currentNode != noNode && u.currentNode == u.plannedNode
}

// improvesBalance reports whether a move lowers the highest load per slot enough:
// the receiver stays within MaxImbalance, or ends up below the current load per
// slot of the other node by at least minGainShare of the mean.
func (s *planState) improvesBalance(u *unitState, from, to int) bool {
	after := s.nodes[to].loadPerSlotWith(u.weight)
	if after <= MaxImbalance*s.meanLoadPerSlot() {
		return true
	}
	return after < s.nodes[from].loadPerSlot()-minGainShare*s.meanLoadPerSlot()
}

// selectUnits returns units whose weights add up to at least the excess, with as
// small a sum as it finds, or all units if their sum is below the excess.
func selectUnits(units []*unitState, excess float64) []*unitState {
	sorted := slices.Clone(units)
	slices.SortStableFunc(sorted, func(a, b *unitState) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), compareUnits(a, b))
	})
	best, leastSum := sorted, math.Inf(1)
	for start := 0; start < len(sorted) && start < maxSelections; start++ {
		chosen, sum := selectUnitsFrom(sorted[start:], excess)
		if sum >= excess && sum < leastSum {
			best, leastSum = chosen, sum
		}
	}
	return best
}

// selectUnitsFrom takes units from the sorted slice, heaviest first, skipping those
// that would exceed the excess by more than maxOvershootShare. If the sum is still
// below the excess, it adds the lightest unit that reaches it. It returns the
// units and the sum of their weights.
func selectUnitsFrom(sorted []*unitState, excess float64) ([]*unitState, float64) {
	var chosen []*unitState
	sum := 0.0
	taken := make([]bool, len(sorted))
	for i, u := range sorted {
		if sum+u.weight <= excess*(1+maxOvershootShare) {
			chosen = append(chosen, u)
			taken[i] = true
			sum += u.weight
		}
		if sum >= excess {
			return chosen, sum
		}
	}
	for i := len(sorted) - 1; i >= 0; i-- {
		if !taken[i] && sum+sorted[i].weight >= excess {
			return append(chosen, sorted[i]), sum + sorted[i].weight
		}
	}
	return chosen, sum
}

// compareUnits orders units by shard, then by key.
func compareUnits(a, b *unitState) int {
	return cmp.Or(cmp.Compare(a.unit.Shard, b.unit.Shard), cmp.Compare(a.unit.Key, b.unit.Key))
}

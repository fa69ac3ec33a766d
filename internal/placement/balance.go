package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// tolerance absorbs rounding where sums of loads are compared.
	tolerance = 1e-9
	// reserve is how much more than its excess a node may give away in whole
	// units, as a share of the excess.
	reserve = 0.2
	// minGain is the least drop in load per slot, as a share of the mean,
	// that is worth a move which leaves the receiver above MaxImbalance.
	minGain = 0.05
	// lightShare is the share of the mean shard's weight below which a unit's
	// load says nothing about where to place it.
	lightShare = 0.01
	// maxCovers is the number of first choices tried when the units to be
	// given away are selected.
	maxCovers = 32
)

// placeForced gives every unit without a usable owner to a node: the restarted
// run of the same node if there is one, so that a restart moves nothing else;
// otherwise the heaviest first to the node with the lowest load per slot.
func (s *state) placeForced() {
	var homeless []*unitState
	for _, u := range slices.Concat(s.shards, s.pins) {
		if u.node != noNode || u.cold {
			continue
		}
		reason := s.forcedReason(u.held.Owner)
		if i, ok := s.byName[u.held.Owner.Name]; ok {
			s.assign(u, i, reason)
			continue
		}
		u.reason = reason
		homeless = append(homeless, u)
	}
	slices.SortStableFunc(homeless, func(a, b *unitState) int { return cmp.Compare(b.weight, a.weight) })
	light := lightShare * s.total / float64(max(1, len(s.shards)))
	for _, u := range homeless {
		if u.weight >= light {
			s.assign(u, s.least.best(u.weight), u.reason)
		}
	}
	s.deal(homeless, light)
}

// deal hands out the units that have next to no load in turn, the least loaded
// node first. By load alone they would all gather on one node.
func (s *state) deal(homeless []*unitState, light float64) {
	order := s.byRatio()
	slices.Reverse(order)
	next := 0
	for _, u := range homeless {
		if u.weight >= light {
			continue
		}
		s.assign(u, order[next%len(order)], u.reason)
		next++
	}
}

// balance moves units off nodes whose load per slot exceeds MaxImbalance times
// the mean, until none does or no move helps. It ends because each move lowers
// the larger of the two loads that it touches.
func (s *state) balance() {
	moved := true
	for moved && s.budget > 0 {
		moved = s.relieveAll()
	}
}

// relieveAll relieves each overloaded node once, the busiest first, and
// reports whether any unit moved.
func (s *state) relieveAll() bool {
	limit := MaxImbalance*s.meanRatio() + tolerance*s.meanRatio()
	moved := false
	for _, i := range s.byRatio() {
		if s.nodes[i].ratio() > limit && s.relieve(i) {
			moved = true
		}
	}
	return moved
}

// byRatio returns the nodes' indices, the highest load per slot first.
func (s *state) byRatio() []int {
	order := make([]int, len(s.nodes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(s.nodes[b].ratio(), s.nodes[a].ratio())
	})
	return order
}

// relieve moves units off one overloaded node and reports whether any moved.
func (s *state) relieve(from int) bool {
	n := s.nodes[from]
	excess := n.load - MaxImbalance*s.meanRatio()*n.slots
	moved := false
	for _, u := range cover(s.movable(from), excess) {
		if s.budget <= 0 && s.costsBudget(u) {
			continue
		}
		to := s.least.best(u.weight)
		if to == from || !s.helps(u, from, to) {
			continue
		}
		if s.costsBudget(u) {
			s.budget--
		}
		s.assign(u, to, Balance)
		moved = true
	}
	return moved
}

// movable returns the units of a node that help if they move now. A key that
// would overload any other node as well is better left alone where it is.
func (s *state) movable(from int) []*unitState {
	var out []*unitState
	for _, u := range s.nodes[from].units {
		if to := s.least.best(u.weight); to != from && s.helps(u, from, to) {
			out = append(out, u)
		}
	}
	return out
}

// costsBudget reports whether moving the unit once more is a planned change of
// owner: forced moves are free, and a unit already moved was counted.
func (s *state) costsBudget(u *unitState) bool { return u.from != noNode && u.from == u.node }

// helps reports whether a move lowers the load per slot noticeably: the
// receiver stays within the limit, or well below what the giver has now.
func (s *state) helps(u *unitState, from, to int) bool {
	after := s.nodes[to].ratioWith(u.weight)
	if after <= MaxImbalance*s.meanRatio() {
		return true
	}
	return after < s.nodes[from].ratio()-minGain*s.meanRatio()
}

// cover selects units whose weights add up to at least the excess, and to
// little more; all of them if they add up to less.
func cover(units []*unitState, excess float64) []*unitState {
	sorted := slices.Clone(units)
	slices.SortStableFunc(sorted, func(a, b *unitState) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), compareUnits(a, b))
	})
	best, lowest := sorted, math.Inf(1)
	for start := 0; start < len(sorted) && start < maxCovers; start++ {
		chosen, sum := coverFrom(sorted[start:], excess)
		if sum >= excess && sum < lowest {
			best, lowest = chosen, sum
		}
	}
	return best
}

// coverFrom takes units, the heaviest first, that fit into what is left of the
// excess, and at last the lightest unit that covers the rest.
func coverFrom(sorted []*unitState, excess float64) ([]*unitState, float64) {
	var chosen []*unitState
	sum := 0.0
	taken := make([]bool, len(sorted))
	for i, u := range sorted {
		if sum+u.weight <= excess*(1+reserve) {
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

func compareUnits(a, b *unitState) int {
	return cmp.Or(cmp.Compare(a.unit.Shard, b.unit.Shard), cmp.Compare(a.unit.Key, b.unit.Key))
}

package placement

import (
	"cmp"
	"slices"

	"fulmarhinge/internal/cluster"
)

// noNode is the index of the owner of a unit that no eligible node owns.
const noNode = -1

// nodeState is an eligible node and the load that the plan gives it so far.
type nodeState struct {
	ref   cluster.MemberRef
	slots float64
	load  float64
	units []*unitState
}

// ratio returns the node's load per slot.
func (n *nodeState) ratio() float64 { return n.load / n.slots }

// ratioWith returns the load per slot if a unit of that weight were added.
func (n *nodeState) ratioWith(weight float64) float64 { return (n.load + weight) / n.slots }

// unitState is a shard or pin with the owner that the plan gives it so far.
type unitState struct {
	unit   cluster.Unit
	held   cluster.Assignment
	weight float64
	// from and node are indices of eligible nodes, or noNode.
	from, node int
	reason     Reason
	// shard is the shard's state, for a pin.
	shard *unitState
	// created is true for a pin that this plan makes.
	created bool
	// cold is true for a pin that follows its shard and then dissolves; its
	// weight is counted with the shard.
	cold bool
}

// state is the working state of one plan.
type state struct {
	in     Input
	nodes  []*nodeState
	byRef  map[cluster.MemberRef]int
	byName map[string]int
	known  map[cluster.MemberRef]Node
	shards []*unitState
	pins   []*unitState
	total  float64
	slots  float64
	least  *leastLoaded
	// budget is the number of planned moves that are left.
	budget int
}

func newState(in Input) *state {
	s := &state{
		in:     in,
		byRef:  map[cluster.MemberRef]int{},
		byName: map[string]int{},
		known:  map[cluster.MemberRef]Node{},
		budget: in.MaxMoves,
	}
	s.addNodes()
	if len(s.nodes) == 0 {
		return s
	}
	s.addShards()
	s.addPins()
	s.least = newLeastLoaded(s.nodes)
	return s
}

// addNodes indexes the nodes; those that may receive units in order of name.
func (s *state) addNodes() {
	sorted := slices.Clone(s.in.Nodes)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Ref.Name, b.Ref.Name), cmp.Compare(a.Ref.Incarnation, b.Ref.Incarnation))
	})
	for _, n := range sorted {
		s.known[n.Ref] = n
		if !n.Eligible || n.Gone || s.in.Draining[n.Ref] {
			continue
		}
		s.byRef[n.Ref] = len(s.nodes)
		s.byName[n.Ref.Name] = len(s.nodes)
		slots := float64(max(1, n.Slots))
		s.nodes = append(s.nodes, &nodeState{ref: n.Ref, slots: slots})
		s.slots += slots
	}
}

// addShards creates the shards' states. The weight of a shard is its measured
// load and its part of the assumed load.
func (s *state) addShards() {
	prior := s.assumedLoad() / float64(max(1, len(s.in.Shards)))
	s.shards = make([]*unitState, len(s.in.Shards))
	for i, held := range s.in.Shards {
		u := &unitState{unit: cluster.Unit{Service: s.in.Service, Shard: i}, held: held}
		u.weight = s.load(u.unit) + prior
		s.shards[i] = u
		s.total += u.weight
		s.attach(u)
	}
}

// assumedLoad returns the load in requests/s that is assumed for the service
// because little is measured.
func (s *state) assumedLoad() float64 {
	measured := 0.0
	for i := range s.in.Shards {
		measured += s.load(cluster.Unit{Service: s.in.Service, Shard: i})
	}
	for _, p := range s.in.Pins {
		measured += s.load(cluster.Unit{Service: s.in.Service, Shard: p.Shard, Key: p.Key})
	}
	nodes := float64(len(s.nodes))
	return priorRate * nodes * max(0, 1-measured/(fullRate*nodes))
}

// addPins creates the pins' states. A cold pin's weight is added to its shard,
// because it is to return there.
func (s *state) addPins() {
	sorted := slices.Clone(s.in.Pins)
	slices.SortFunc(sorted, func(a, b cluster.Pin) int { return cmp.Compare(a.Key, b.Key) })
	for _, p := range sorted {
		s.total += s.load(cluster.Unit{Service: s.in.Service, Shard: p.Shard, Key: p.Key})
	}
	for _, p := range sorted {
		u := &unitState{
			unit:  cluster.Unit{Service: s.in.Service, Shard: p.Shard, Key: p.Key},
			held:  p.Assignment,
			shard: s.shards[p.Shard],
		}
		u.weight = s.load(u.unit)
		u.cold = len(s.in.Load) > 0 && u.weight < ColdShare*s.fairShare()
		s.pins = append(s.pins, u)
		if !u.cold {
			s.attach(u)
			continue
		}
		u.from = s.indexOf(u.held.Owner)
		u.node = u.from
		s.addWeight(u.shard, u.weight)
		u.weight = 0
	}
}

// attach gives a unit to its present owner if that may keep it.
func (s *state) attach(u *unitState) {
	u.from = s.indexOf(u.held.Owner)
	u.node = u.from
	if u.node == noNode {
		return
	}
	n := s.nodes[u.node]
	n.load += u.weight
	n.units = append(n.units, u)
}

// addWeight changes the weight of a unit and the load of its node.
func (s *state) addWeight(u *unitState, by float64) {
	u.weight += by
	if u.node != noNode {
		s.nodes[u.node].load += by
	}
}

// assign gives a unit to a node.
func (s *state) assign(u *unitState, node int, reason Reason) {
	if u.node != noNode {
		old := s.nodes[u.node]
		old.load -= u.weight
		old.units = slices.DeleteFunc(old.units, func(o *unitState) bool { return o == u })
		s.least.fix(u.node)
	}
	n := s.nodes[node]
	n.load += u.weight
	n.units = append(n.units, u)
	s.least.fix(node)
	u.node = node
	if u.reason == 0 {
		u.reason = reason
	}
}

// indexOf returns the index of an eligible node, or noNode.
func (s *state) indexOf(ref cluster.MemberRef) int {
	if i, ok := s.byRef[ref]; ok {
		return i
	}
	return noNode
}

func (s *state) load(u cluster.Unit) float64 { return max(0, s.in.Load[u]) }

// serves reports whether a unit is known to be served at an epoch.
func (s *state) serves(u cluster.Unit, epoch uint64) bool {
	e, ok := s.in.Serving[u]
	return ok && e == epoch
}

// fairShare returns the mean load of a node in requests/s.
func (s *state) fairShare() float64 { return s.total / float64(len(s.nodes)) }

// meanRatio returns the mean load per slot.
func (s *state) meanRatio() float64 { return s.total / s.slots }

// forcedReason says why the present owner can't keep a unit.
func (s *state) forcedReason(owner cluster.MemberRef) Reason {
	if owner.IsZero() {
		return Unowned
	}
	n, ok := s.known[owner]
	switch {
	case !ok || n.Gone:
		return OwnerGone
	case s.in.Draining[owner]:
		return OwnerDraining
	default:
		return OwnerWithdrawn
	}
}

// moves lists the units whose assignment the plan changes: pins first, so that
// a new pin is cut out of the shard's assignment that the plan has seen.
func (s *state) moves() []Move {
	var out []Move
	for _, u := range s.pins {
		remove := u.cold && s.canRemove(u)
		if remove || u.created || u.node != u.from {
			out = append(out, s.move(u, remove))
		}
	}
	for _, u := range s.shards {
		if u.node != u.from {
			out = append(out, s.move(u, false))
		}
	}
	return out
}

func (s *state) move(u *unitState, remove bool) Move {
	known := u.unit
	if u.created {
		known = u.shard.unit
	}
	m := Move{
		Unit:        u.unit,
		To:          s.nodes[u.node].ref,
		Reason:      u.reason,
		FromEpoch:   u.held.Epoch,
		FromServing: s.serves(known, u.held.Epoch),
		Remove:      remove,
	}
	switch {
	case remove:
		m.Reason = Unpin
		m.ShardEpoch = u.shard.held.Epoch
	case u.created:
		m.Reason = HotKey
	}
	return m
}

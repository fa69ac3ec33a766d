package placement

import (
	"cmp"
	"slices"

	"fulmarhinge/internal/cluster"
)

// noNode is the node index of a unit that no eligible node owns.
const noNode = -1

// nodeState is an eligible node and the load that the plan assigns to it so far.
type nodeState struct {
	ref   cluster.MemberRef
	slots float64
	load  float64
	units []*unitState
}

// loadPerSlot returns the node's load per slot.
func (n *nodeState) loadPerSlot() float64 { return n.load / n.slots }

// loadPerSlotWith returns the load per slot that the node would have with another
// unit of the given weight.
func (n *nodeState) loadPerSlotWith(weight float64) float64 { return (n.load + weight) / n.slots }

// unitState is a shard or pin and the owner that the plan assigns to it so far.
type unitState struct {
	unit       cluster.Unit
	assignment cluster.Assignment
	weight     float64
	// currentNode and plannedNode are indices of eligible nodes, or noNode.
	currentNode, plannedNode int
	reason                   Reason
	// shard is the state of the shard that a pin belongs to; nil for a shard.
	shard *unitState
	// newPin is true for a pin that this plan makes.
	newPin bool
	// cold is true for a pin that is to be removed after it has moved to the owner
	// of its shard. Its weight is counted with the shard.
	cold bool
}

// planState is the working state of one plan.
type planState struct {
	in             Input
	nodes          []*nodeState
	eligibleByRef  map[cluster.MemberRef]int
	eligibleByName map[string]int
	nodesByRef     map[cluster.MemberRef]Node
	shards         []*unitState
	pins           []*unitState
	totalLoad      float64
	totalSlots     float64
	leastLoaded    *leastLoaded
	// budget is the number of planned moves still allowed.
	budget int
}

func newPlanState(in Input) *planState {
	s := &planState{
		in:             in,
		eligibleByRef:  map[cluster.MemberRef]int{},
		eligibleByName: map[string]int{},
		nodesByRef:     map[cluster.MemberRef]Node{},
		budget:         in.MaxMoves,
	}
	s.addNodes()
	if len(s.nodes) == 0 {
		return s
	}
	s.addShards()
	s.addPins()
	s.leastLoaded = newLeastLoaded(s.nodes)
	return s
}

// addNodes indexes all nodes and adds those that may receive units, in order of
// name.
func (s *planState) addNodes() {
	sorted := slices.Clone(s.in.Nodes)
	slices.SortFunc(sorted, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Ref.Name, b.Ref.Name), cmp.Compare(a.Ref.Incarnation, b.Ref.Incarnation))
	})
	for _, n := range sorted {
		s.nodesByRef[n.Ref] = n
		if !n.Eligible || n.Gone || s.in.Draining[n.Ref] {
			continue
		}
		s.eligibleByRef[n.Ref] = len(s.nodes)
		s.eligibleByName[n.Ref.Name] = len(s.nodes)
		slots := float64(max(1, n.Slots))
		s.nodes = append(s.nodes, &nodeState{ref: n.Ref, slots: slots})
		s.totalSlots += slots
	}
}

// addShards adds the state of each shard. The weight of a shard is the sum of its
// measured load and its share of the assumed load.
func (s *planState) addShards() {
	assumed := s.assumedLoad() / float64(max(1, len(s.in.Shards)))
	s.shards = make([]*unitState, len(s.in.Shards))
	for i, assignment := range s.in.Shards {
		u := &unitState{unit: cluster.Unit{Service: s.in.Service, Shard: i}, assignment: assignment}
		u.weight = s.load(u.unit) + assumed
		s.shards[i] = u
		s.totalLoad += u.weight
		s.attachToOwner(u)
	}
}

// assumedLoad returns the load, in requests/s, that is added to the measured load
// of the service because little load is measured.
func (s *planState) assumedLoad() float64 {
	measured := 0.0
	for i := range s.in.Shards {
		measured += s.load(cluster.Unit{Service: s.in.Service, Shard: i})
	}
	for _, p := range s.in.Pins {
		measured += s.load(cluster.Unit{Service: s.in.Service, Shard: p.Shard, Key: p.Key})
	}
	nodes := float64(len(s.nodes))
	return assumedNodeRPS * nodes * max(0, 1-measured/(assumedCutoffNodeRPS*nodes))
}

// addPins adds the state of each pin. The weight of a cold pin is added to its
// shard, because the key is to return there.
func (s *planState) addPins() {
	sorted := slices.Clone(s.in.Pins)
	slices.SortFunc(sorted, func(a, b cluster.Pin) int { return cmp.Compare(a.Key, b.Key) })
	for _, p := range sorted {
		s.totalLoad += s.load(cluster.Unit{Service: s.in.Service, Shard: p.Shard, Key: p.Key})
	}
	for _, p := range sorted {
		u := &unitState{
			unit:       cluster.Unit{Service: s.in.Service, Shard: p.Shard, Key: p.Key},
			assignment: p.Assignment,
			shard:      s.shards[p.Shard],
		}
		u.weight = s.load(u.unit)
		u.cold = len(s.in.Load) > 0 && u.weight < ColdPinShare*s.meanNodeLoad()
		s.pins = append(s.pins, u)
		if !u.cold {
			s.attachToOwner(u)
			continue
		}
		u.currentNode = s.eligibleIndex(u.assignment.Owner)
		u.plannedNode = u.currentNode
		s.addWeight(u.shard, u.weight)
		u.weight = 0
	}
}

// attachToOwner assigns a unit to its current owner if that node is eligible.
func (s *planState) attachToOwner(u *unitState) {
	u.currentNode = s.eligibleIndex(u.assignment.Owner)
	u.plannedNode = u.currentNode
	if u.plannedNode == noNode {
		return
	}
	n := s.nodes[u.plannedNode]
	n.load += u.weight
	n.units = append(n.units, u)
}

// addWeight adds delta to the weight of a unit and to the load of its node.
func (s *planState) addWeight(u *unitState, delta float64) {
	u.weight += delta
	if u.plannedNode != noNode {
		s.nodes[u.plannedNode].load += delta
	}
}

// assign moves a unit to a node. The first reason given for a unit is kept.
func (s *planState) assign(u *unitState, node int, reason Reason) {
	if u.plannedNode != noNode {
		old := s.nodes[u.plannedNode]
		old.load -= u.weight
		old.units = slices.DeleteFunc(old.units, func(o *unitState) bool { return o == u })
		s.leastLoaded.fix(u.plannedNode)
	}
	n := s.nodes[node]
	n.load += u.weight
	n.units = append(n.units, u)
	s.leastLoaded.fix(node)
	u.plannedNode = node
	if u.reason == 0 {
		u.reason = reason
	}
}

// eligibleIndex returns the index of a node, or noNode if it is not eligible.
func (s *planState) eligibleIndex(ref cluster.MemberRef) int {
	if i, ok := s.eligibleByRef[ref]; ok {
		return i
	}
	return noNode
}

func (s *planState) load(u cluster.Unit) float64 { return max(0, s.in.Load[u]) }

// isServing reports whether the owner of a unit is known to serve it at the
// given epoch.
func (s *planState) isServing(u cluster.Unit, epoch uint64) bool {
	e, ok := s.in.Serving[u]
	return ok && e == epoch
}

// meanNodeLoad returns the mean load of a node in requests/s.
func (s *planState) meanNodeLoad() float64 { return s.totalLoad / float64(len(s.nodes)) }

// meanLoadPerSlot returns the mean load per slot in requests/s.
func (s *planState) meanLoadPerSlot() float64 { return s.totalLoad / s.totalSlots }

// forcedReason returns why the current owner can't keep a unit.
func (s *planState) forcedReason(owner cluster.MemberRef) Reason {
	if owner.IsZero() {
		return Unowned
	}
	n, ok := s.nodesByRef[owner]
	switch {
	case !ok || n.Gone:
		return OwnerGone
	case s.in.Draining[owner]:
		return OwnerDraining
	default:
		return OwnerWithdrawn
	}
}

// moves lists the assignments that the plan changes. Pins come first, so that a
// new pin is split from the shard's assignment that the plan is based on.
func (s *planState) moves() []Move {
	var out []Move
	for _, u := range s.pins {
		remove := u.cold && s.canRemove(u)
		if remove || u.newPin || u.plannedNode != u.currentNode {
			out = append(out, s.move(u, remove))
		}
	}
	for _, u := range s.shards {
		if u.plannedNode != u.currentNode {
			out = append(out, s.move(u, false))
		}
	}
	return out
}

func (s *planState) move(u *unitState, remove bool) Move {
	servedUnit := u.unit
	if u.newPin {
		servedUnit = u.shard.unit
	}
	m := Move{
		Unit:        u.unit,
		To:          s.nodes[u.plannedNode].ref,
		Reason:      u.reason,
		FromEpoch:   u.assignment.Epoch,
		FromServing: s.isServing(servedUnit, u.assignment.Epoch),
		Remove:      remove,
	}
	switch {
	case remove:
		m.Reason = Unpin
		m.ShardEpoch = u.shard.assignment.Epoch
	case u.newPin:
		m.Reason = HotKey
	}
	return m
}

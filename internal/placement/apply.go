package placement

import (
	"slices"

	"fulmarhinge/internal/cluster"
)

// Apply applies the moves that concern a group to a copy of it and returns the
// copy and the number of moves applied. A move that is based on another epoch
// than the group has is skipped. The group itself is not modified, so that a
// failed conditional update has no effect.
//
// gone must return true only for an incarnation that can run no more requests of
// the service: it has left, or it was evicted or replaced by a restart and, if
// backend servers do not check the fence, the deadlines of all its requests have
// expired. Such a predecessor is removed. Any other one stays listed until a
// later owner is known to serve.
func Apply(group *cluster.Group, moves []Move, gone func(cluster.MemberRef) bool) (*cluster.Group, int) {
	a := applier{group: cloneGroup(group), gone: gone}
	n := 0
	for _, m := range moves {
		if m.Unit.Service == group.Service && a.apply(m) {
			n++
		}
	}
	return a.group, n
}

// applier applies moves to its copy of a group.
type applier struct {
	group *cluster.Group
	gone  func(cluster.MemberRef) bool
}

func (a *applier) apply(m Move) bool {
	i := m.Unit.Shard - a.group.First
	if i < 0 || i >= len(a.group.Shards) {
		return false
	}
	shard := &a.group.Shards[i]
	if m.Unit.Key == "" {
		return a.reassign(shard, m)
	}
	pinIndex := slices.IndexFunc(a.group.Pins, func(p cluster.Pin) bool { return p.Key == m.Unit.Key })
	switch {
	case pinIndex < 0 && m.Reason == HotKey:
		return a.addPin(*shard, m)
	case pinIndex < 0:
		return false
	case m.Remove:
		return a.removePin(pinIndex, shard, m)
	default:
		return a.movePin(&a.group.Pins[pinIndex], m)
	}
}

// reassign gives an assignment a new owner and the next epoch. It returns false
// if the epoch is not the one that the move is based on.
func (a *applier) reassign(assignment *cluster.Assignment, m Move) bool {
	if assignment.Epoch != m.FromEpoch {
		return false
	}
	*assignment = cluster.Assignment{
		Owner:        m.To,
		Epoch:        assignment.Epoch + 1,
		Predecessors: a.predecessors(*assignment, m),
	}
	return true
}

// addPin splits a key from its shard. The epoch of the pin is higher than that of
// the shard, which is higher than that of any earlier pin of its keys, so the
// epochs at which a key is served only increase.
func (a *applier) addPin(shard cluster.Assignment, m Move) bool {
	pin := cluster.Pin{Key: m.Unit.Key, Shard: m.Unit.Shard, Assignment: shard}
	if !a.reassign(&pin.Assignment, m) {
		return false
	}
	if m.To == shard.Owner {
		pin.SplitEpoch = shard.Epoch
	}
	a.group.Pins = append(a.group.Pins, pin)
	slices.SortFunc(a.group.Pins, func(x, y cluster.Pin) int {
		if x.Key < y.Key {
			return -1
		}
		return 1
	})
	return true
}

// movePin gives a pin a new owner. It resets SplitEpoch, because the pin is no
// longer with the owner that its shard had at the split.
func (a *applier) movePin(pin *cluster.Pin, m Move) bool {
	if !a.reassign(&pin.Assignment, m) {
		return false
	}
	pin.SplitEpoch = 0
	return true
}

// removePin returns a key to its shard. One owner serves both the pin and the
// shard, so all earlier owners have released them or are gone. The new assignment
// lists no predecessors, as the owner would otherwise wait for them again.
func (a *applier) removePin(pinIndex int, shard *cluster.Assignment, m Move) bool {
	pin := a.group.Pins[pinIndex]
	epochsMatch := pin.Epoch == m.FromEpoch && shard.Epoch == m.ShardEpoch
	if !epochsMatch || !m.FromServing || pin.Owner != shard.Owner {
		return false
	}
	*shard = cluster.Assignment{Owner: shard.Owner, Epoch: max(shard.Epoch, pin.Epoch) + 1}
	a.group.Pins = slices.Delete(a.group.Pins, pinIndex, pinIndex+1)
	return true
}

// predecessors returns the owners that the new owner waits for: the current owner
// and, unless the current owner is known to serve, its predecessors. If the
// current owner serves, the earlier ones have stopped. The new owner itself is
// not listed if it has owned the unit before: both epochs belong to the same
// process, and the owners in between are listed, so it still waits for their
// release. No incarnation is therefore listed twice.
func (a *applier) predecessors(assignment cluster.Assignment, m Move) []cluster.Predecessor {
	var candidates []cluster.Predecessor
	if !m.FromServing {
		candidates = append(candidates, assignment.Predecessors...)
	}
	if !assignment.Owner.IsZero() {
		candidates = append(candidates, cluster.Predecessor{MemberRef: assignment.Owner, Epoch: assignment.Epoch})
	}
	var kept []cluster.Predecessor
	for _, p := range candidates {
		if p.MemberRef == m.To || a.gone(p.MemberRef) {
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

// cloneGroup returns a deep copy of a group.
func cloneGroup(g *cluster.Group) *cluster.Group {
	out := *g
	out.Shards = slices.Clone(g.Shards)
	for i := range out.Shards {
		out.Shards[i].Predecessors = slices.Clone(g.Shards[i].Predecessors)
	}
	out.Pins = slices.Clone(g.Pins)
	for i := range out.Pins {
		out.Pins[i].Predecessors = slices.Clone(g.Pins[i].Predecessors)
	}
	return &out
}

package placement

import (
	"cmp"
	"slices"

	"fulmarhinge/internal/cluster"
)

// addHotKeys adds pins for the keys whose own load is a large share of a node's.
// A new pin starts on the owner of its shard; often it is enough that key and
// shard can be moved separately. If the shard has no eligible owner, key and shard
// are placed separately in the same plan.
func (s *planState) addHotKeys() {
	for _, u := range s.hotKeys() {
		shard := s.shards[u.Shard]
		weight := min(s.load(u), shard.weight)
		s.addWeight(shard, -weight)
		pin := &unitState{
			unit:       u,
			assignment: shard.assignment,
			weight:     weight,
			reason:     HotKey,
			shard:      shard,
			newPin:     true,
		}
		s.attachToOwner(pin)
		s.pins = append(s.pins, pin)
	}
	s.leastLoaded = newLeastLoaded(s.nodes)
}

// hotKeys returns the keys to be pinned, sorted by key.
func (s *planState) hotKeys() []cluster.Unit {
	pinned := map[string]bool{}
	for _, p := range s.pins {
		pinned[p.unit.Key] = true
	}
	limit := max(MinHotKeyRPS, HotKeyShare*s.meanNodeLoad())
	var hot []cluster.Unit
	for u, load := range s.in.Load {
		if u.Key == "" || u.Service != s.in.Service || pinned[u.Key] || load <= limit {
			continue
		}
		if u.Shard >= 0 && u.Shard < len(s.shards) {
			hot = append(hot, u)
		}
	}
	slices.SortFunc(hot, func(a, b cluster.Unit) int { return cmp.Compare(a.Key, b.Key) })
	return hot
}

// returnColdPins moves each cold pin to the owner of its shard. The pin is removed
// only once that owner serves it, so that the key never has two owners.
func (s *planState) returnColdPins() {
	for _, pin := range s.pins {
		if !pin.cold || pin.shard.plannedNode == noNode || pin.plannedNode == pin.shard.plannedNode {
			continue
		}
		reason := Unpin
		if pin.currentNode == noNode {
			reason = s.forcedReason(pin.assignment.Owner)
		}
		if !reason.Forced() {
			if s.budget <= 0 {
				continue
			}
			s.budget--
		}
		pin.plannedNode = pin.shard.plannedNode
		pin.reason = reason
	}
}

// canRemove reports whether a cold pin can be removed now: the pin and its shard
// have the same owner, which does not change in this plan and is known to serve
// both. If the shard were still pending, the key would have to wait with it.
func (s *planState) canRemove(pin *unitState) bool {
	unmoved := pin.currentNode != noNode && pin.currentNode == pin.plannedNode
	sameOwner := pin.currentNode == pin.shard.currentNode && pin.currentNode == pin.shard.plannedNode
	return unmoved && sameOwner &&
		s.isServing(pin.unit, pin.assignment.Epoch) && s.isServing(pin.shard.unit, pin.shard.assignment.Epoch)
}

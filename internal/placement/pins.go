package placement

import (
	"cmp"
	"slices"

	"fulmarhinge/internal/cluster"
)

// addHotKeys makes pins of the keys whose load alone is a large part of a
// node's. The pin starts with the shard's owner: often it is enough that key
// and shard can be balanced apart. If the shard is without a usable owner, key
// and shard are placed apart at once.
func (s *state) addHotKeys() {
	for _, u := range s.hotKeys() {
		shard := s.shards[u.Shard]
		weight := min(s.load(u), shard.weight)
		s.addWeight(shard, -weight)
		pin := &unitState{
			unit:    u,
			held:    shard.held,
			weight:  weight,
			reason:  HotKey,
			shard:   shard,
			created: true,
		}
		s.attach(pin)
		s.pins = append(s.pins, pin)
	}
	s.least = newLeastLoaded(s.nodes)
}

// hotKeys returns the keys that are to be pinned, in order of key.
func (s *state) hotKeys() []cluster.Unit {
	pinned := map[string]bool{}
	for _, p := range s.pins {
		pinned[p.unit.Key] = true
	}
	limit := max(MinHotRate, HotShare*s.fairShare())
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

// followShards sends each cold pin to the owner of its shard. It dissolves
// there once it is served, so that no two owners ever hold the key.
func (s *state) followShards() {
	for _, pin := range s.pins {
		if !pin.cold || pin.shard.node == noNode || pin.node == pin.shard.node {
			continue
		}
		reason := Unpin
		if pin.from == noNode {
			reason = s.forcedReason(pin.held.Owner)
		}
		if !reason.Forced() {
			if s.budget <= 0 {
				continue
			}
			s.budget--
		}
		pin.node = pin.shard.node
		pin.reason = reason
	}
}

// canRemove reports whether a cold pin can be dissolved now: it and its shard
// have one owner, that doesn't change, and that is known to serve both. Were
// the shard still pending, the key would have to wait with it.
func (s *state) canRemove(pin *unitState) bool {
	settled := pin.from != noNode && pin.from == pin.node
	together := pin.from == pin.shard.from && pin.from == pin.shard.node
	return settled && together &&
		s.serves(pin.unit, pin.held.Epoch) && s.serves(pin.shard.unit, pin.shard.held.Epoch)
}

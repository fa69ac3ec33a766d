package placement

import (
	"slices"

	"fulmarhinge/internal/cluster"
)

// Apply writes the moves that concern a group into a copy of it and reports
// how many it wrote; a move based on another epoch than the group has is
// skipped. The group itself is not changed, so that a failed conditional
// update leaves nothing behind.
//
// gone must report true only for an incarnation that can run nothing more for
// the service: it has left, or was evicted or replaced by a restart and, where
// backend servers check no fence, the deadlines of all its requests have
// lapsed as well. Such a predecessor is dropped; any other one stays listed
// until a later owner is known to serve.
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
		return a.moveTo(shard, m)
	}
	at := slices.IndexFunc(a.group.Pins, func(p cluster.Pin) bool { return p.Key == m.Unit.Key })
	switch {
	case at < 0 && m.Reason == HotKey:
		return a.addPin(*shard, m)
	case at < 0:
		return false
	case m.Remove:
		return a.removePin(at, shard, m)
	default:
		return a.movePin(&a.group.Pins[at], m)
	}
}

// moveTo gives an assignment a new owner at the next epoch.
func (a *applier) moveTo(held *cluster.Assignment, m Move) bool {
	if held.Epoch != m.FromEpoch {
		return false
	}
	*held = cluster.Assignment{
		Owner:        m.To,
		Epoch:        held.Epoch + 1,
		Predecessors: a.predecessors(*held, m),
	}
	return true
}

// addPin cuts a key out of its shard. The pin's epoch is above the shard's,
// and the shard's is above that of any earlier pin of its keys, so the epochs
// that a key is served at only grow.
func (a *applier) addPin(shard cluster.Assignment, m Move) bool {
	pin := cluster.Pin{Key: m.Unit.Key, Shard: m.Unit.Shard, Assignment: shard}
	if !a.moveTo(&pin.Assignment, m) {
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

// movePin gives a pin another owner than its shard had when it was cut out.
func (a *applier) movePin(pin *cluster.Pin, m Move) bool {
	if !a.moveTo(&pin.Assignment, m) {
		return false
	}
	pin.SplitEpoch = 0
	return true
}

// removePin returns a key to its shard. The owner of both serves both, so all
// earlier owners have released them or are gone; were they still listed, the
// shard's new epoch would have to wait for them again.
func (a *applier) removePin(at int, shard *cluster.Assignment, m Move) bool {
	pin := a.group.Pins[at]
	asPlanned := pin.Epoch == m.FromEpoch && shard.Epoch == m.ShardEpoch
	if !asPlanned || !m.FromServing || pin.Owner != shard.Owner {
		return false
	}
	*shard = cluster.Assignment{Owner: shard.Owner, Epoch: max(shard.Epoch, pin.Epoch) + 1}
	a.group.Pins = slices.Delete(a.group.Pins, at, at+1)
	return true
}

// predecessors lists whom the new owner waits for: the present owner, and the
// earlier ones unless the present owner serves, which proves that they have
// stopped. An owner that returns after others is not listed: its present epoch
// covers its earlier ones, because they belong to the same process, and the
// owners in between are listed, so it can't skip their release. No incarnation
// is therefore listed twice.
func (a *applier) predecessors(held cluster.Assignment, m Move) []cluster.Predecessor {
	var all []cluster.Predecessor
	if !m.FromServing {
		all = append(all, held.Predecessors...)
	}
	if !held.Owner.IsZero() {
		all = append(all, cluster.Predecessor{MemberRef: held.Owner, Epoch: held.Epoch})
	}
	var kept []cluster.Predecessor
	for _, p := range all {
		if p.MemberRef == m.To || a.gone(p.MemberRef) {
			continue
		}
		kept = append(kept, p)
	}
	return kept
}

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

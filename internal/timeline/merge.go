package timeline

import (
	"cmp"
	"slices"
	"time"

	"fulmarhinge/internal/cluster"
)

// Merge merges the events of several processes, ordered by stamp and then by
// node. An event that is in more than one list appears once.
func Merge(lists [][]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, func(a, b Event) bool { return compare(a, b) == 0 })
}

// compare orders events by stamp and node. It returns 0 only for copies of the
// same event, since no two events of one incarnation have the same stamp.
func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Stamp.Wall, b.Stamp.Wall),
		cmp.Compare(a.Stamp.Logical, b.Stamp.Logical),
		cmp.Compare(a.Node.Name, b.Node.Name),
		cmp.Compare(a.Node.Incarnation, b.Node.Incarnation),
	)
}

// Filter selects events. Fields that are not set match all events.
type Filter struct {
	Service string
	// Key also selects the events of its shard, given the shard counts.
	Key string
	// Shard is a shard number; nil for any.
	Shard *int
	// VM is the name of the member that recorded the event or that the event is
	// about.
	VM       string
	Customer string
	// After excludes events up to and including this time; zero excludes none.
	After time.Time
	// ShardCounts is the number of shards of each service. It maps Key to its
	// shard.
	ShardCounts map[string]int
}

// Select returns the events that match the filter, in their order. For a service,
// key or shard it includes events about the members that owned it (such as lease,
// eviction and drain), since they explain why it could not be served.
func (f Filter) Select(events []Event) []Event {
	owners := f.Owners(events)
	selected := []Event{}
	for _, e := range events {
		if f.match(e, owners) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Owners returns the members that owned, or were assigned, the units that match
// a filter by service, key or shard. It is empty for other filters.
func (f Filter) Owners(events []Event) map[cluster.MemberRef]bool {
	owners := map[cluster.MemberRef]bool{}
	if !f.byUnit() {
		return owners
	}
	for _, e := range events {
		if e.Unit != nil && f.matchUnit(*e.Unit) {
			// An event without a member is about the node that recorded it.
			// One with a member may have been recorded by the controller,
			// which need not be an owner.
			owners[subject(e)] = true
		}
	}
	return owners
}

func (f Filter) byUnit() bool { return f.Service != "" || f.Key != "" || f.Shard != nil }

func (f Filter) match(e Event, owners map[cluster.MemberRef]bool) bool {
	if !f.After.IsZero() && e.Stamp.Wall <= f.After.UnixNano() {
		return false
	}
	if f.Customer != "" && e.Customer != f.Customer {
		return false
	}
	if f.VM != "" && e.Node.Name != f.VM && (e.Member == nil || e.Member.Name != f.VM) {
		return false
	}
	if !f.byUnit() {
		return true
	}
	if e.Unit != nil {
		return f.matchUnit(*e.Unit)
	}
	return memberKinds[e.Kind] && owners[subject(e)]
}

// memberKinds are the kinds of events that affect all units of a member.
var memberKinds = map[Kind]bool{
	KindLease: true, KindEviction: true, KindDrain: true, KindMember: true, KindBackend: true,
}

// subject returns the member that an event is about.
func subject(e Event) cluster.MemberRef {
	if e.Member != nil {
		return *e.Member
	}
	return e.Node
}

func (f Filter) matchUnit(u cluster.Unit) bool {
	if f.Service != "" && u.Service != f.Service {
		return false
	}
	if f.Shard != nil && u.Shard != *f.Shard {
		return false
	}
	if f.Key == "" || u.Key == f.Key {
		return true
	}
	n := f.ShardCounts[u.Service]
	return u.Key == "" && n > 0 && u.Shard == cluster.ShardOf(f.Key, n)
}

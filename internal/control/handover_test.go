package control

import (
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
)

// firstUnit is the shard that the tests reassign by hand.
var firstUnit = cluster.Unit{Service: testService, Shard: 0}

// reassign writes a new assignment of the first shard to the platform, as a
// controller elsewhere would, and lets all nodes observe it.
func (f *fleet) reassign(t *testing.T, change func(a *cluster.Assignment)) {
	t.Helper()
	key := cluster.GroupKey(testService, 0)
	var g cluster.Group
	mustDecode(f.store[key].Value, &g)
	change(&g.Shards[0])
	g.ChangeID = "test"
	if _, ok := f.put(Write{Key: key, Expected: f.store[key].Version, Value: cluster.Encode(g)}); !ok {
		t.Fatal("the group could not be written")
	}
	f.observe(key, nil)
}

// observe shows an object to all nodes but one.
func (f *fleet) observe(key string, except *simNode) {
	for _, s := range f.nodes {
		if s != except {
			f.post(s, quantum, Observed{Objects: []platform.Object{f.store[key]}})
		}
	}
}

// The owner loses the unit, gets it back and loses it again, and sees only the
// last of these placements. The next owner waits for the epoch in between.
func TestReleaseCoversAnEpochThatWasSkipped(t *testing.T) {
	f := settled(t, 7, true)
	f.reassign(t, func(a *cluster.Assignment) {
		var others []*simNode
		for _, s := range f.nodes {
			if s.m.self != a.Owner {
				others = append(others, s)
			}
		}
		between, next := others[0], others[1]
		for _, s := range others[2:] {
			if len(s.m.units.own) < len(next.m.units.own) {
				next = s
			}
		}
		*a = cluster.Assignment{Owner: next.m.self, Epoch: a.Epoch + 3, Predecessors: []cluster.Predecessor{
			{MemberRef: between.m.self, Epoch: a.Epoch + 1},
			{MemberRef: a.Owner, Epoch: a.Epoch + 2},
		}}
	})
	gap := f.longestGap(10 * time.Second)
	if left := f.unserved(); len(left) > 0 || f.failure != "" || gap > servedWithin {
		t.Fatalf("%d units are not served, longest gap %s: %s", len(left), gap, f.failure)
	}
}

// A node that leaves is given a unit by a controller that doesn't know it yet,
// and the answer to its last write is late. Others take its units at once.
func TestLeavingNodeServesNothingMore(t *testing.T) {
	f := settled(t, 7, true)
	s := f.nodes[2]
	s.m.Step(f.local(s), DrainRequested{})
	f.advance(100 * time.Millisecond)
	f.slow = 3 * time.Second
	for !s.m.own.left && f.now < time.Minute {
		f.advance(quantum)
	}
	ref := s.m.self
	if !f.recordedGone(ref) {
		t.Fatal("the node did not record that it left")
	}
	f.reassign(t, func(a *cluster.Assignment) {
		*a = cluster.Assignment{Owner: ref, Epoch: a.Epoch + 1, Predecessors: []cluster.Predecessor{
			{MemberRef: a.Owner, Epoch: a.Epoch},
		}}
	})
	for range 20 {
		f.advance(quantum)
		if f.mayDispatch(s, firstUnit) {
			t.Fatal("a node that is recorded as left may dispatch")
		}
	}
	f.slow = 0
	f.observe(cluster.MemberKey(ref.Name), s)
	gap := f.longestGap(5 * time.Second)
	if left := f.unserved(); len(left) > 0 || f.failure != "" || gap > servedWithin {
		t.Fatalf("%d units are not served, longest gap %s: %s", len(left), gap, f.failure)
	}
}

package control

import (
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/view"
)

// firstUnit is the shard that the tests reassign directly.
var firstUnit = cluster.Unit{Service: testService, Shard: 0}

// reassignFirstShard writes a new assignment of the first shard to the
// platform, as a controller on another node would, and lets all nodes observe
// it.
func (f *fleet) reassignFirstShard(t *testing.T, change func(a *cluster.Assignment)) {
	t.Helper()
	key := cluster.GroupKey(testService, 0)
	var g cluster.Group
	mustDecode(f.store[key].Value, &g)
	change(&g.Shards[0])
	g.ChangeID = "test"
	if _, ok := f.put(Write{Key: key, ExpectedVersion: f.store[key].Version, Value: cluster.Encode(g)}); !ok {
		t.Fatal("the group could not be written")
	}
	f.postObserved(key, nil)
}

// postObserved delivers an object to all nodes except one.
func (f *fleet) postObserved(key string, excluded *simNode) {
	for _, s := range f.nodes {
		if s != excluded {
			f.post(s, simStep, Observed{Objects: []platform.Object{f.store[key]}})
		}
	}
}

// The owner loses the unit, regains it and loses it again, but observes only
// the last of these placements. The next owner waits for a release of the
// epoch that the owner never observed.
func TestReleaseCoversSkippedEpoch(t *testing.T) {
	f := settledFleet(t, 7, true)
	f.reassignFirstShard(t, func(a *cluster.Assignment) {
		var others []*simNode
		for _, s := range f.nodes {
			if s.m.self != a.Owner {
				others = append(others, s)
			}
		}
		skippedOwner, nextOwner := others[0], others[1]
		for _, s := range others[2:] {
			if len(s.m.units.local) < len(nextOwner.m.units.local) {
				nextOwner = s
			}
		}
		*a = cluster.Assignment{Owner: nextOwner.m.self, Epoch: a.Epoch + 3, Predecessors: []cluster.Predecessor{
			{MemberRef: skippedOwner.m.self, Epoch: a.Epoch + 1},
			{MemberRef: a.Owner, Epoch: a.Epoch + 2},
		}}
	})
	gap := f.longestGap(10 * time.Second)
	if unserved := f.unserved(); len(unserved) > 0 || f.failure != "" || gap > servedWithin {
		t.Fatalf("%d units are not served, longest gap %s: %s", len(unserved), gap, f.failure)
	}
}

// A leaving node is assigned a unit by a controller that has not yet seen it
// leave, and the answer to its last write is late. Other nodes take over its
// units without waiting, so it must not dispatch any more.
func TestLeavingNodeStopsDispatching(t *testing.T) {
	f := settledFleet(t, 7, true)
	s := f.nodes[2]
	s.m.Step(f.local(s), DrainRequested{})
	f.advance(100 * time.Millisecond)
	f.storeDelay = 3 * time.Second
	for !s.m.own.leaving && f.now < time.Minute {
		f.advance(simStep)
	}
	ref := s.m.self
	if !f.recordedGone(ref) {
		t.Fatal("the node did not record that it left")
	}
	f.reassignFirstShard(t, func(a *cluster.Assignment) {
		*a = cluster.Assignment{Owner: ref, Epoch: a.Epoch + 1, Predecessors: []cluster.Predecessor{
			{MemberRef: a.Owner, Epoch: a.Epoch},
		}}
	})
	for range 20 {
		f.advance(simStep)
		if f.mayDispatch(s, firstUnit) {
			t.Fatal("a node that is recorded as left may dispatch")
		}
	}
	f.storeDelay = 0
	f.postObserved(cluster.MemberKey(ref.Name), s)
	gap := f.longestGap(5 * time.Second)
	if unserved := f.unserved(); len(unserved) > 0 || f.failure != "" || gap > servedWithin {
		t.Fatalf("%d units are not served, longest gap %s: %s", len(unserved), gap, f.failure)
	}
}

// sampleLoads samples a load for each unit that a node serves. The first shard
// has more than a node's share.
func (f *fleet) sampleLoads() {
	for _, s := range f.nodes {
		if !s.alive || s.view == nil {
			continue
		}
		rates := map[cluster.Unit]float64{}
		for u, o := range s.view.Owned {
			if o.State == view.Serving {
				rates[u] = 100
				if u == firstUnit {
					rates[u] = 1000
				}
			}
		}
		s.m.Step(f.local(s), LoadSampled{Rates: rates})
	}
}

// killControllers kills the highest-ranked controllers.
func (f *fleet) killControllers(controllers int) map[cluster.MemberRef]bool {
	lost := map[cluster.MemberRef]bool{}
	for _, s := range f.nodes {
		if r := s.m.controllerRank(testService); r >= 0 && r < controllers {
			lost[s.m.self] = true
			s.alive = false
		}
	}
	return lost
}

// A unit without a load report is not idle. The second controller has received
// the reports too and moves each lost unit once. A lower-ranked controller has
// not received them and must not move units of live owners.
func TestNewControllerMovesOnlyLostUnits(t *testing.T) {
	for controllers := 1; controllers <= 2; controllers++ {
		f := settledFleet(t, 7, true)
		for range 40 {
			f.sampleLoads()
			f.advance(time.Second)
		}
		before := f.shards()
		lost := f.killControllers(controllers)
		for range 15 {
			f.sampleLoads()
			f.advance(time.Second)
		}
		unaffectedMoves, extraMoves := 0, 0
		for i, a := range f.shards() {
			moves := int(a.Epoch - before[i].Epoch)
			if lost[before[i].Owner] {
				extraMoves += moves - 1
			} else {
				unaffectedMoves += moves
			}
		}
		if unaffectedMoves > 0 || (controllers == 1 && extraMoves > 0) {
			t.Errorf("%d controllers lost: %d moves of units of live owners, %d repeated moves of lost units", controllers, unaffectedMoves, extraMoves)
		}
		if unserved := f.unserved(); len(unserved) > 0 || f.failure != "" {
			t.Errorf("%d units are not served: %s", len(unserved), f.failure)
		}
	}
}

func (f *fleet) shards() []cluster.Assignment {
	var g cluster.Group
	mustDecode(f.store[cluster.GroupKey(testService, 0)].Value, &g)
	return g.Shards
}

// With only its own report, a controller would take the units of all other
// owners for idle.
func TestBalanceWaitsForAllReports(t *testing.T) {
	f := settledFleet(t, 7, true)
	for range 40 {
		f.sampleLoads()
		f.advance(time.Second)
	}
	before := f.shards()
	for _, s := range f.nodes {
		c := s.m.serviceControl(testService)
		own := c.reports[s.name]
		clear(c.reports)
		c.reports[s.name] = own
		c.nextBalance = 0
	}
	f.advance(30 * time.Second)
	for i, a := range f.shards() {
		if a.Epoch != before[i].Epoch {
			t.Errorf("shard %d moved from %s to %s", i, before[i].Owner, a.Owner)
		}
	}
}

package control

import (
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
)

// A forced eviction must succeed whatever stage an eviction of the same member
// that is already running has reached.
func TestForcedEvictionDuringRunningEviction(t *testing.T) {
	for wait := time.Duration(0); wait < 700*time.Millisecond; wait += 70 * time.Millisecond {
		f := settledFleet(t, 7, true)
		victim, requester := f.nodes[2], f.nodes[0]
		f.killWithWitnesses(victim)
		f.advance(2*time.Second + wait)
		requester.m.Step(f.local(requester), EvictRequested{ID: 1, Name: victim.name, Force: true})
		f.advance(1500 * time.Millisecond)
		if f.replies[1] != 1 {
			t.Fatalf("request after %s: %d replies", wait, f.replies[1])
		}
		if !f.recordedGone(cluster.MemberRef{Name: victim.name, Incarnation: 1}) {
			t.Fatalf("request after %s: the member is not gone", wait)
		}
	}
}

// killWithWitnesses kills a node and the majority of its witnesses.
func (f *fleet) killWithWitnesses(s *simNode) {
	s.alive = false
	for _, w := range s.m.allWitnesses()[:3] {
		f.node(w.Name).alive = false
	}
	if !f.nodes[0].alive {
		f.start(f.nodes[0])
	}
}

func TestPlatformOutageBoundsPendingSets(t *testing.T) {
	f := settledFleet(t, 7, true)
	f.storeDown = true
	f.nodes[6].alive = false
	f.advance(10 * time.Minute)
	for _, s := range f.nodes[:6] {
		if n := len(s.m.own.pendingSets); n > 2 {
			t.Fatalf("%s has %d pending sets", s.name, n)
		}
	}
}

func TestIsolatedNodeStopsAdmitting(t *testing.T) {
	f := settledFleet(t, 7, true)
	s := f.nodes[3]
	f.inject(fault{Kind: faultCutNode, Node: 3, Arg: 0})
	s.hidesKey = func(string) bool { return true }
	f.advance(testLease.PromiseDuration + applyTimeout + time.Second)
	if s.view.Admitting {
		t.Fatal("a node without a lease and without new objects still admits requests")
	}
	clear(f.cutLinks)
	s.hidesKey = nil
	f.advance(15 * time.Second)
	if !s.view.Admitting {
		t.Fatalf("the node does not admit requests again: %s", s.view.Reason)
	}
}

func TestPlannedStopOfEvictedNodeEnds(t *testing.T) {
	f := settledFleet(t, 7, true)
	s := f.nodes[3]
	s.m.Step(f.local(s), DrainRequested{})
	f.inject(fault{Kind: faultPause, Node: 3, Arg: 3999})
	f.advance(5 * time.Second)
	f.storeDown = true
	f.advance(5 * time.Second)
	if !s.done {
		t.Fatalf("the planned stop did not end: %+v", s.m.Status())
	}
}

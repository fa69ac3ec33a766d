package control

import (
	"testing"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
)

// longestGap runs the fleet for d and returns the longest time for which any
// unit could not be dispatched.
func (f *fleet) longestGap(d time.Duration) time.Duration {
	var longest time.Duration
	end := f.now + d
	for f.now < end && f.failure == "" {
		f.advance(simStep)
		for i := range testShards {
			u := cluster.Unit{Service: testService, Shard: i}
			longest = max(longest, f.now-f.lastServable[u])
		}
	}
	return longest
}

func settledFleet(t *testing.T, n int, fenced bool) *fleet {
	t.Helper()
	f := newFleet(7, n, testService, testConfig(fenced))
	f.requestsOutliveEviction = !fenced
	f.advance(15 * time.Second)
	if unserved := f.unserved(); len(unserved) > 0 || f.failure != "" {
		t.Fatalf("the fleet did not settle: %d units unserved, %s", len(unserved), f.failure)
	}
	return f
}

func TestServedAgainWithinBound(t *testing.T) {
	cases := map[string]func(f *fleet){
		"killed owner":         func(f *fleet) { f.inject(fault{Kind: faultKill, Node: 2}) },
		"killed and restarted": func(f *fleet) { f.inject(fault{Kind: faultRestart, Node: 2}) },
		"paused owner":         func(f *fleet) { f.inject(fault{Kind: faultPause, Node: 2, Arg: 3999}) },
		"lost zone":            func(f *fleet) { f.inject(fault{Kind: faultZone, Node: 2}) },
		"cut both ways":        func(f *fleet) { f.inject(fault{Kind: faultCutNode, Node: 2, Arg: 0}) },
		"receives nothing":     func(f *fleet) { f.cutIncoming("n3") },
		"sends nothing":        func(f *fleet) { f.inject(fault{Kind: faultCutNode, Node: 2, Arg: 1}) },
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			f := settledFleet(t, 7, true)
			inject(f)
			gap := f.longestGap(12 * time.Second)
			if f.failure != "" {
				t.Fatal(f.failure)
			}
			t.Logf("longest gap %s", gap)
			if gap > servedWithin {
				t.Fatalf("a unit was not served for %s, bound %s", gap, servedWithin)
			}
			if unserved := f.unserved(); len(unserved) > 0 {
				t.Fatalf("%d units are not served, first %s", len(unserved), unserved[0])
			}
		})
	}
}

func (f *fleet) cutIncoming(name string) {
	for _, o := range f.nodes {
		f.cutLinks[[2]string{o.name, name}] = true
	}
}

func TestPlatformOutageKeepsUnitsServed(t *testing.T) {
	f := settledFleet(t, 7, true)
	f.storeDown = true
	gap := f.longestGap(60 * time.Second)
	if f.failure != "" {
		t.Fatal(f.failure)
	}
	if gap > simStep {
		t.Fatalf("a unit was not served for %s during the outage", gap)
	}
}

func TestPausedNodeKeepsUnitsDuringPlatformOutage(t *testing.T) {
	f := settledFleet(t, 7, true)
	f.storeDown = true
	f.inject(fault{Kind: faultPause, Node: 1, Arg: 3000})
	f.advance(3 * time.Second)
	f.advance(time.Second)
	if unserved := f.unserved(); len(unserved) > 0 {
		t.Fatalf("%d units are not served one second after the pause", len(unserved))
	}
}

func TestPlannedStopHandsOver(t *testing.T) {
	f := settledFleet(t, 7, true)
	s := f.nodes[3]
	s.m.Step(f.local(s), DrainRequested{})
	gap := f.longestGap(8 * time.Second)
	if f.failure != "" {
		t.Fatal(f.failure)
	}
	if !s.done {
		t.Fatalf("the stop is not complete: %+v", s.m.Status())
	}
	if gap > maxRunTime+500*time.Millisecond {
		t.Fatalf("a unit was not served for %s during a planned stop", gap)
	}
}

func TestStepClampsTime(t *testing.T) {
	m := New(Params{Self: cluster.Member{MemberRef: cluster.MemberRef{Name: "a"}}, Lease: testLease, WitnessCount: 5})
	m.Step(clock.Mono(time.Hour), Tick{})
	m.Step(clock.Mono(time.Minute), Tick{})
	if m.now != clock.Mono(time.Hour) {
		t.Fatalf("now is %d after a step with an earlier time", m.now)
	}
}

// A process that starts after a predecessor's incarnation has ended has no
// record of when it ended.
func TestUnfencedPredecessorThatEndedEarlier(t *testing.T) {
	f := newFleet(1, 7, testService, testConfig(false))
	f.requestsOutliveEviction = true
	f.advance(6 * time.Second)
	f.inject(fault{Kind: faultPause, Node: 1, Arg: 1301})
	f.advance(1301 * time.Millisecond)
	f.inject(fault{Kind: faultZone, Node: 0, Arg: 281})
	f.advance(281 * time.Millisecond)
	f.healAndSettle()
	if unserved := f.unserved(); len(unserved) > 0 || f.failure != "" {
		t.Fatalf("%d units are not served: %s", len(unserved), f.failure)
	}
}

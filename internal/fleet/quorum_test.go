package fleet

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// TestGoneMembersDoNotBlockNewLeader guards against keys that nobody is granted for MaxOutage: most members are gone for
// good and have been evicted, the leader is lost, and then all nodes that are left restart.
func TestGoneMembersDoNotBlockNewLeader(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		s := newStableSim(seed, 10)
		s.runUntil(s.now.Add(8 * time.Second))
		leader := s.leader()
		gone := 0
		for _, n := range s.nodes {
			if n != leader && gone < 6 {
				gone++
				n.kill()
				n.server.up = false
			}
		}
		// The members are evicted and their rows given on, but they are still listed.
		s.awaitFor(t, 10*time.Second, "the rows of the lost members are given on", func() bool { return s.heldKeys() == MaxKey+1 })
		s.killNode(leader, time.Second)
		s.awaitFor(t, 5*time.Second, "another node leads", func() bool { return s.leader() != nil })
		s.runUntil(s.now.Add(500 * time.Millisecond))
		for _, n := range s.nodes {
			s.killNode(n, 1300*time.Millisecond)
		}
		var left []*simNode
		for _, n := range s.nodes {
			if n.server.up {
				left = append(left, n)
			}
		}
		if len(left) != 4 {
			t.Fatalf("%d servers are left", len(left))
		}
		s.nodes = left
		s.runUntil(s.now.Add(1500 * time.Millisecond))
		s.awaitFor(t, 9*time.Second, "all keys are held again", func() bool { return s.heldKeys() == MaxKey+1 })
		reportViolations(t, seed, s)
	}
}

var (
	firstLongSeed = flag.Int64("longfirst", 1, "first seed of TestSingleOwnerUnderLongFaults")
	longSeedCount = flag.Int64("longcount", 30, "number of seeds of TestSingleOwnerUnderLongFaults")
)

// TestSingleOwnerUnderLongFaults injects faults that outlast an eviction, several at a time, so that leaders change while
// members are evicted. No key is ever held by two backend servers, and every key is held again afterwards.
func TestSingleOwnerUnderLongFaults(t *testing.T) {
	for seed := *firstLongSeed; seed < *firstLongSeed+*longSeedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(seed, 3+int(seed%8))
			s.runUntil(s.now.Add(5 * time.Second))
			for range 18 {
				n := s.nodes[s.rng.Intn(len(s.nodes))]
				duration := s.randomDuration(1500, 14000)
				faults := []func(*simNode, time.Duration){
					s.killNode, s.freeze, s.partitionNode, s.partitionStore, s.partitionPeers, s.killLeader, s.killSeveral, s.partitionSeveral,
				}
				faults[s.rng.Intn(len(faults))](n, duration)
				if s.rng.Intn(4) == 0 {
					s.startFault()
				}
				s.runUntil(s.now.Add(s.randomDuration(50, 4000)))
			}
			s.runUntil(s.now.Add(15 * time.Second))
			s.endFaults()
			reportViolations(t, seed, s)
		})
	}
}

// partitionPeers disconnects a node from all others, but not from the store.
func (s *sim) partitionPeers(n *simNode, duration time.Duration) {
	s.log("%s disconnected from the others for %v", n.name, duration)
	n.partitioned = true
	s.after(duration, func() { n.partitioned = false })
}

// partitionSeveral disconnects about half of the nodes from the others, and each of them from the store as well or not.
func (s *sim) partitionSeveral(_ *simNode, duration time.Duration) {
	for _, n := range s.nodes {
		switch s.rng.Intn(4) {
		case 0:
			s.partitionPeers(n, duration)
		case 1:
			s.partitionNode(n, duration)
		}
	}
}

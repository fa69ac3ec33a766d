package fleet

import (
	"testing"
	"time"
)

// TestLeaderResumes restarts the leader in an outage of the store: every key
// stays held until the store is back, and nothing is written meanwhile.
func TestLeaderResumes(t *testing.T) {
	for _, nodes := range []int{3, 4, 7} {
		s := newSim(int64(nodes), nodes)
		s.calm = true
		s.runUntil(s.now.Add(8 * time.Second))
		s.store.down = true
		s.runUntil(s.now.Add(3 * time.Second))
		version := s.store.version
		for range 2 {
			s.killLeader(nil, 600*time.Millisecond)
			for range 30 {
				s.runUntil(s.now.Add(100 * time.Millisecond))
				if held := s.heldKeys(); held != MaxKey+1 {
					t.Fatalf("%d nodes: %d of %d keys are held", nodes, held, MaxKey+1)
				}
			}
		}
		s.store.down = false
		s.runUntil(s.now.Add(6 * time.Second))
		if s.leader() == nil || s.store.version == version {
			t.Errorf("%d nodes: nobody leads after the outage", nodes)
		}
		if held := s.heldKeys(); held != MaxKey+1 {
			t.Errorf("%d nodes: after the outage %d of %d keys are held", nodes, held, MaxKey+1)
		}
		reportPlay(t, int64(nodes), s)
	}
}

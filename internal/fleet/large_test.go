package fleet

import (
	"testing"
	"time"
)

// recoveryTime is the time within which the users expect service after all VMs have returned.
const recoveryTime = 15 * time.Second

// newSmallLinkFleet returns a started fleet whose links are slow against the size of
// its document.
func newSmallLinkFleet(seed int64) *sim {
	s := newSimOverLinks(seed, 80, 11)
	s.reliable = true
	s.runUntil(s.now.Add(10 * time.Second))
	return s
}

// TestNewLeaderDoesNotFillItsLink guards against a new leader whose documents to members that it has not heard from
// delay its answers until it is replaced in turn.
func TestNewLeaderDoesNotFillItsLink(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		s := newSmallLinkFleet(seed)
		old := s.leader()
		term := old.machine.doc.Term
		old.storeUnreachable = true
		s.runUntil(s.now.Add(7 * time.Second))
		old.storeUnreachable = false
		s.runUntil(s.now.Add(3 * time.Second))
		leader := s.leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
		if got := leader.machine.doc.Term; got != term+1 {
			t.Errorf("seed %d: term %d after term %d, expected one change of the leader", seed, got, term)
		}
		if held := s.heldKeys(); held != MaxKey+1 {
			t.Errorf("seed %d: %d of %d keys are held", seed, held, MaxKey+1)
		}
	}
}

// TestKeysAreServedAfterAllVMsRestart guards against a fleet that finds no lasting leader after a loss of all VMs.
func TestKeysAreServedAfterAllVMsRestart(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		s := newSmallLinkFleet(seed)
		for _, n := range s.nodes {
			n.kill()
			n.server.up = false
		}
		s.runUntil(s.now.Add(time.Second))
		for _, n := range s.nodes {
			n.startServer()
			n.start()
		}
		s.runUntil(s.now.Add(recoveryTime))
		if held := s.heldKeys(); held != MaxKey+1 {
			t.Errorf("seed %d: %d of %d keys are held %v after all VMs were back", seed, held, MaxKey+1, recoveryTime)
		}
	}
}

// TestStrongestMemberClaims guards against a leader on a small VM while large ones are there to lead.
func TestStrongestMemberClaims(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		s := newSim(seed, 40)
		s.reliable = true
		for i, n := range s.nodes {
			n.kill()
			n.weight = 1
			if i%10 == int(seed) {
				n.weight = 16
			}
			n.start()
		}
		s.runUntil(s.now.Add(8 * time.Second))
		for change := range 3 {
			old := s.leader()
			old.storeUnreachable = true
			for s.leader() == old {
				s.runUntil(s.now.Add(20 * time.Millisecond))
			}
			if n := s.leader(); n.weight != 16 {
				t.Errorf("seed %d, change %d: %s of weight %v leads", seed, change+1, n.name, n.weight)
			}
			s.runUntil(s.now.Add(2 * time.Second))
			old.storeUnreachable = false
		}
	}
}

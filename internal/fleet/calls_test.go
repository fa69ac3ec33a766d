package fleet

import (
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// TestOutageCalls checks how often a fleet of 100 members calls the platform while it
// does not answer: only the leader and the members that may claim first do so, and the
// leadership and all keys stay.
func TestOutageCalls(t *testing.T) {
	s := newSim(3, 100)
	s.reliable = true
	s.runUntil(s.now.Add(15 * time.Second))
	s.store.down = true
	const outage = 8 * time.Second
	before := s.storeCalls
	s.runUntil(s.now.Add(outage))
	callers := 1 + claimCandidates
	if calls, bound := s.storeCalls-before, callers*int(outage/readInterval+1); calls > bound {
		t.Errorf("%d calls during %v, expected at most %d", calls, outage, bound)
	}
	if held := s.heldKeys(); held != MaxKey+1 {
		t.Errorf("%d of %d keys are held", held, MaxKey+1)
	}
	s.store.down = false
	s.runUntil(s.now.Add(5 * time.Second))
	reportViolations(t, 3, s)
}

// TestConfigWatchers checks that the leader and its standbys watch the configuration,
// that other members do so once the leader is silent, and that there are as few
// watchers again after a new leader has been found.
func TestConfigWatchers(t *testing.T) {
	s := newSim(5, 30)
	s.reliable = true
	watchers := func() int {
		n := 0
		for _, node := range s.nodes {
			if node.up && node.machine.WatchesConfig() {
				n++
			}
		}
		return n
	}
	s.runUntil(s.now.Add(10 * time.Second))
	if n := watchers(); n != 1+configStandbys {
		t.Errorf("%d nodes watch the configuration", n)
	}
	old := s.leader()
	old.kill()
	most := 0
	for range 40 {
		s.runUntil(s.now.Add(100 * time.Millisecond))
		most = max(most, watchers())
	}
	if n := watchers(); s.leader() == nil || n != 1+configStandbys || most > 2*(1+configStandbys) {
		t.Errorf("4 s after the leader's end %d nodes watch the configuration, %d at most since", n, most)
	}
	for _, node := range s.nodes {
		node.partitioned = node.up
	}
	s.runUntil(s.now.Add(ownReadTimeout + time.Second))
	if n := watchers(); n != len(s.nodes)-1 {
		t.Errorf("%d nodes watch the configuration while they are partitioned", n)
	}
}

// TestPlannedLeaderStop stops the leader of a fleet of 100 members as planned: one member
// takes over at once, and the others leave the platform alone.
func TestPlannedLeaderStop(t *testing.T) {
	s := newSim(9, 100)
	s.reliable = true
	s.runUntil(s.now.Add(15 * time.Second))
	old := s.leader()
	before := s.storeCalls
	old.step(StopRequested{})
	s.runUntil(s.now.Add(500 * time.Millisecond))
	if l := s.leader(); l == nil || l == old {
		t.Fatal("no other leader 500 ms after the planned stop began")
	}
	s.runUntil(s.now.Add(time.Second))
	// One write to resign, one to claim, and the leaders' proofs and plans.
	if calls := s.storeCalls - before; calls > 12 {
		t.Errorf("%d calls in the 1.5 s after the planned stop began", calls)
	}
	reportViolations(t, 9, s)
}

// TestLaggingMemberGetsDocumentOnce sends the leader several statuses of a member that is
// many versions behind: the whole document is sent to it once in a resendInterval.
func TestLaggingMemberGetsDocumentOnce(t *testing.T) {
	s := newSim(21, 4)
	s.reliable = true
	s.runUntil(s.now.Add(8 * time.Second))
	leader := s.leader()
	var lagging *simNode
	for _, n := range s.nodes {
		if n != leader {
			lagging = n
		}
	}
	m := leader.machine
	m.Ready()
	whole := 0
	for i := range 10 {
		m.Step(s.now.Add(time.Duration(i)*resendInterval/10), Message{
			From: cluster.MemberRef{Name: lagging.name, Incarnation: lagging.incarnation},
			Body: &wire.Control{Body: &wire.Control_NodeStatus{NodeStatus: &wire.NodeStatus{
				Seq: 1<<60 + uint64(i), Term: m.doc.Term, DocumentVersion: 1, PeerAddr: lagging.name, Verified: true,
			}}},
		})
		for _, out := range m.Ready().Messages {
			if out.Body.GetObjects() != nil {
				whole++
			}
		}
	}
	if whole != 1 {
		t.Errorf("the whole document was sent %d times", whole)
	}
}

// TestConfigReads checks how often a fleet of 100 members reads the configuration from the
// platform: in calm only the leader does, and after its end each member a few times until
// another one answers.
func TestConfigReads(t *testing.T) {
	const members = 100
	s := newSim(11, members)
	s.reliable = true
	s.runUntil(s.now.Add(12 * time.Second))
	before := s.configCalls
	const calm = 12 * time.Second
	s.runUntil(s.now.Add(calm))
	if n, bound := s.configCalls-before, int(calm/configPollInterval)+1; n > bound {
		t.Errorf("%d reads in %v of calm, expected at most %d", n, calm, bound)
	}
	s.leader().kill()
	before = s.configCalls
	s.runUntil(s.now.Add(5 * time.Second))
	if n, bound := s.configCalls-before, 3*members; n > bound {
		t.Errorf("%d reads in the 5 s after the leader's end, expected at most %d", n, bound)
	}
}

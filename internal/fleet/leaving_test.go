package fleet

import (
	"testing"
	"time"
)

// TestLeavingServerStaysLeaving checks that a backend server that has announced that it
// leaves is not used again by later reports of the same instance, also after its node or
// the leader has restarted; the next instance is.
func TestLeavingServerStaysLeaving(t *testing.T) {
	tests := []struct {
		name    string
		restart func(s *sim, n *simNode)
	}{
		{"no restart", func(*sim, *simNode) {}},
		{"its node restarts", func(_ *sim, n *simNode) { n.kill(); n.start() }},
		{"the leader restarts", func(s *sim, _ *simNode) { l := s.leader(); l.kill(); l.start() }},
		{"all nodes restart", func(s *sim, _ *simNode) {
			for _, n := range s.nodes {
				n.kill()
				n.start()
			}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newSim(17, 4)
			s.reliable = true
			s.runUntil(s.now.Add(8 * time.Second))
			var n *simNode
			for _, other := range s.nodes {
				if other != s.leader() {
					n = other
				}
			}
			n.machine.Deregister(s.now, Deregistration{ID: n.server.instance.ID, StartedMs: n.server.instance.StartedMs})
			n.applyReady()
			s.runUntil(s.now.Add(3 * time.Second))
			tc.restart(s, n)
			for range 80 {
				s.runUntil(s.now.Add(100 * time.Millisecond))
				if len(n.server.holds) > 0 {
					t.Fatalf("the server that has left holds %d rows", len(n.server.holds))
				}
				for _, other := range s.nodes {
					if d := other.machine.doc; d != nil && d.Members[n.name].usable("svc") {
						t.Fatalf("%s counts the server that has left as usable", other.name)
					}
				}
			}
			n.startServer()
			s.runUntil(s.now.Add(10 * time.Second))
			if m := s.leader().machine.doc.Members[n.name]; m == nil || m.Server == nil || !m.Server.Ready {
				t.Error("the next server instance is not used")
			}
			reportViolations(t, 17, s)
		})
	}
}

// TestLeavingServerKeepsRowsWhenItRefusesConnections guards against rows that are given on while a server that has
// closed its listener still works on requests for them.
func TestLeavingServerKeepsRowsWhenItRefusesConnections(t *testing.T) {
	s := newStableSim(2, 4)
	n := s.nodes[1]
	n.server.ready = false
	n.server.report(false)
	s.runUntil(s.now.Add(20 * time.Millisecond))
	n.step(ServerDown{Instance: n.server.instance})
	if n.machine.local.generation != 0 || !n.machine.local.alive {
		t.Error("the node has given up the rows of a server that leaves")
	}
	s.runUntil(s.now.Add(8 * time.Second))
	if held := s.heldKeys(); held != MaxKey+1 {
		t.Errorf("%d of %d keys are held", held, MaxKey+1)
	}
	reportViolations(t, 2, s)
}

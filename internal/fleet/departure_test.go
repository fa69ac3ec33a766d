package fleet

import (
	"testing"
	"time"
)

// TestDeregistrationIsKept guards against a server that is sent requests after its deregistration was acknowledged: the
// node knew of no live server then, and a report that was late made the server ready again.
func TestDeregistrationIsKept(t *testing.T) {
	type step func(s *sim, n *simNode)
	run := func(d time.Duration) step { return func(s *sim, _ *simNode) { s.runUntil(s.now.Add(d)) } }
	silent := func(s *sim, n *simNode) {
		n.server.reportsLost = true
		s.runUntil(s.now.Add(DefaultTiming().Lease + 2*time.Second))
	}
	restart := func(_ *sim, n *simNode) { n.kill(); n.start() }
	deregister := func(s *sim, n *simNode) {
		n.machine.Deregister(s.now, Deregistration{ID: n.server.instance.ID, StartedMs: n.server.instance.StartedMs})
		n.applyReady()
	}
	deregisterWithoutStart := func(s *sim, n *simNode) {
		n.machine.Deregister(s.now, Deregistration{ID: n.server.instance.ID, ReceivedMs: n.server.instance.StartedMs + 500})
		n.applyReady()
	}
	cutOff := func(_ *sim, n *simNode) { n.partitioned, n.storeUnreachable = true, true }
	reconnect := func(_ *sim, n *simNode) { n.partitioned, n.storeUnreachable = false, false }
	tests := []struct {
		name  string
		steps []step
	}{
		{"silent server", []step{silent, deregister, run(time.Second)}},
		{"silent server, node restarts", []step{silent, deregister, run(time.Second), restart, run(time.Second)}},
		{"silent server, all nodes restart", []step{silent, deregister, run(time.Second), func(s *sim, _ *simNode) {
			for _, other := range s.nodes {
				restart(s, other)
			}
		}, run(5 * time.Second)}},
		{"node just started", []step{func(_ *sim, n *simNode) { n.server.reportsLost = true }, restart, deregister, run(time.Second)}},
		{"node just started, again", []step{
			func(_ *sim, n *simNode) { n.server.reportsLost = true }, restart, run(500 * time.Millisecond), deregister, run(time.Second), restart,
			run(500 * time.Millisecond),
		}},
		{"node without the document", []step{
			func(_ *sim, n *simNode) { n.server.reportsLost = true }, cutOff, restart, deregisterWithoutStart, run(time.Second), reconnect,
		}},
		{"late report before the document", []step{
			deregister, func(_ *sim, n *simNode) { n.server.reportsLost = true }, run(time.Second), cutOff, restart,
			func(_ *sim, n *simNode) { n.server.reportsLost = false; n.server.report(false) }, run(100 * time.Millisecond), reconnect,
			run(3 * time.Second),
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newStableSim(11, 4)
			s.runUntil(s.now.Add(8 * time.Second))
			n := s.follower()
			for _, apply := range tc.steps {
				apply(s, n)
			}
			n.server.reportsLost = false
			n.server.report(false)
			for end := s.now.Add(3 * time.Second); s.now < end; {
				s.runUntil(s.now.Add(50 * time.Millisecond))
				if n.machine.Server().Ready {
					t.Fatal("the server that has left counts as ready")
				}
				// The other nodes learn of it through the leader.
				for _, other := range s.nodes {
					if d := other.machine.doc; d != nil && d.Members[n.name].usable("svc") && end.Sub(s.now) < 2*time.Second {
						t.Fatalf("%s counts the server that has left as usable", other.name)
					}
				}
			}
			if _, left := n.machine.LeavingSince(n.server.instance); !left {
				t.Error("the node does not know since when the server leaves")
			}
			n.server.instance.StartedMs += 1000
			n.startServer()
			s.runUntil(s.now.Add(15 * time.Second))
			if m := s.leader().machine.doc.Members[n.name]; m == nil || m.Server == nil || !m.Server.Ready {
				t.Error("the next server instance is not used")
			}
			if held := s.heldKeys(); held != MaxKey+1 {
				t.Errorf("%d of %d keys are held", held, MaxKey+1)
			}
			reportViolations(t, 11, s)
		})
	}
}

// TestLateDeregistrationOfEarlierInstance guards against a server that is never sent a request, because the deregistration
// of an earlier instance with the same id came late.
func TestLateDeregistrationOfEarlierInstance(t *testing.T) {
	s := newStableSim(4, 3)
	n := s.follower()
	earlier := n.server.instance
	n.startServer()
	s.runUntil(s.now.Add(6 * time.Second))
	n.machine.Deregister(s.now, Deregistration{ID: earlier.ID, StartedMs: earlier.StartedMs})
	n.applyReady()
	s.runUntil(s.now.Add(2 * time.Second))
	if !n.machine.Server().Ready {
		t.Error("the later instance counts as leaving")
	}
}

// TestDeregistrationWithoutStart guards against the next instance of a server that is never sent a request: the clock of
// the node was ahead when the earlier one deregistered without its start.
func TestDeregistrationWithoutStart(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		s := newStableSim(4, 3)
		n := s.follower()
		if restarted {
			n.server.reportsLost = true
			n.kill()
			n.start()
			s.runUntil(s.now.Add(time.Second))
		}
		n.machine.Deregister(s.now, Deregistration{ID: n.server.instance.ID, ReceivedMs: n.server.instance.StartedMs + 60000})
		n.applyReady()
		s.runUntil(s.now.Add(2 * time.Second))
		n.startServer()
		s.runUntil(s.now.Add(8 * time.Second))
		if !n.machine.Server().Ready {
			t.Errorf("node restarted %v: the later instance counts as leaving", restarted)
		}
	}
}

// TestLeavingSinceOfEarlierProcess guards against a drain period that begins again: a report with which a server says that
// it leaves was acknowledged by an earlier process of the node.
func TestLeavingSinceOfEarlierProcess(t *testing.T) {
	s := newStableSim(5, 3)
	n := s.follower()
	n.server.ready = false
	n.server.report(false)
	s.runUntil(s.now.Add(time.Second))
	since, left := n.machine.LeavingSince(n.server.instance)
	if age := s.now.Sub(since); !left || age < 900*time.Millisecond || age > 1100*time.Millisecond {
		t.Errorf("the server is known to leave since %v, expected some 1 s", age)
	}
	n.kill()
	n.start()
	n.server.report(false)
	s.runUntil(s.now.Add(500 * time.Millisecond))
	since, left = n.machine.LeavingSince(n.server.instance)
	if age := s.now.Sub(since); !left || age < time.Minute {
		t.Errorf("after a restart the server is known to leave since %v, expected a time before every drain period", age)
	}
}

// TestReportWithOddSequenceNumber guards against a server whose reports are all stale after one odd one.
func TestReportWithOddSequenceNumber(t *testing.T) {
	s := newStableSim(1, 3)
	m, srv := s.nodes[0].machine, s.nodes[0].server
	report := Report{Instance: srv.instance, Service: "svc", Slots: 8, Ready: true, Seq: 1 << 52}
	if !m.Report(s.now, report).Stale {
		t.Error("a sequence number that is far off was accepted")
	}
	report.Seq = srv.seq + 1
	if m.Report(s.now, report).Stale {
		t.Error("the next report is stale")
	}
}

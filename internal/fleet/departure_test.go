package fleet

import (
	"testing"
	"time"
)

// departureStep is a step of a play in which the server of a node leaves.
type departureStep func(s *sim, n *simNode)

func runFor(d time.Duration) departureStep {
	return func(s *sim, _ *simNode) { s.runUntil(s.now.Add(d)) }
}

func loseReports(_ *sim, n *simNode) { n.server.reportsLost = true }

// fallSilent loses the reports until the node takes the server for silent.
func fallSilent(s *sim, n *simNode) {
	n.server.reportsLost = true
	s.runUntil(s.now.Add(DefaultTiming().Lease + 2*time.Second))
}

func reportAgain(_ *sim, n *simNode) {
	n.server.reportsLost = false
	n.server.report(false)
}

func restartNode(_ *sim, n *simNode) { n.kill(); n.start() }

func restartAllNodes(s *sim, _ *simNode) {
	for _, n := range s.nodes {
		restartNode(s, n)
	}
}

func cutOff(_ *sim, n *simNode)    { n.partitioned, n.storeUnreachable = true, true }
func reconnect(_ *sim, n *simNode) { n.partitioned, n.storeUnreachable = false, false }

func deregister(s *sim, n *simNode) {
	n.machine.Deregister(s.now, Deregistration{ID: n.server.instance.ID, StartedMs: n.server.instance.StartedMs})
	n.applyReady()
}

func deregisterWithoutStart(s *sim, n *simNode) {
	n.machine.Deregister(s.now, Deregistration{ID: n.server.instance.ID, ReceivedMs: n.server.instance.StartedMs + 500})
	n.applyReady()
}

// TestDeregistrationIsKept guards against a server that is sent requests after its deregistration was acknowledged: the
// node knew of no live server then, and a report that was late made the server ready again.
func TestDeregistrationIsKept(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name  string
		steps []departureStep
	}{
		{"silent server", []departureStep{fallSilent, deregister, runFor(second)}},
		{"silent server, node restarts", []departureStep{fallSilent, deregister, runFor(second), restartNode, runFor(second)}},
		{"silent server, all nodes restart", []departureStep{fallSilent, deregister, runFor(second), restartAllNodes, runFor(5 * second)}},
		{"node just started", []departureStep{loseReports, restartNode, deregister, runFor(second)}},
		{"node just started, again", []departureStep{
			loseReports, restartNode, runFor(second / 2), deregister, runFor(second), restartNode, runFor(second / 2),
		}},
		{"node without the document", []departureStep{loseReports, cutOff, restartNode, deregisterWithoutStart, runFor(second), reconnect}},
		{"late report before the document", []departureStep{
			deregister, loseReports, runFor(second), cutOff, restartNode, reportAgain, runFor(second / 10), reconnect, runFor(3 * second),
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newStableSim(11, 4)
			s.runUntil(s.now.Add(8 * second))
			n := s.follower()
			for _, apply := range tc.steps {
				apply(s, n)
			}
			reportAgain(s, n)
			checkHasLeft(t, s, n)
			checkNextInstance(t, s, n)
			reportViolations(t, 11, s)
		})
	}
}

// checkHasLeft checks for some time that no node counts the server of a node as usable.
func checkHasLeft(t *testing.T, s *sim, n *simNode) {
	t.Helper()
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
}

// checkNextInstance checks that the next instance of the server is used.
func checkNextInstance(t *testing.T, s *sim, n *simNode) {
	t.Helper()
	n.server.instance.StartedMs += 1000
	n.startServer()
	s.runUntil(s.now.Add(15 * time.Second))
	if m := s.leader().machine.doc.Members[n.name]; m == nil || m.Server == nil || !m.Server.Ready {
		t.Error("the next server instance is not used")
	}
	if held := s.heldKeys(); held != MaxKey+1 {
		t.Errorf("%d of %d keys are held", held, MaxKey+1)
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

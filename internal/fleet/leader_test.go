package fleet

import (
	"fmt"
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

// newStableSim returns a fleet that has finished starting, on a network without
// faults.
func newStableSim(seed int64, nodes int) *sim {
	s := newSim(seed, nodes)
	s.reliable = true
	s.runUntil(s.now.Add(6 * time.Second))
	return s
}

// TestLeaderWithoutPlatform disconnects only the leader from the platform: the
// leadership changes exactly once, and every key stays held meanwhile.
func TestLeaderWithoutPlatform(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		s := newStableSim(seed, 6)
		old := s.leader()
		term := old.machine.doc.Term
		old.storeUnreachable = true
		start := s.now
		for s.leader() == old && s.now.Sub(start) < 10*time.Second {
			s.runUntil(s.now.Add(20 * time.Millisecond))
			if held := s.heldKeys(); held != MaxKey+1 {
				t.Fatalf("seed %d: %d keys are held", seed, held)
			}
		}
		if took := s.now.Sub(start); took > 3*time.Second {
			t.Errorf("seed %d: the leadership changed after %v", seed, took)
		}
		s.runUntil(s.now.Add(3 * time.Second))
		if newTerm := s.leader().machine.doc.Term; newTerm != term+1 {
			t.Errorf("seed %d: term %d after term %d, expected one change of the leader", seed, newTerm, term)
		}
	}
}

// TestPlatformOutage makes the platform unavailable to all nodes for longer
// than a lease, and restarts a node meanwhile: every key stays with its holder,
// including those of the restarted node.
func TestPlatformOutage(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		s := newStableSim(seed, 6)
		s.store.down = true
		s.runUntil(s.now.Add(4 * time.Second))
		restarted := s.nodes[0]
		if restarted == s.leader() {
			restarted = s.nodes[1]
		}
		restarted.kill()
		s.runUntil(s.now.Add(400 * time.Millisecond))
		restarted.start()
		for range 300 {
			s.runUntil(s.now.Add(20 * time.Millisecond))
			if held := s.heldKeys(); held != MaxKey+1 {
				t.Fatalf("seed %d: %d keys are held in the outage", seed, held)
			}
		}
	}
}

// TestMemberLoss ends a node and its server without notice: their keys are held
// again within 7 s.
func TestMemberLoss(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		s := newStableSim(seed, 6)
		lost := s.nodes[0]
		if lost == s.leader() {
			lost = s.nodes[1]
		}
		start := s.now
		lost.kill()
		lost.server.up = false
		for s.heldKeys() != MaxKey+1 && s.now.Sub(start) < 15*time.Second {
			s.runUntil(s.now.Add(20 * time.Millisecond))
		}
		// The limit covers the eviction timeout, a lease, two writes and the
		// next owner's report.
		if took := s.now.Sub(start); took > 7*time.Second {
			t.Errorf("seed %d: all keys were held again only after %v", seed, took)
		}
	}
}

// TestServerLeaving checks that a leaving server hands over all its keys, with
// release tokens.
func TestServerLeaving(t *testing.T) {
	s := newStableSim(3, 6)
	s.nodes[2].server.ready = false
	s.runUntil(s.now.Add(3 * time.Second))
	if n := len(s.nodes[2].server.holds); n != 0 {
		t.Errorf("leaving server still holds %d rows", n)
	}
	if held := s.heldKeys(); held != MaxKey+1 {
		t.Errorf("%d keys are held", held)
	}
	doc := s.leader().machine.doc
	tokens := 0
	for _, r := range doc.Tables["svc"] {
		if r.Token != "" {
			tokens++
		}
	}
	if tokens == 0 {
		t.Error("no row was handed over with a token")
	}
}

// TestUndecidedWrites loses the answers of two writes that expect the same
// version. Either may have taken effect, so the leader may renew leases only if
// it has a majority of the members of both documents.
func TestUndecidedWrites(t *testing.T) {
	s := newStableSim(1, 3)
	s.store.down = true
	leader := s.leader()
	m := leader.machine
	larger := m.doc.clone()
	for i := range 4 {
		name := fmt.Sprintf("x%d", i)
		larger.Members[name] = &Member{MemberRef: cluster.MemberRef{Name: name, Incarnation: 1}}
	}
	for _, doc := range []*Document{larger, m.doc.clone()} {
		m.update(doc)
		// Neither write reaches the platform.
		m.Ready()
		leader.step(DocumentWritten{Err: platform.ErrUnknown.New("lost")})
	}
	s.runUntil(s.now.Add(DefaultTiming().MaxProofAge + time.Second))
	if m.mayRenew() {
		t.Error("leader may renew leases without a majority of the members of the first write")
	}
}

// TestUnlistedNodeClaimsLast starts a node that is not listed and reaches only
// the platform. It must not claim the leadership while an earlier leader may
// renew leases, and must claim it after all members have been lost permanently.
func TestUnlistedNodeClaimsLast(t *testing.T) {
	s := newStableSim(1, 3)
	s.nodes = append(s.nodes, &simNode{sim: s, name: "x"})
	unlisted := s.nodes[3]
	unlisted.startServer()
	unlisted.partitioned = true
	unlisted.start()
	term := s.leader().machine.doc.Term
	s.runUntil(s.now.Add(8 * time.Second))
	if newTerm := s.leader().machine.doc.Term; newTerm != term {
		t.Error("unlisted node claimed the leadership while the members were running")
	}
	for _, n := range s.nodes[:3] {
		n.kill()
		n.server.up = false
	}
	s.runUntil(s.now.Add(40 * time.Second))
	if held := s.heldKeys(); held != MaxKey+1 {
		t.Errorf("%d keys are held 40 s after the last member was lost", held)
	}
}

// renewals counts the status answers that a leader sends to a member, and those
// that renew its lease.
func renewals(r Ready, addr string) (answers, renewed int) {
	for _, m := range r.Messages {
		if a := m.Body.GetStatusAnswer(); a != nil && m.Addr == addr {
			answers++
			if a.GetRenewed() {
				renewed++
			}
		}
	}
	return answers, renewed
}

// TestRestartedMemberNeedsMajority restarts a member during an outage. A later
// leader may have moved its rows before the restart, so the leader renews it
// only once a majority is known to have followed its term since the restart.
func TestRestartedMemberNeedsMajority(t *testing.T) {
	s := newStableSim(1, 5)
	leader := s.leader()
	m := leader.machine
	restarted := s.nodes[0]
	if restarted == leader {
		restarted = s.nodes[1]
	}
	ref := cluster.MemberRef{Name: restarted.name, Incarnation: restarted.incarnation + 1}
	status := &wire.NodeStatus{Seq: 1, Term: m.doc.Term, DocumentVersion: m.version, PeerAddr: restarted.name}
	m.Ready()
	m.Step(s.now, Message{From: ref, Body: &wire.Control{Body: &wire.Control_NodeStatus{NodeStatus: status}}})
	if answers, renewed := renewals(m.Ready(), restarted.name); answers != 1 || renewed != 0 {
		t.Errorf("%d answers, of which %d renew the lease before a majority has followed since the restart", answers, renewed)
	}
	for _, n := range s.nodes[1:] {
		echo := &wire.NodeStatus{
			Seq: 1 << 60, Term: m.doc.Term, DocumentVersion: m.version, PeerAddr: n.name, Verified: true,
			Echo: int64(s.now) + 1, EchoFrom: leader.incarnation,
		}
		from := cluster.MemberRef{Name: n.name, Incarnation: n.incarnation}
		m.Step(s.now, Message{From: from, Body: &wire.Control{Body: &wire.Control_NodeStatus{NodeStatus: echo}}})
	}
	m.Ready()
	status.Seq++
	m.Step(s.now, Message{From: ref, Body: &wire.Control{Body: &wire.Control_NodeStatus{NodeStatus: status}}})
	if answers, renewed := renewals(m.Ready(), restarted.name); answers != 1 || renewed != 1 {
		t.Errorf("%d answers, of which %d renew the lease after a majority has followed", answers, renewed)
	}
}

// TestReleaseWaitsForGrantExpiry moves a row whose grant may not have reached
// the server yet: the node releases the row only when that grant has expired,
// although the server does not list the row.
func TestReleaseWaitsForGrantExpiry(t *testing.T) {
	s := newStableSim(1, 3)
	m := s.nodes[0].machine
	srv := s.nodes[0].server
	report := Report{Instance: srv.instance, Service: "svc", Slots: 8, Ready: true, Seq: 1 << 20}
	granted := m.Report(s.now, report)
	if len(granted.Rows) == 0 {
		t.Fatal("nothing was granted")
	}
	moved := m.doc.clone()
	for i, r := range moved.Tables["svc"] {
		if r.Owner == s.nodes[0].name {
			moved.Tables["svc"][i].Next = s.nodes[1].name
			break
		}
	}
	m.installDocument(moved, m.version+1)
	report.Seq++
	m.Report(s.now.Add(time.Second), report)
	if n := len(m.local.releaseTokens); n != 0 {
		t.Errorf("%d rows released before their grant has expired", n)
	}
	report.Seq++
	m.Report(s.now.Add(DefaultTiming().Lease+time.Second), report)
	if n := len(m.local.releaseTokens); n != 1 {
		t.Errorf("%d rows released after the grant has expired", n)
	}
}

package fleet

import (
	"fmt"
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

// calmSim returns a fleet that has come to rest, without lost messages.
func calmSim(seed int64, nodes int) *sim {
	s := newSim(seed, nodes)
	s.calm = true
	s.runUntil(s.now.Add(6 * time.Second))
	return s
}

// TestLeaderWithoutPlatform cuts the leader alone off from the platform: one
// follower takes over, once, and no key is without a holder meanwhile.
func TestLeaderWithoutPlatform(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		s := calmSim(seed, 6)
		old := s.leader()
		term := old.machine.doc.Term
		old.noStore = true
		begun := s.now
		for s.leader() == old && s.now.Sub(begun) < 10*time.Second {
			s.runUntil(s.now.Add(20 * time.Millisecond))
			if held := s.heldKeys(); held != MaxKey+1 {
				t.Fatalf("seed %d: %d keys are held", seed, held)
			}
		}
		if took := s.now.Sub(begun); took > 3*time.Second {
			t.Errorf("seed %d: the lead passed on after %v", seed, took)
		}
		s.runUntil(s.now.Add(3 * time.Second))
		if now := s.leader().machine.doc.Term; now != term+1 {
			t.Errorf("seed %d: term %d after %d; expected one change of the leader", seed, now, term)
		}
	}
}

// TestOutage takes the platform away from everybody for longer than a lease:
// every key stays with its holder, also beside a node that restarts meanwhile.
func TestOutage(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		s := calmSim(seed, 6)
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

// TestLoss ends a machine without a word: its keys are held again soon.
func TestLoss(t *testing.T) {
	for seed := int64(1); seed <= 8; seed++ {
		s := calmSim(seed, 6)
		lost := s.nodes[0]
		if lost == s.leader() {
			lost = s.nodes[1]
		}
		begun := s.now
		lost.kill()
		lost.server.up = false
		for s.heldKeys() != MaxKey+1 && s.now.Sub(begun) < 15*time.Second {
			s.runUntil(s.now.Add(20 * time.Millisecond))
		}
		// Silence, a lease, two writes and the next owner's report.
		if took := s.now.Sub(begun); took > 7*time.Second {
			t.Errorf("seed %d: all keys are held again after %v", seed, took)
		}
	}
}

// TestLeaving moves all keys off a server that leaves, with tokens.
func TestLeaving(t *testing.T) {
	s := calmSim(3, 6)
	s.nodes[2].server.ready = false
	s.runUntil(s.now.Add(3 * time.Second))
	if n := len(s.nodes[2].server.holds); n != 0 {
		t.Errorf("the leaving server still holds %d rows", n)
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
// version: the leader counts a majority of the members of both.
func TestUndecidedWrites(t *testing.T) {
	s := calmSim(1, 3)
	s.store.down = true
	leader := s.leader()
	m := leader.machine
	larger := m.doc.clone()
	for i := range 4 {
		name := fmt.Sprintf("x%d", i)
		larger.Members[name] = &Member{MemberRef: cluster.MemberRef{Name: name, Incarnation: 1}}
	}
	for _, doc := range []*Document{larger, m.doc.clone()} {
		m.pending = doc
		leader.step(DocumentWritten{Err: platform.ErrUnknown.New("lost")})
	}
	s.runUntil(s.now.Add(DefaultTiming().Fresh + time.Second))
	if m.valid() {
		t.Error("a majority of the members of the first write does not follow, and leases are renewed")
	}
}

// TestStrangersClaimLast lets a node that is not listed reach the platform and
// nobody else: it leaves the lead alone while an earlier leader may renew, and
// takes it when all members are gone for good.
func TestStrangersClaimLast(t *testing.T) {
	s := calmSim(1, 3)
	s.nodes = append(s.nodes, &simNode{sim: s, name: "x"})
	stranger := s.nodes[3]
	stranger.startServer()
	stranger.cut = true
	stranger.start()
	term := s.leader().machine.doc.Term
	s.runUntil(s.now.Add(8 * time.Second))
	if now := s.leader().machine.doc.Term; now != term {
		t.Error("a node that is not listed claimed the lead beside a fleet at work")
	}
	for _, n := range s.nodes[:3] {
		n.kill()
		n.server.up = false
	}
	s.runUntil(s.now.Add(40 * time.Second))
	if held := s.heldKeys(); held != MaxKey+1 {
		t.Errorf("40 s after the last member was lost %d keys are held", held)
	}
}

// renewals counts the answers to a member among a leader's messages, and those
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

// TestAdoptionNeedsMajority restarts a member in an outage: the leader renews it
// only once a majority is known to have followed since the restart, as a later
// leader may have moved its rows while it was known there.
func TestAdoptionNeedsMajority(t *testing.T) {
	s := calmSim(1, 5)
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
		t.Errorf("%d answers, %d renew the lease before a majority has followed since the restart", answers, renewed)
	}
	for _, n := range s.nodes[1:] {
		echo := &wire.NodeStatus{
			Seq: 1 << 20, Term: m.doc.Term, DocumentVersion: m.version, PeerAddr: n.name, Verified: true,
			Echo: int64(s.now) + 1, EchoFrom: leader.incarnation,
		}
		from := cluster.MemberRef{Name: n.name, Incarnation: n.incarnation}
		m.Step(s.now, Message{From: from, Body: &wire.Control{Body: &wire.Control_NodeStatus{NodeStatus: echo}}})
	}
	m.Ready()
	status.Seq++
	m.Step(s.now, Message{From: ref, Body: &wire.Control{Body: &wire.Control_NodeStatus{NodeStatus: status}}})
	if answers, renewed := renewals(m.Ready(), restarted.name); answers != 1 || renewed != 1 {
		t.Errorf("%d answers, %d renew the lease after a majority has followed", answers, renewed)
	}
}

// TestSurrenderWaits moves a row whose grant may still be on its way: the node
// releases it only when that grant has run out, though the server does not list
// the row.
func TestSurrenderWaits(t *testing.T) {
	s := calmSim(1, 3)
	m := s.nodes[0].machine
	v := s.nodes[0].server
	report := Report{Life: v.life, Service: "svc", Slots: 8, Ready: true, Seq: 1 << 20}
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
	m.adopt(moved, m.version+1)
	report.Seq++
	m.Report(s.now.Add(time.Second), report)
	if n := len(m.local.released); n != 0 {
		t.Errorf("%d rows released while a grant of them may be on its way", n)
	}
	report.Seq++
	m.Report(s.now.Add(DefaultTiming().Lease+time.Second), report)
	if n := len(m.local.released); n != 1 {
		t.Errorf("%d rows released after the grant has run out", n)
	}
}

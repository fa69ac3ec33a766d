package fleet

import (
	"testing"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// TestAnswerToEarlierProcess guards against a lease that outlasts what the leader waits for: its answer to a status of an
// earlier process of the node comes late, and the next process has sent a status with the same number since.
func TestAnswerToEarlierProcess(t *testing.T) {
	s := newStableSim(6, 3)
	n, leader := s.follower(), s.leader()
	answered := n.machine.lease.seq
	n.kill()
	n.partitioned, n.storeUnreachable = true, true
	n.start()
	m, doc := n.machine, leader.machine.doc.clone()
	doc.Members[n.name].MemberRef = m.params.Self
	m.installDocument(doc, leader.machine.version+1000)
	s.runUntil(s.now.Add(5 * statusInterval))
	if len(m.lease.sentAt) == 0 || answered == 0 {
		t.Fatal("no status was sent")
	}
	before := m.LeaseUntil()
	for seq := answered - min(answered, maxUnansweredStatuses); seq <= answered; seq++ {
		n.step(Message{From: cluster.MemberRef{Name: leader.name, Incarnation: leader.incarnation}, Body: &wire.Control{
			Body: &wire.Control_StatusAnswer{StatusAnswer: &wire.StatusAnswer{
				Seq: seq, Term: doc.Term, Renewed: true, DocumentVersion: m.version, Stamp: int64(s.now),
			}},
		}})
	}
	if until := m.LeaseUntil(); until != before {
		t.Errorf("the lease was extended by %v", until.Sub(before))
	}
}

package fleet

import (
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/wire"
)

// A leader whose process ends while the platform is away cannot be replaced: a
// claim is a write. Its next process at the same address resumes the term
// instead, and renews leases under the last document. It must know which one
// that is. So a leader that the platform does not answer promises its followers
// to write nothing; one follower in whose sight the promise still stands is the
// evidence that its document is the last.

// promise is the leader's promise to leave the document as it is.
type promise struct {
	// term and version name the document; version is 0 if there is no promise.
	term, version uint64
	until         clock.Mono
	// proofAt is not after the platform's last proof of the term.
	proofAt clock.Mono
}

// promiseOf reads the promise in an answer to a status that was sent then.
func promiseOf(a *wire.StatusAnswer, sent clock.Mono, lease time.Duration) promise {
	if !a.GetPromised() {
		return promise{}
	}
	return promise{
		term: a.GetTerm(), version: a.GetDocumentVersion(), until: sent.Add(lease),
		proofAt: sent.Add(-time.Duration(a.GetProofAgeMs()) * time.Millisecond),
	}
}

// holds reports whether the promise stands and is about the present document.
func (p promise) holds(m *Machine) bool {
	return p.version > 0 && p.version == m.version && p.term == m.doc.Term && m.now < p.until
}

// mayPromise reports whether the leader can do without a write for now: the
// platform does not answer, and none of its writes is undecided. One that stops
// has no time to wait for the platform.
func (m *Machine) mayPromise() bool {
	l := m.lead
	return l.unanswered && len(m.undecided()) == 0 && (m.stopping || m.now.Sub(l.proofAt) > m.p.Timing.Fresh)
}

// kept ends the promise to a member that has been told that it is over.
func (l *leadership) kept(name string, h *heardStatus) {
	if h.GetPromisedVersion() == 0 && h.echoAt > l.promisedAt[name] {
		delete(l.promisedAt, name)
	}
}

// bound reports whether a promise to a member is in force.
func (m *Machine) bound() bool {
	lasts := m.p.Timing.Lease * (100 + driftPercent) / 100
	for name, at := range m.lead.promisedAt {
		if m.now < at.Add(lasts) {
			return true
		}
		delete(m.lead.promisedAt, name)
	}
	return false
}

// mayResume reports whether this node is the next process of the leader and
// could not learn more from the platform. The same address shows that the
// earlier process has ended.
func (m *Machine) mayResume() bool {
	self := m.doc.Members[m.p.Self.Name]
	return m.lead == nil && !m.verified && !m.stopping && m.pending == nil && !m.doc.Resigned &&
		m.doc.Leader.Name == m.p.Self.Name && m.doc.Leader.Incarnation < m.p.Self.Incarnation &&
		self != nil && self.Addr == m.p.Addr
}

// probe takes a status of a follower of the earlier process, and leads on once
// a majority has followed the term since this process asked and one of them
// shows that the document is the last. The majority leaves out this node: its
// earlier process may have followed a later term.
func (m *Machine) probe(e Message, s *wire.NodeStatus) {
	if m.doc == nil {
		m.answerProbe(s)
		return
	}
	if !m.mayResume() || s.GetTerm() != m.doc.Term {
		m.resuming = nil
		return
	}
	if m.resuming == nil || m.resuming.term != m.doc.Term {
		m.resuming = m.newLeadership()
		m.resuming.resumed = true
		m.resuming.adopted[m.p.Self.Name] = adoption{incarnation: m.p.Self.Incarnation}
	}
	r, h := m.resuming, m.heard(e.From.Incarnation, s)
	if mem := m.doc.Members[e.From.Name]; mem != nil && mem.Incarnation <= e.From.Incarnation {
		r.statuses[e.From.Name] = h
	}
	m.answerProbe(s)
	if h.echoAt > 0 && s.GetPromisedVersion() == m.version {
		// The follower saw the promise stand after this process began.
		r.proofAt = max(r.proofAt, h.echoAt.Add(-time.Duration(s.GetProofAgeMs())*time.Millisecond))
	}
	if r.proofAt > 0 && m.now.Sub(r.proofAt) < m.p.Timing.Outage && r.majority(m.doc, m.now.Add(-m.p.Timing.Fresh)) {
		m.lead, m.resuming = r, nil
		r.claimedAt, r.majorityAt = m.now, m.now
		m.note("leadership resumed", "term", m.doc.Term, "version", m.version, "earlier", m.doc.Leader.String(),
			"proof_age", m.now.Sub(r.proofAt), "followers", len(r.statuses))
		m.hurry()
	}
}

// answerProbe gives a follower a stamp, and says which document is known here.
func (m *Machine) answerProbe(s *wire.NodeStatus) {
	m.send(s.GetPeerAddr(), &wire.Control{Body: &wire.Control_StatusAnswer{StatusAnswer: &wire.StatusAnswer{
		Seq: s.GetSeq(), Term: s.GetTerm(), DocumentVersion: m.version, Stamp: int64(m.now), Probe: true,
	}}})
}

// probed takes a probe of the leader's next process: it is sent what it lacks,
// and shown its stamp at once.
func (m *Machine) probed(a *wire.StatusAnswer, first bool) {
	leader := m.doc.Members[m.doc.Leader.Name]
	if a.GetDocumentVersion() < m.version && leader != nil {
		m.send(leader.Addr, m.documentMessage())
		m.ready.Configs = append(m.ready.Configs, ConfigDiffers{Addr: leader.Addr})
	}
	if first {
		m.hurry()
	}
}

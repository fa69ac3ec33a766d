package fleet

import (
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

// If the leader's process ends during an outage of the platform, no other node
// can replace it, as a claim is a write. Its restarted process at the same
// address resumes the term instead, and renews leases under the last document.
// It must know which document that is, so a leader that the platform does not
// answer promises its followers not to write. A follower for which the promise
// is still in force proves that its document is the last one.

// promise is the leader's promise not to change the document.
type promise struct {
	// term and version identify the document; version is 0 if there is no
	// promise.
	term, version uint64
	until         clock.Mono
	// proofAt is at or before the platform's last proof of the term.
	proofAt clock.Mono
}

// newPromise returns the promise in the answer to a status that was sent at the
// given time.
func newPromise(a *wire.StatusAnswer, sent clock.Mono, lease time.Duration) promise {
	if !a.GetPromised() {
		return promise{}
	}
	return promise{
		term: a.GetTerm(), version: a.GetDocumentVersion(), until: sent.Add(lease),
		proofAt: sent.Add(-time.Duration(a.GetProofAgeMs()) * time.Millisecond),
	}
}

// inForce reports whether the promise has not run out and is about the current
// document.
func (p promise) inForce(m *Machine) bool {
	return p.version > 0 && p.version == m.version && p.term == m.doc.Term && m.now < p.until
}

// mayPromise reports whether the leader may promise not to write: the platform
// does not answer, and no write is undecided. A leader that is stopping does
// not wait for the proof to age first.
func (m *Machine) mayPromise() bool {
	l := m.leadership
	return l.lastCallUnanswered && len(m.undecidedWrites()) == 0 &&
		(m.stopping || m.now.Sub(l.proofAt) > m.params.Timing.MaxProofAge)
}

// clearPromise drops the promise to a member whose status shows that it no
// longer relies on it.
func (l *leadership) clearPromise(name string, status *memberStatus) {
	if status.GetPromisedVersion() == 0 && status.echoAt > l.promisedAt[name] {
		delete(l.promisedAt, name)
	}
}

// promiseInForce reports whether a promise to any member is in force.
func (m *Machine) promiseInForce() bool {
	duration := m.params.Timing.Lease * (100 + maxClockDriftPercent) / 100
	for name, at := range m.leadership.promisedAt {
		if m.now < at.Add(duration) {
			return true
		}
		delete(m.leadership.promisedAt, name)
	}
	return false
}

// mayResume reports whether this node is the restarted process of the leader
// and has no document from the platform. The same address shows that the
// earlier process has ended.
func (m *Machine) mayResume() bool {
	self := m.doc.Members[m.params.Self.Name]
	return m.leadership == nil && !m.verified && !m.stopping && m.pendingWrite == nil && !m.doc.Resigned &&
		m.doc.Leader.Name == m.params.Self.Name && m.doc.Leader.Incarnation < m.params.Self.Incarnation &&
		self != nil && self.Addr == m.params.Addr
}

// tryResume handles a status that a follower sent to this node's earlier
// process. It resumes the leadership once a majority has followed the term
// since this process sent its probes, and one follower has proved that the
// document is the last. The majority does not count this node, whose earlier
// process may have followed a later term.
func (m *Machine) tryResume(e Message, s *wire.NodeStatus) {
	if m.doc == nil {
		m.sendProbe(s)
		return
	}
	if !m.mayResume() || s.GetTerm() != m.doc.Term {
		m.resuming = nil
		return
	}
	if m.resuming == nil || m.resuming.term != m.doc.Term {
		m.resuming = m.newLeadership()
		m.resuming.resumed = true
		m.resuming.restarted[m.params.Self.Name] = restartedMember{incarnation: m.params.Self.Incarnation}
	}
	r, status := m.resuming, m.newMemberStatus(e.From.Incarnation, s)
	if mem := m.doc.Members[e.From.Name]; mem != nil && mem.Incarnation <= e.From.Incarnation {
		r.statuses[e.From.Name] = status
	}
	m.sendProbe(s)
	if status.echoAt > 0 && s.GetPromisedVersion() == m.version {
		// The promise was still in force for the follower after this process
		// started.
		r.proofAt = max(r.proofAt, status.echoAt.Add(-time.Duration(s.GetProofAgeMs())*time.Millisecond))
	}
	if r.proofAt > 0 && m.now.Sub(r.proofAt) < m.params.Timing.MaxOutage &&
		r.majorityFollowedSince(m.doc, m.now.Add(-m.params.Timing.MaxProofAge)) {
		m.leadership, m.resuming = r, nil
		r.claimedAt, r.majorityAt = m.now, m.now
		m.note("leadership resumed", "term", m.doc.Term, "version", platform.FormatVersion(m.version), "earlier", m.doc.Leader.String(),
			"proof_age", m.now.Sub(r.proofAt), "followers", len(r.statuses))
		m.sendStatusNow()
	}
}

// sendProbe sends a follower a stamp and the version of the document that this
// node has.
func (m *Machine) sendProbe(s *wire.NodeStatus) {
	m.send(s.GetPeerAddr(), &wire.Control{Body: &wire.Control_StatusAnswer{StatusAnswer: &wire.StatusAnswer{
		Seq: s.GetSeq(), Term: s.GetTerm(), DocumentVersion: m.version, Stamp: int64(m.now), Probe: true,
	}}})
}

// handleProbe handles a probe of the leader's restarted process: it sends the
// document if that process has an older one. On the first probe it makes the
// next tick send a status, which returns the stamp.
func (m *Machine) handleProbe(a *wire.StatusAnswer, first bool) {
	leader := m.doc.Members[m.doc.Leader.Name]
	if a.GetDocumentVersion() < m.version && leader != nil {
		m.send(leader.Addr, m.documentMessage())
		m.ready.Configs = append(m.ready.Configs, ConfigDiffers{Addr: leader.Addr})
	}
	if first {
		m.sendStatusNow()
	}
}

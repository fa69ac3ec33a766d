package fleet

import (
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

// maxUnansweredStatuses bounds how many unanswered statuses are tracked.
const maxUnansweredStatuses = 32

// sendStatus sends this node's status to the leader, which renews the lease.
func (m *Machine) sendStatus() {
	if m.doc == nil || m.lease.nextStatus > m.now {
		return
	}
	m.lease.nextStatus = m.now.Add(statusInterval)
	s := m.status()
	if m.leadership != nil {
		m.handleStatus(m.params.Self.Name, m.params.Self.Incarnation, s)
		return
	}
	leader := m.doc.Members[m.doc.Leader.Name]
	if leader == nil || m.doc.Resigned || leader.Name == m.params.Self.Name {
		return
	}
	if len(m.lease.sentAt) >= maxUnansweredStatuses {
		clear(m.lease.sentAt)
	}
	m.lease.sentAt[s.Seq] = m.now
	m.send(leader.Addr, &wire.Control{Body: &wire.Control_NodeStatus{NodeStatus: s}})
}

// sendStatusNow makes the next tick send a status.
func (m *Machine) sendStatusNow() { m.lease.nextStatus = m.now }

func (m *Machine) status() *wire.NodeStatus {
	m.lease.seq++
	s := &wire.NodeStatus{
		Seq: m.lease.seq, Term: m.doc.Term, DocumentVersion: m.version, ConfigVersion: m.configVersion,
		PeerAddr: m.params.Addr, Zone: m.params.Zone, Tenure: m.local.generation, Verified: m.verified, Leaving: m.stopping,
		Released: m.local.releasedSpans(), WorkMs: m.local.meanServiceMs, Echo: m.lease.echo, EchoFrom: m.lease.echoFrom,
		Weight: m.params.Weight, OperatorAddr: m.params.OperatorAddr, SuspectsDigest: m.suspectsDigest,
	}
	m.setCold(s)
	s.Limited, s.Limit = m.local.limit.named, m.local.limit.perSecond
	if p := m.lease.promise; p.inForce(m) {
		s.PromisedVersion, s.ProofAgeMs = p.version, m.now.Sub(p.proofAt).Milliseconds()+1
	}
	if s.Seq%statusesPerLoadReport == 0 {
		s.HasLoads = true
		s.Loads = m.local.loads
	}
	if server := m.reportedServer(); server != nil {
		s.Server = encodeServer(server)
	}
	return s
}

// handleMessage dispatches a control message of a peer.
func (m *Machine) handleMessage(e Message) {
	switch b := e.Body.GetBody().(type) {
	case *wire.Control_NodeStatus:
		m.handlePeerStatus(e, b.NodeStatus)
	case *wire.Control_StatusAnswer:
		m.handleStatusAnswer(e.From.Incarnation, b.StatusAnswer)
	case *wire.Control_Objects:
		m.handleObjects(b.Objects)
	case *wire.Control_DocumentChange:
		m.handleDocumentChange(e.From.Name, b.DocumentChange)
	}
}

// handleStatusAnswer extends the lease, counted from when the status was sent.
// Answers of an earlier leader are ignored.
func (m *Machine) handleStatusAnswer(incarnation uint64, a *wire.StatusAnswer) {
	sent, ok := m.lease.sentAt[a.GetSeq()]
	delete(m.lease.sentAt, a.GetSeq())
	if !ok || m.doc == nil || a.GetTerm() < m.doc.Term {
		return
	}
	previousEchoFrom := m.lease.echoFrom
	if !m.lease.recordStamp(incarnation, a) {
		return
	}
	if a.GetProbe() {
		m.handleProbe(a, previousEchoFrom != incarnation)
		return
	}
	m.lease.leaderLastSeenAt, m.lease.lastAnswerAt = m.now, m.now
	m.configReads.observeLeader(m.now, a.GetConfigVersion(), m.configVersion, time.Duration(a.GetProofAgeMs())*time.Millisecond)
	if a.GetStamp() == m.lease.echo {
		m.lease.promise = newPromise(a, sent, m.params.Timing.Lease)
	}
	if a.GetUnproven() && !m.lease.leaderUnproven {
		m.lease.leaderUnprovenSince = m.now
	}
	m.lease.leaderUnproven = a.GetUnproven()
	if !a.GetRenewed() {
		return
	}
	switch self := m.doc.Members[m.params.Self.Name]; {
	case self == nil:
	case self.MemberRef == m.params.Self:
		m.extendLease(sent)
	case self.Incarnation < m.params.Self.Incarnation && a.GetDocumentVersion() == m.version:
		if m.lease.restartAcceptedVersion != m.version {
			m.note("adopted by the leader after a restart", "term", a.GetTerm(), "version", platform.FormatVersion(m.version),
				"listed", self.MemberRef.String())
		}
		m.lease.restartAcceptedVersion = m.version
		m.extendLease(sent)
	}
}

// recordStamp records the leader's latest stamp. It returns false for an answer
// of an earlier process of the leader.
func (l *leaseState) recordStamp(incarnation uint64, a *wire.StatusAnswer) bool {
	sameTerm := a.GetTerm() == l.echoTerm
	if sameTerm && incarnation < l.echoFrom {
		return false
	}
	if !sameTerm || incarnation > l.echoFrom || a.GetStamp() > l.echo {
		l.echo, l.echoFrom, l.echoTerm = a.GetStamp(), incarnation, a.GetTerm()
	}
	return true
}

// handleObjects installs the fleet document if a peer sends a newer one.
func (m *Machine) handleObjects(in *wire.Objects) {
	for _, o := range in.GetObjects() {
		if o.GetKey() != DocumentKey || o.GetVersion() <= m.version {
			continue
		}
		doc, err := Decode(o.GetValue())
		if err != nil {
			m.note("fleet document received from a peer cannot be decoded", "version", platform.FormatVersion(o.GetVersion()), "error", err)
			continue
		}
		m.installDocument(doc, o.GetVersion())
		m.lease.leaderLastSeenAt = m.now
		m.sendStatusNow()
	}
}

// handleDocumentChange applies a leader's change to the document that this node has. A
// change that does not apply is ignored: the next status tells the leader which
// version this node has.
func (m *Machine) handleDocumentChange(sender string, c *wire.DocumentChange) {
	if m.doc == nil || sender != c.GetLeader() || c.GetFromVersion() != m.version || c.GetToVersion() <= m.version {
		return
	}
	doc, err := Apply(m.doc, c)
	if err != nil {
		m.note("change of the fleet document cannot be applied", "from", c.GetFromVersion(), "to", c.GetToVersion(),
			"error", err)
		return
	}
	m.installDocument(doc, c.GetToVersion())
	m.lease.leaderLastSeenAt = m.now
	m.sendStatusNow()
}

// documentUpdate returns the message that brings a node from a version of the
// document to the current one: the change, or the whole document if that
// version is too old.
func (m *Machine) documentUpdate(version uint64) *wire.Control {
	for _, p := range m.recentDocuments {
		if p.version == version && version < m.version {
			return &wire.Control{Body: &wire.Control_DocumentChange{DocumentChange: Diff(p.doc, m.doc, version, m.version)}}
		}
	}
	return m.documentMessage()
}

// documentMessage returns a message with the current fleet document in its
// stored form.
func (m *Machine) documentMessage() *wire.Control {
	return &wire.Control{Body: &wire.Control_Objects{Objects: &wire.Objects{Objects: []*wire.Object{
		{Key: DocumentKey, Version: m.version, Value: m.encoded()},
	}}}}
}

// encoded returns the stored form of the current document, which it caches.
func (m *Machine) encoded() []byte {
	if m.encodedFrom != m.doc {
		m.encodedFrom = m.doc
		m.encodedDoc = m.doc.Encode()
	}
	return m.encodedDoc
}

// Document returns the current document and its version; nil before the first.
func (m *Machine) Document() (*Document, uint64) { return m.doc, m.version }

package fleet

import (
	"fulmarhinge/internal/wire"
)

// rememberedStatuses bounds how many unanswered renewals are remembered.
const rememberedStatuses = 32

// sendStatus tells the leader about this node, which renews the lease.
func (m *Machine) sendStatus() {
	if m.doc == nil || m.lease.nextStatus > m.now {
		return
	}
	m.lease.nextStatus = m.now.Add(statusEvery)
	s := m.status()
	if m.lead != nil {
		m.onStatus(m.p.Self.Name, m.p.Self.Incarnation, s)
		return
	}
	leader := m.doc.Members[m.doc.Leader.Name]
	if leader == nil || m.doc.Resigned || leader.Name == m.p.Self.Name {
		return
	}
	if len(m.lease.sent) >= rememberedStatuses {
		clear(m.lease.sent)
	}
	m.lease.sent[s.Seq] = m.now
	m.send(leader.Addr, &wire.Control{Body: &wire.Control_NodeStatus{NodeStatus: s}})
}

// hurry sends the next status at once.
func (m *Machine) hurry() { m.lease.nextStatus = m.now }

func (m *Machine) status() *wire.NodeStatus {
	m.lease.seq++
	s := &wire.NodeStatus{
		Seq: m.lease.seq, Term: m.doc.Term, DocumentVersion: m.version, ConfigVersion: m.configVersion,
		PeerAddr: m.p.Addr, Zone: m.p.Zone, Tenure: m.local.tenure, Verified: m.verified, Leaving: m.stopping,
		Released: m.local.releasedSpans(), WorkMs: m.local.work, Echo: m.lease.echo, EchoFrom: m.lease.echoFrom, Weight: m.p.Weight,
		OperatorAddr: m.p.Operator,
	}
	if p := m.lease.promise; p.holds(m) {
		s.PromisedVersion, s.ProofAgeMs = p.version, m.now.Sub(p.proofAt).Milliseconds()+1
	}
	if s.Seq%loadsEvery == 0 {
		s.HasLoads = true
		s.Loads = m.local.loads
	}
	if m.local.alive {
		s.Server = &wire.BackendServer{
			Id: m.local.server.ID, BornMs: m.local.server.Born, Service: m.local.server.Service,
			Slots: uint32(m.local.server.Slots), Ready: m.local.server.Ready,
		}
	}
	return s
}

// message takes a control message of a peer.
func (m *Machine) message(e Message) {
	switch b := e.Body.GetBody().(type) {
	case *wire.Control_NodeStatus:
		m.statusFromPeer(e, b.NodeStatus)
	case *wire.Control_StatusAnswer:
		m.answered(e.From.Incarnation, b.StatusAnswer)
	case *wire.Control_Objects:
		m.objects(b.Objects)
	case *wire.Control_DocumentChange:
		m.documentChange(b.DocumentChange)
	}
}

// answered extends the lease from when the status was sent. Answers of an
// earlier leader no longer count.
func (m *Machine) answered(from uint64, a *wire.StatusAnswer) {
	sent, ok := m.lease.sent[a.GetSeq()]
	delete(m.lease.sent, a.GetSeq())
	if !ok || m.doc == nil || a.GetTerm() < m.doc.Term {
		return
	}
	earlier := m.lease.echoFrom
	if !m.lease.stamped(from, a) {
		return
	}
	if a.GetProbe() {
		m.probed(a, earlier != from)
		return
	}
	m.lease.heard = m.now
	if a.GetStamp() == m.lease.echo {
		m.lease.promise = promiseOf(a, sent, m.p.Timing.Lease)
	}
	if a.GetUnproven() && !m.lease.unproven {
		m.lease.unprovenAt = m.now
	}
	m.lease.unproven = a.GetUnproven()
	if !a.GetRenewed() {
		return
	}
	switch self := m.doc.Members[m.p.Self.Name]; {
	case self == nil:
	case self.MemberRef == m.p.Self:
		m.extend(sent)
	case self.Incarnation < m.p.Self.Incarnation && a.GetDocumentVersion() == m.version:
		if m.lease.adoptedIn != m.version {
			m.note("adopted by the leader", "term", a.GetTerm(), "version", m.version, "listed", self.MemberRef.String())
		}
		m.lease.adoptedIn = m.version
		m.extend(sent)
	}
}

// stamped notes the leader's latest stamp. It reports false for an answer of
// the leader's process before the present one.
func (l *leaseState) stamped(from uint64, a *wire.StatusAnswer) bool {
	sameTerm := a.GetTerm() == l.echoTerm
	if sameTerm && from < l.echoFrom {
		return false
	}
	if !sameTerm || from > l.echoFrom || a.GetStamp() > l.echo {
		l.echo, l.echoFrom, l.echoTerm = a.GetStamp(), from, a.GetTerm()
	}
	return true
}

// objects takes the fleet document as the leader passes it on.
func (m *Machine) objects(in *wire.Objects) {
	for _, o := range in.GetObjects() {
		if o.GetKey() != DocumentKey || o.GetVersion() <= m.version {
			continue
		}
		doc, err := Decode(o.GetValue())
		if err != nil {
			m.note("fleet document of a peer cannot be used", "version", o.GetVersion(), "error", err)
			continue
		}
		m.adopt(doc, o.GetVersion())
		m.lease.heard = m.now
		m.hurry()
	}
}

// documentChange takes a change of the document that this node has. One that
// does not fit is left out: the next status says which document is needed.
func (m *Machine) documentChange(c *wire.DocumentChange) {
	if m.doc == nil || c.GetFromVersion() != m.version || c.GetToVersion() <= m.version {
		return
	}
	doc, err := Apply(m.doc, c)
	if err != nil {
		m.note("change of the fleet document cannot be used", "from", c.GetFromVersion(), "to", c.GetToVersion(), "error", err)
		return
	}
	m.adopt(doc, c.GetToVersion())
	m.lease.heard = m.now
	m.hurry()
}

// news returns what takes a node from a version of the document to the present
// one: the change, or the whole document if that version is too old.
func (m *Machine) news(version uint64) *wire.Control {
	for _, p := range m.past {
		if p.version == version && version < m.version {
			return &wire.Control{Body: &wire.Control_DocumentChange{DocumentChange: Diff(p.doc, m.doc, version, m.version)}}
		}
	}
	return m.documentMessage()
}

// documentMessage is the fleet document as it stands in the platform.
func (m *Machine) documentMessage() *wire.Control {
	return &wire.Control{Body: &wire.Control_Objects{Objects: &wire.Objects{Objects: []*wire.Object{
		{Key: DocumentKey, Version: m.version, Value: m.encoded()},
	}}}}
}

// encoded returns the stored form of the present document, made once.
func (m *Machine) encoded() []byte {
	if m.encodedOf != m.doc {
		m.encodedOf = m.doc
		m.encodedDoc = m.doc.Encode()
	}
	return m.encodedDoc
}

// Document returns the present document and its version; nil before the first.
func (m *Machine) Document() (*Document, uint64) { return m.doc, m.version }

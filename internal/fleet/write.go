package fleet

import (
	"fmt"

	"fulmarhinge/internal/platform"
)

// undecided returns the writes of which one may have taken effect or may yet do
// so.
func (m *Machine) undecided() []*Document {
	var out []*Document
	if m.unsettledAt == m.version {
		out = append(out, m.unsettled...)
	}
	if m.pending != nil {
		out = append(out, m.pending)
	}
	return out
}

// unsettle notes a write whose answer was lost.
func (m *Machine) unsettle(doc *Document) {
	if m.unsettledAt != m.version {
		m.unsettled, m.unsettledAt = nil, m.version
	}
	m.unsettled = append(m.unsettled, doc)
}

// found writes the first document of the fleet.
func (m *Machine) found() {
	if m.doc != nil || m.pending != nil {
		return
	}
	m.predecessorEnded = true
	doc := &Document{
		Term: 1, Leader: m.p.Self, Members: map[string]*Member{}, Tables: map[string]Table{},
	}
	doc.Members[m.p.Self.Name] = m.ownEntry()
	m.write(doc)
}

// write starts a conditional update of the document. One is under way at most.
func (m *Machine) write(doc *Document) {
	m.changes++
	doc.ChangeID = fmt.Sprintf("%s-%s-%d", m.p.Self.Name, m.p.Nonce, m.changes)
	m.pending = doc
	m.ready.Write = &Write{Expected: m.version, Value: doc.Encode()}
}

// documentWritten takes the outcome of the write under way. A write whose
// answer was lost may still take effect: the next one then conflicts, and is
// planned anew on what the platform holds.
func (m *Machine) documentWritten(e DocumentWritten) {
	doc := m.pending
	m.pending = nil
	if doc == nil {
		return
	}
	if e.Err != nil {
		m.note("fleet document not written", "expected", m.version, "error", e.Err)
		if platform.ErrUnknown.Has(e.Err) {
			m.unsettle(doc)
		}
		if m.lead != nil {
			m.lead.nextPlan = m.now.Add(writeRetry)
			m.lead.unanswered = !platform.ErrConflict.Has(e.Err)
		}
		m.nextRead = m.now
		m.read(readEvery)
		return
	}
	m.verified = true
	m.adopt(doc, e.Version)
	if m.doc == doc && doc.Leader == m.p.Self && !doc.Resigned {
		m.confirm(e.SentAt)
		m.broadcast()
	}
}

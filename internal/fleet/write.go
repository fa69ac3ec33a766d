package fleet

import (
	"fmt"

	"fulmarhinge/internal/platform"
)

// undecidedWrites returns the writes that may have taken effect or may still do
// so. At most one of them does.
func (m *Machine) undecidedWrites() []*Document {
	var out []*Document
	if m.undecidedVersion == m.version {
		out = append(out, m.undecided...)
	}
	if m.pendingWrite != nil {
		out = append(out, m.pendingWrite)
	}
	return out
}

// recordUndecided records a write whose answer was lost, unless the document has changed
// since: then it has taken effect before the change, or it never will.
func (m *Machine) recordUndecided(doc *Document) {
	if m.pendingWriteExpected != m.version {
		return
	}
	if m.undecidedVersion != m.version {
		m.undecided, m.undecidedVersion = nil, m.version
	}
	m.undecided = append(m.undecided, doc)
}

// handleDocumentMissing handles a store that has no document in its era. It may
// have one of an earlier era, which has version 0 otherwise.
func (m *Machine) handleDocumentMissing(earlier platform.Object) {
	switch {
	case m.doc != nil && m.documentOutdated():
		m.recoverDocument()
	case m.doc != nil:
	case m.era > firstEra && (earlier.Version != 0 || !m.params.NewFleet):
		m.recoverFromCopy(earlier)
	default:
		m.createDocument()
	}
}

// createDocument writes the first version of the fleet document.
func (m *Machine) createDocument() {
	if m.pendingWrite != nil {
		return
	}
	m.predecessorEnded = true
	doc := &Document{
		Term: 1, Leader: m.params.Self, Members: map[string]*Member{}, Tables: map[string]Table{},
	}
	doc.Members[m.params.Self.Name] = m.selfMember()
	m.write(doc, m.era, 0)
}

// update requests a conditional update of the current document.
func (m *Machine) update(doc *Document) { m.write(doc, platform.EraOf(m.version), m.version) }

// write requests a conditional update of the document of an era. At most one is
// in flight.
func (m *Machine) write(doc *Document, era, expected uint64) {
	m.changeSeq++
	doc.ChangeID = fmt.Sprintf("%s-%s-%d", m.params.Self.Name, m.params.Nonce, m.changeSeq)
	m.pendingWrite = doc
	m.pendingWriteEra, m.pendingWriteExpected = era, expected
	m.ready.Write = &Write{Era: era, Expected: expected, Value: doc.Encode()}
}

// handleDocumentWritten applies the result of the write in flight. A write
// whose answer was lost may still take effect: the next one then conflicts, and
// is planned again from the stored document.
func (m *Machine) handleDocumentWritten(e DocumentWritten) {
	doc := m.pendingWrite
	m.pendingWrite = nil
	if doc == nil {
		return
	}
	if e.Err == nil && platform.EraOf(e.Version) != m.pendingWriteEra {
		e.Err = platform.ErrConflict.New("the store came back from an older copy before the write")
	}
	if e.Err != nil {
		m.note("fleet document write failed", "expected", platform.FormatVersion(m.version), "error", e.Err)
		if platform.ErrUnknown.Has(e.Err) {
			m.recordUndecided(doc)
		}
		if m.leadership != nil {
			m.leadership.nextPlanAt = m.now.Add(writeRetryDelay)
			m.leadership.lastCallUnanswered = !platform.ErrConflict.Has(e.Err)
		}
		m.nextRead = m.now
		m.requestRead(readInterval)
		return
	}
	m.verified = true
	m.installDocument(doc, e.Version)
	if m.doc == doc && doc.Leader == m.params.Self && !doc.Resigned {
		m.confirmLeadership(e.SentAt)
	}
}

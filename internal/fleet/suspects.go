package fleet

import (
	"slices"
	"time"

	"fulmarhinge/internal/quarantine"
)

// staleSuspectsTime is how long stored suspects that are none any more may stay in the
// document without another reason to write it. After a loss of all nodes they run one at
// a time until they are answered.
const staleSuspectsTime = 10 * time.Second

// endWriteInterval is the least time between two plans that are made at once for a new
// end. A request that is repeated ends two servers within some 25 ms, and servers may
// crash by the dozen.
const endWriteInterval = 20 * time.Millisecond

// takenSuspects says how many ends a planned document takes into account.
type takenSuspects struct {
	doc  *Document
	ends uint64
}

// lacksEnd reports whether the stored suspects lack an end that was learned since they were
// stored. A suspect that merely takes the place of an answered one among those that are
// stored is no reason for a write.
func (m *Machine) lacksEnd() bool {
	if m.doc == m.suspectsTaken.doc {
		m.suspectEndsStored = m.suspectsTaken.ends
	}
	return m.suspectEnds > m.suspectEndsStored && quarantine.AddsEnds(m.doc.Suspects, m.suspects)
}

// handleSuspectsChanged takes over what is to be stored of requests under which backend
// servers have ended. The leader writes a new end at once, or within planInterval if it
// has done so within endWriteInterval, as a loss of all nodes before the write makes it
// forgotten.
func (m *Machine) handleSuspectsChanged(e SuspectsChanged) {
	m.suspectsDigest, m.suspects, m.suspectsKnown, m.suspectEnds = e.Digest, e.Stored, e.Complete, e.Ends
	if m.doc == nil || !m.suspectsKnown || slices.EqualFunc(m.doc.Suspects, m.suspects, quarantine.Entry.Equal) {
		m.suspectsDifferAt = 0
		return
	}
	if m.suspectsDifferAt == 0 {
		m.suspectsDifferAt = m.now
	}
	if m.leadership != nil && m.now.Sub(m.suspectsHurriedAt) >= endWriteInterval && m.lacksEnd() {
		m.leadership.nextPlanAt = min(m.leadership.nextPlanAt, m.now)
		m.suspectsHurriedAt = m.now
	}
}

// storeSuspects makes the plan a change if the stored suspects lack an end, or hold for a
// while what is none any more.
func (p *planner) storeSuspects() {
	m := p.machine
	if !m.suspectsKnown || slices.EqualFunc(p.doc.Suspects, m.suspects, quarantine.Entry.Equal) {
		return
	}
	stale := m.suspectsDifferAt > 0 && m.now.Sub(m.suspectsDifferAt) > staleSuspectsTime
	if m.lacksEnd() || stale {
		p.changed = true
	}
}

// takeSuspects stores the suspects with a document that is written.
func (p *planner) takeSuspects() {
	if p.machine.suspectsKnown {
		p.doc.Suspects = p.machine.suspects
		p.machine.suspectsTaken = takenSuspects{doc: p.doc, ends: p.machine.suspectEnds}
	}
}

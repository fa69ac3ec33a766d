package control

import (
	"time"

	"fulmarhinge/internal/timeline"
)

// noSuccessorDelay is how long a planned stop waits for a node that can take
// over its units while there is none.
const noSuccessorDelay = 2 * time.Second

// minDrainTime is the minimum duration of a planned stop. During it each
// response asks the caller to close its connection, so that at the end few
// connections are left on which a request may be in transit.
const minDrainTime = 2500 * time.Millisecond

// beginDrain starts a planned stop.
func (m *Machine) beginDrain() {
	if m.own.draining {
		return
	}
	m.own.draining = true
	m.own.drainStarted = m.now
	m.viewDirty = true
	ref := m.self
	m.recordEvent(timeline.Event{Kind: timeline.KindDrain, Member: &ref, Text: "planned stop began"})
	if m.phase == phaseLoading || m.phase == phaseJoining {
		m.phase = phaseLeft
		return
	}
	m.reconcileSelf()
}

// finishDrain completes a planned stop once every unit is handed over and no
// request is in flight. The member then leaves, which ends its lease
// permanently.
func (m *Machine) finishDrain() {
	if !m.own.draining || m.phase != phaseJoined {
		return
	}
	if m.cannotHandOver() {
		for u, cur := range m.units.local {
			m.stopUnit(u, cur)
		}
	}
	overdue := m.own.drainStarted.Add(m.params.StopTimeout) <= m.now
	if overdue && m.own.inFlight == 0 {
		m.phase = phaseLeft
		ref := m.self
		m.recordEvent(timeline.Event{Kind: timeline.KindDrain, Member: &ref, Text: "planned stop ended before the platform recorded it"})
		return
	}
	tooEarly := m.own.drainStarted.Add(minDrainTime) > m.now
	if tooEarly || m.own.leaving || m.own.inFlight > 0 || len(m.units.local) > 0 || !m.stateRecorded() || m.hasUnackedReleases() {
		return
	}
	m.own.leaving = true
	m.reconcileSelf()
}

// stateRecorded reports whether the platform's member object shows the desired
// state. Until it does, units may still be placed on this node.
func (m *Machine) stateRecorded() bool {
	p := m.members[m.self.Name]
	return p != nil && p.State == m.desiredState()
}

// cannotHandOver reports whether no other node can take over the units, so
// that the planned stop continues without handing them over.
func (m *Machine) cannotHandOver() bool {
	if m.own.drainStarted.Add(m.params.StopTimeout/2) <= m.now {
		return true
	}
	if m.own.drainStarted.Add(noSuccessorDelay) > m.now {
		return false
	}
	for u := range m.units.local {
		if m.hasOtherServer(u.Service) {
			return false
		}
	}
	return true
}

func (m *Machine) hasOtherServer(service string) bool {
	for _, p := range m.controllers(service) {
		if p.MemberRef != m.self && p.Backend.Ready {
			return true
		}
	}
	return false
}

// hasUnackedReleases reports whether a new owner has yet to acknowledge a
// release. If this node leaves without the acknowledgement, the new owner
// waits for the member object to show that it left.
func (m *Machine) hasUnackedReleases() bool {
	for u, r := range m.units.released {
		a := m.assignment(u)
		if a == nil || a.Owner == m.self || a.Owner.IsZero() || m.isGone(a.Owner) {
			continue
		}
		if _, waits := predecessorEpoch(a, m.self); waits && r.ackedEpoch != a.Epoch {
			return true
		}
	}
	return false
}

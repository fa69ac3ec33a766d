package control

import (
	"time"

	"fulmarhinge/internal/timeline"
)

// noSuccessorDelay is how long a planned stop waits for somebody to take its units
// when no other node can.
const noSuccessorDelay = 2 * time.Second

// minDrainTime is the least length of a planned stop. Meanwhile each answer asks
// its caller to close the connection, so that few are open at the end on which
// a request may be on its way.
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

// finishDrain ends a planned stop once every unit is handed over and nothing
// is in flight: the member then leaves, which ends its lease for good.
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
		m.recordEvent(timeline.Event{Kind: timeline.KindDrain, Member: &ref, Text: "planned stop ends without the platform's record"})
		return
	}
	tooEarly := m.own.drainStarted.Add(minDrainTime) > m.now
	if tooEarly || m.own.leaving || m.own.inFlight > 0 || len(m.units.local) > 0 || !m.stateRecorded() || m.hasUnackedReleases() {
		return
	}
	m.own.leaving = true
	m.reconcileSelf()
}

// stateRecorded reports whether the platform's object says so: before, a
// unit may still be placed here.
func (m *Machine) stateRecorded() bool {
	p := m.members[m.self.Name]
	return p != nil && p.State == m.desiredState()
}

// cannotHandOver reports whether the units can't be handed to anybody, so that the
// stop goes on without.
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

// hasUnackedReleases reports whether a new owner has not yet confirmed a release.
// One that leaves without is still waited for by its record alone.
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

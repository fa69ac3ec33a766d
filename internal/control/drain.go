package control

import (
	"time"

	"fulmarhinge/internal/timeline"
)

// aloneWait is how long a planned stop waits for somebody to take its units
// when no other node can.
const aloneWait = 2 * time.Second

// drainLinger is the least length of a planned stop. Meanwhile each answer asks
// its caller to close the connection, so that few are open at the end on which
// a request may be on its way.
const drainLinger = 2500 * time.Millisecond

// beginDrain starts a planned stop.
func (m *Machine) beginDrain() {
	if m.own.drain {
		return
	}
	m.own.drain = true
	m.own.drainAt = m.now
	m.dirty = true
	ref := m.self
	m.event(timeline.Event{Kind: timeline.KindDrain, Member: &ref, Text: "planned stop began"})
	if m.phase == phaseLoading || m.phase == phaseJoining {
		m.phase = phaseLeft
		return
	}
	m.reconcileSelf()
}

// finishDrain ends a planned stop once every unit is handed over and nothing
// is in flight: the member then leaves, which ends its lease for good.
func (m *Machine) finishDrain() {
	if !m.own.drain || m.phase != phaseJoined {
		return
	}
	if m.stopAlone() {
		for u, cur := range m.units.own {
			m.stopUnit(u, cur)
		}
	}
	overdue := m.own.drainAt.Add(m.params.StopTimeout) <= m.now
	if overdue && m.own.inFlight == 0 {
		m.phase = phaseLeft
		ref := m.self
		m.event(timeline.Event{Kind: timeline.KindDrain, Member: &ref, Text: "planned stop ends without the platform's record"})
		return
	}
	lingers := m.own.drainAt.Add(drainLinger) > m.now
	if lingers || m.own.left || m.own.inFlight > 0 || len(m.units.own) > 0 || !m.recordedDraining() || m.owesReleases() {
		return
	}
	m.own.left = true
	m.reconcileSelf()
}

// recordedDraining reports whether the platform's object says so: before, a
// unit may still be placed here.
func (m *Machine) recordedDraining() bool {
	p := m.members[m.self.Name]
	return p != nil && p.State == m.desiredState()
}

// stopAlone reports whether the units can't be handed to anybody, so that the
// stop goes on without.
func (m *Machine) stopAlone() bool {
	if m.own.drainAt.Add(m.params.StopTimeout/2) <= m.now {
		return true
	}
	if m.own.drainAt.Add(aloneWait) > m.now {
		return false
	}
	for u := range m.units.own {
		if m.otherServes(u.Service) {
			return false
		}
	}
	return true
}

func (m *Machine) otherServes(service string) bool {
	for _, p := range m.controllers(service) {
		if p.MemberRef != m.self && p.Backend.Ready {
			return true
		}
	}
	return false
}

// owesReleases reports whether a new owner has not yet confirmed a release.
// One that leaves without is still waited for by its record alone.
func (m *Machine) owesReleases() bool {
	for u, r := range m.units.released {
		a := m.assignment(u)
		if a == nil || a.Owner == m.self || a.Owner.IsZero() || m.isGone(a.Owner) {
			continue
		}
		if _, waits := predecessorEpoch(a, m.self); waits && r.ackedFor != a.Epoch {
			return true
		}
	}
	return false
}

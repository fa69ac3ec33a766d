package control

import (
	"slices"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/wire"
)

// allWitnesses returns the distinct witnesses of the current, pending and
// candidate sets.
func (m *Machine) allWitnesses() []cluster.Witness {
	current := m.members[m.self.Name]
	if current == nil {
		return nil
	}
	all := slices.Clone(current.Witnesses)
	for _, s := range append(m.own.pendingSets[:len(m.own.pendingSets):len(m.own.pendingSets)], m.own.candidateSet) {
		for _, w := range s {
			if !slices.Contains(all, w) {
				all = append(all, w)
			}
		}
	}
	return all
}

// renewIfDue sends a renewal to every witness once per renewal period.
func (m *Machine) renewIfDue() {
	if m.phase != phaseJoined || m.nextRenew > m.now {
		return
	}
	m.nextRenew = m.now.Add(m.params.Lease.RenewInterval)
	seq := m.holder.BeginRound(m.now)
	for _, w := range m.allWitnesses() {
		m.sendRenew(w, seq)
	}
}

func (m *Machine) sendRenew(w cluster.Witness, seq uint64) {
	m.send(w.MemberRef, w.PeerAddr, &wire.Control{Body: &wire.Control_Renew{Renew: &wire.Renew{
		Seq:            seq,
		Heard:          m.holder.LastAnswered(w.MemberRef),
		PromiseMs:      uint64(m.params.Lease.PromiseDuration.Milliseconds()),
		ConfigRevision: m.revision(),
		Digest:         m.digest,
	}}})
}

// checkOwnLease records when the lease is gained and lost. A node without a
// lease reads its own member object, since it may have been evicted.
func (m *Machine) checkOwnLease() {
	if m.phase != phaseJoined {
		return
	}
	leased := m.leased()
	if leased != m.own.leaseHeld {
		m.own.leaseHeld = leased
		m.own.leaseChangedAt = m.now
		ref := m.self
		text := "lease lapsed"
		if leased {
			text = "lease held"
			m.own.rejoinAttempts = 0
		}
		m.recordEvent(timeline.Event{Kind: timeline.KindLease, Member: &ref, Text: text})
	}
	if leased && !m.own.everLeased {
		m.own.everLeased = true
		m.reconcileSelf()
	}
	if !leased {
		m.read(cluster.MemberKey(m.self.Name))
	}
}

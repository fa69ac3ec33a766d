package fleet

import (
	"time"

	"fulmarhinge/internal/platform"
)

// checkLeader reads the document from the platform while the leader is silent
// or unproven, and claims the leadership once mayClaim allows it.
func (m *Machine) checkLeader() {
	if m.leadership != nil {
		return
	}
	if m.needsRead() {
		m.requestRead(readInterval)
	}
	m.resendToLeader()
	if m.mayClaim() {
		m.claim()
	}
}

// needsRead reports whether this follower reads the document from the platform.
func (m *Machine) needsRead() bool {
	if m.doc == nil || !m.verified {
		return true
	}
	silent := m.now.Sub(m.lease.leaderLastSeenAt)
	if silent > ownReadTimeout {
		return true
	}
	return (m.lease.leaderUnproven || silent > leaderSilenceTimeout) && m.claimRank() < claimCandidates
}

// WatchesConfig reports whether this node watches the operator's configuration in
// the platform: the leader and its standbys do, and every node that the leader
// may not reach. All others receive the configuration from the leader.
func (m *Machine) WatchesConfig() bool {
	return m.leadership != nil || m.configStandby || m.now.Sub(m.lease.lastAnswerAt) > ownReadTimeout
}

// resendToLeader sends the document and the configuration to a silent leader,
// which may have restarted and be unable to read them from the platform.
func (m *Machine) resendToLeader() {
	if m.doc == nil || m.now.Sub(m.lease.leaderLastSeenAt) < resendAfter ||
		m.lease.nextLeaderResend > m.now || m.claimRank() >= maxLeaderResenders {
		return
	}
	m.lease.nextLeaderResend = m.now.Add(resendInterval)
	if leader := m.doc.Members[m.doc.Leader.Name]; leader != nil && leader.Name != m.params.Self.Name {
		m.send(leader.Addr, m.documentMessage())
		m.ready.Configs = append(m.ready.Configs, ConfigDiffers{Addr: leader.Addr})
	}
}

// requestRead requests a read of the document unless one is in flight or was
// requested less than the interval ago.
func (m *Machine) requestRead(interval time.Duration) {
	if m.readInFlight || m.nextRead > m.now {
		return
	}
	m.readInFlight = true
	m.nextRead = m.now.Add(interval)
	m.ready.Read = true
}

// handleDocumentRead applies the result of a read. A document that lists this
// incarnation proves that its rows had not been reassigned when the read was
// served, so it renews the lease.
func (m *Machine) handleDocumentRead(e DocumentRead) {
	m.readInFlight = false
	if m.leadership != nil {
		m.leadership.lastCallUnanswered = e.Err != nil
	}
	if e.Err != nil || e.Era < m.era {
		return
	}
	m.observeEra(e.Era)
	m.lastReadAt = e.SentAt
	if e.Object.Version == 0 || platform.EraOf(e.Object.Version) < e.Era {
		m.handleDocumentMissing(e.Object)
		return
	}
	if e.Object.Version > m.version {
		doc, err := Decode(e.Object.Value)
		if err != nil {
			m.note("fleet document cannot be decoded", "version", platform.FormatVersion(e.Object.Version), "error", err)
			return
		}
		m.installDocument(doc, e.Object.Version)
	}
	m.verified = true
	if e.Object.Version < m.version {
		return
	}
	if m.leadership == nil && m.pendingWrite != nil && m.doc.ChangeID == m.pendingWrite.ChangeID && !m.doc.Resigned {
		// The claim in flight has taken effect.
		m.beginLeadership()
	}
	if m.leadership != nil {
		m.leadership.proofAt = max(m.leadership.proofAt, e.SentAt)
		return
	}
	m.resuming = nil
	if self := m.doc.Members[m.params.Self.Name]; self != nil && self.MemberRef == m.params.Self && !self.Evicted {
		m.extendLease(e.SentAt)
	}
}

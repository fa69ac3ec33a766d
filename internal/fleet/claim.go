package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/platform"
)

// mayClaim reports whether this node may claim the leadership: the leader has
// resigned, is an earlier process of this node, or has been silent or unproven
// for too long.
func (m *Machine) mayClaim() bool {
	if m.doc == nil || m.pendingWrite != nil || m.stopping || !m.verified || m.documentOutdated() {
		return false
	}
	leader := m.doc.Leader
	if leader == m.params.Self {
		// The answer to this node's claim was lost, and a read shows that the
		// claim took effect.
		return true
	}
	if leader.Name == m.params.Self.Name && !m.doc.Resigned {
		return true
	}
	if m.doc.Resigned && m.doc.Successor == m.params.Self.Name {
		return true
	}
	if m.doc.Resigned {
		wait := m.claimDelay()
		if m.doc.Successor != "" {
			wait += successorTimeout
		}
		return m.now.Sub(m.lease.leaderLastSeenAt) >= wait
	}
	silent := m.now.Sub(m.lease.leaderLastSeenAt)
	if silent <= claimTimeout && !m.lease.leaderUnproven {
		return false
	}
	wait := m.claimDelay()
	if m.doc.Members[m.params.Self.Name] == nil {
		// A claim adds the claimant to the members. Two such claims in a row by
		// unlisted nodes could form a majority that shares no member with the
		// earlier leader's.
		return silent > m.params.Timing.MaxOutage+claimTimeout+wait &&
			m.now.Sub(m.lastReadAt) < claimTimeout
	}
	leaderFailed := silent > claimTimeout+wait ||
		m.lease.leaderUnproven && m.now.Sub(m.lease.leaderUnprovenSince) > unprovenLeaderTimeout+wait
	return leaderFailed && m.now.Sub(m.lastReadAt) < claimTimeout
}

// claimRank is this node's rank in the order in which followers claim the
// leadership: by the capacity of their VMs, as a leader serves all members, and by
// hash among equals, so that neighbours in it are spread over the zones, which names
// often begin with.
func (m *Machine) claimRank() int {
	rank := 0
	for name, mem := range m.doc.Members {
		if name != m.doc.Leader.Name && name != m.params.Self.Name && !mem.Evicted && m.claimsBefore(mem) {
			rank++
		}
	}
	return rank
}

// claimsBefore reports whether another member claims the leadership before this node.
func (m *Machine) claimsBefore(mem *Member) bool {
	if mem.Weight != m.params.Weight {
		return mem.Weight > m.params.Weight
	}
	return xxhash.Sum64String(mem.Name) < xxhash.Sum64String(m.params.Self.Name)
}

// claimDelay is how much longer than claimTimeout this node waits for the leader
// before it claims the leadership.
func (m *Machine) claimDelay() time.Duration {
	rank := m.claimRank()
	return time.Duration(min(rank, claimCandidates))*claimStagger + time.Duration(max(rank-claimCandidates, 0))*lateClaimStagger
}

// claim writes a document that names this node as the leader of the next term.
func (m *Machine) claim() {
	doc := m.doc.clone()
	if doc.Leader != m.params.Self {
		m.predecessorEnded = doc.EarlierLeasesExpired && (doc.Resigned || doc.Leader.Name == m.params.Self.Name)
	}
	doc.EarlierLeasesExpired = false
	doc.Term++
	doc.Leader = m.params.Self
	doc.Resigned = false
	doc.Successor = ""
	m.addSelf(doc)
	m.note("leadership claimed", "term", doc.Term, "earlier", m.doc.Leader.String(),
		"resigned", m.doc.Resigned, "silent", m.now.Sub(m.lease.leaderLastSeenAt), "version", platform.FormatVersion(m.version))
	m.update(doc)
}

// addSelf lists this incarnation as a member. It takes no eviction back, see quorum.go;
// the first plan does.
func (m *Machine) addSelf(doc *Document) {
	old := doc.Members[m.params.Self.Name]
	if old != nil && old.MemberRef == m.params.Self {
		return
	}
	self := m.selfMember()
	if old != nil {
		self.Server, self.Evicted = old.Server, old.Evicted
	}
	doc.Members[m.params.Self.Name] = self
}

// selfMember returns this node's entry as a new member.
func (m *Machine) selfMember() *Member {
	return &Member{
		MemberRef: m.params.Self, Addr: m.params.Addr, Zone: m.params.Zone,
		Weight: m.params.Weight, OperatorAddr: m.params.OperatorAddr,
	}
}

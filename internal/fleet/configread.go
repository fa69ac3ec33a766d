package fleet

import (
	"time"

	"fulmarhinge/internal/clock"
)

const (
	// configSilence is how long a member may hear nothing from the leader before it
	// reads the configuration from the platform itself: a change may have come to
	// nobody who watches it.
	configSilence = time.Second
	// configProofAge is how old the leader's last proof that it reaches the platform may
	// be before the members that may claim first read the configuration too, and
	// send it what they find: the leader and its standbys may be cut off from the
	// platform together.
	configProofAge = time.Second
	// configCatchUp is how long a member may know that the leader has a newer
	// configuration before it does so: the leader's copy may be lost, or take long
	// over the leader's link.
	configCatchUp = 400 * time.Millisecond
	// configReadInterval is the time between two such reads, and configPollInterval
	// that between two reads of a node that watches the platform, in case its
	// watch does not deliver changes any more.
	configReadInterval = 600 * time.Millisecond
	configPollInterval = 1200 * time.Millisecond
)

// configReads decides when a node reads the configuration from the platform.
type configReads struct {
	nextAt clock.Mono
	// behindSince is when the leader was first known to have a newer configuration
	// than this node; 0 if it is not.
	behindSince clock.Mono
	// leaderProofAt is the time up to which the leader is known to reach the platform.
	leaderProofAt clock.Mono
	// leads is true if this node led when it was last asked.
	leads bool
}

// observeLeader records what the leader's answer says: the version that it has while this
// node has another one, and the age of its last proof.
func (r *configReads) observeLeader(now clock.Mono, leader, own uint64, proofAge time.Duration) {
	r.leaderProofAt = now.Add(-proofAge)
	switch {
	case leader <= own:
		r.behindSince = 0
	case r.behindSince == 0:
		r.behindSince = now
	}
}

// requestConfigRead requests a read of the configuration if this node cannot rely on
// the leader for it, or is the leader.
func (m *Machine) requestConfigRead() {
	r := &m.configReads
	began := m.Leads() && !r.leads
	r.leads = m.Leads()
	needed := r.leads || m.now.Sub(m.lease.lastAnswerAt) > configSilence ||
		r.behindSince > 0 && m.now.Sub(r.behindSince) > configCatchUp ||
		m.now.Sub(r.leaderProofAt) > configProofAge && m.mayForwardConfig()
	if !began && (!needed || r.nextAt > m.now) {
		return
	}
	interval := configReadInterval
	if m.WatchesConfig() {
		interval = configPollInterval
	}
	r.nextAt = m.now.Add(interval)
	m.ready.ReadConfig = true
}

// mayForwardConfig reports whether this member sends the leader a newer configuration
// that it reads. Only a few do, so that the leader is not sent one by each member.
func (m *Machine) mayForwardConfig() bool {
	return m.doc != nil && m.claimRank() < claimCandidates
}

// ForwardsConfig reports whether a newer configuration that this node reads from the
// platform is to be sent on.
func (m *Machine) ForwardsConfig() bool { return m.WatchesConfig() || m.mayForwardConfig() }

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
	// leads is true if this node led when it was last asked.
	leads bool
}

// observeLeader records the version that the leader has while this node has another one.
func (r *configReads) observeLeader(now clock.Mono, leader, own uint64) {
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
		r.behindSince > 0 && m.now.Sub(r.behindSince) > configCatchUp
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

package control

import (
	"fmt"
	"strings"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/timeline"
)

// Parameters of putting a configuration in force.
const (
	// applyTimeout is how long a node still admits requests after it has
	// learned of a newer configuration that is not in force on it yet.
	applyTimeout = 4 * time.Second
	// peerPartsTimeout is how long missing parts are requested only from peers
	// before they are read from the platform, so that a change costs it few
	// reads.
	peerPartsTimeout = 300 * time.Millisecond
)

// onHead handles a newer configuration head. Its revision comes into force as
// a whole once all parts have been received; until then the previous one stays in
// force. The head is sent on only after that, so that the sender always has
// the parts.
func (m *Machine) onHead(head config.Head, from string) {
	if head.Revision <= m.head.Revision {
		return
	}
	m.head = head
	m.headSeenAt = m.now
	m.recordKnownRevision(head.Revision)
	m.headSource = from
	missing := m.assembleConfig()
	if from != fromPlatform && len(missing) > 0 {
		m.fetch(from, missing)
	}
}

// assembleConfig puts the known head in force if its parts are complete, and
// returns the keys of the missing parts.
func (m *Machine) assembleConfig() []string {
	m.updateConfigStale()
	if m.head.Revision == 0 || m.revision() == m.head.Revision {
		return nil
	}
	cfg, missing, err := m.assembler.Assemble(m.head, m.objectValue)
	if err != nil || len(missing) > 0 {
		m.readMissingParts(missing)
		return missing
	}
	m.applyConfig(cfg)
	return nil
}

func (m *Machine) objectValue(key string) ([]byte, bool) {
	o, ok := m.objects[key]
	return o.value, ok
}

// readMissingParts reads missing parts from the platform once peerPartsTimeout
// has passed or if the head came from the platform.
func (m *Machine) readMissingParts(missing []string) {
	fromPeer := m.headSource != fromPlatform
	if fromPeer && m.headSeenAt.Add(peerPartsTimeout) > m.now {
		return
	}
	for _, k := range missing {
		m.read(k)
	}
}

// recordKnownRevision starts the time within which a newer revision must come
// into force.
func (m *Machine) recordKnownRevision(revision uint64) {
	if revision <= m.knownRevision {
		return
	}
	if m.knownRevision <= m.revision() {
		m.knownSince = m.now
	}
	m.knownRevision = revision
}

// onPeerRevision handles the revision that a peer has in force. If it is newer
// than the known head, that head was missed and is fetched.
func (m *Machine) onPeerRevision(from string, revision uint64) {
	m.recordKnownRevision(revision)
	if revision > m.head.Revision {
		m.fetch(from, []string{cluster.ConfigHeadKey})
	}
}

// applyOverdue reports whether a newer revision has been known for
// applyTimeout or longer without coming into force here.
func (m *Machine) applyOverdue() bool {
	return m.knownRevision > m.revision() && m.knownSince.Add(applyTimeout) <= m.now
}

// leaseLongExpired reports whether the node has had no lease for so long that
// a newer revision may be in force elsewhere: a node learns of new revisions
// from its witnesses.
func (m *Machine) leaseLongExpired() bool {
	return m.phase == phaseJoined && !m.leased() && m.own.leaseChangedAt.Add(applyTimeout) <= m.now
}

// updateConfigStale publishes a new view when the configuration becomes stale
// or ceases to be.
func (m *Machine) updateConfigStale() {
	if stale := m.applyOverdue() || m.leaseLongExpired(); stale != m.configStale {
		m.configStale = stale
		m.viewDirty = true
		if stale {
			m.recordEvent(timeline.Event{Kind: timeline.KindConfig, Revision: m.knownRevision, Text: "the newest revision may be missing, no requests are admitted"})
		}
	}
}

func (m *Machine) revision() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Revision
}

// applyConfig puts a configuration in force. Revisions never decrease.
func (m *Machine) applyConfig(cfg *config.Config) {
	if cfg.Revision <= m.revision() {
		return
	}
	m.config = cfg
	m.viewDirty = true
	for name := range cfg.Services {
		m.maxRequestTime[name] = max(m.maxRequestTime[name], cfg.MaxTime(name))
	}
	m.recordEvent(timeline.Event{Kind: timeline.KindConfig, Revision: cfg.Revision, Text: fmt.Sprintf("revision %d in force", cfg.Revision)})
	m.queueGossip(cluster.ConfigHeadKey, fromPlatform)
	m.deleteUnreferencedParts()
}

// deleteUnreferencedParts deletes the parts that the known head does not name.
func (m *Machine) deleteUnreferencedParts() {
	for k := range m.objects {
		if !strings.HasPrefix(k, cluster.ConfigPrefix) || k == cluster.ConfigHeadKey {
			continue
		}
		if !m.headNamesPart(k) {
			delete(m.objects, k)
		}
	}
}

// admitting reports whether the node may admit requests, and the reason if
// not.
func (m *Machine) admitting() (bool, string) {
	if m.config == nil {
		return false, "no configuration is in force yet"
	}
	if m.leaseLongExpired() {
		return false, "the node has had no lease for too long to know the newest configuration"
	}
	if m.applyOverdue() {
		return false, fmt.Sprintf("revision %d is known but not in force", m.knownRevision)
	}
	return true, ""
}

// isUnreferencedPart reports whether a key is a configuration part that the
// known head does not name. Such a part is not stored, so that a late copy of
// an old part is not sent on again.
func (m *Machine) isUnreferencedPart(key string) bool {
	if !strings.HasPrefix(key, cluster.ConfigPrefix) || key == cluster.ConfigHeadKey {
		return false
	}
	return !m.headNamesPart(key)
}

// headNamesPart reports whether the known head names a part.
func (m *Machine) headNamesPart(key string) bool {
	for _, k := range m.head.Parts {
		if k == key {
			return true
		}
	}
	return false
}

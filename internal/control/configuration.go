package control

import (
	"fmt"
	"strings"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/timeline"
)

// Rules of taking a configuration into force.
const (
	// applyWithin is how long a node may know of a newer configuration
	// without having it in force and still admit requests.
	applyWithin = 4 * time.Second
	// partsFromPeers is how long missing parts are asked of peers before the
	// platform is read for them, so that a change costs it few reads.
	partsFromPeers = 300 * time.Millisecond
)

// onHead takes a newer head. The revision comes into force once all parts are
// there, as a whole; until then the earlier one stays in force. The head is
// passed on only then, so that whoever passes it on has the parts at hand.
func (m *Machine) onHead(head config.Head, from string) {
	if head.Revision <= m.head.Revision {
		return
	}
	m.head = head
	m.headAt = m.now
	m.noteRevision(head.Revision)
	m.headFrom = from
	missing := m.assembleConfig()
	if from != noPeer && len(missing) > 0 {
		m.fetch(from, missing)
	}
}

// assembleConfig puts the known head in force if its parts are complete, and
// returns the keys that are missing.
func (m *Machine) assembleConfig() []string {
	m.refuseIfLate()
	if m.head.Revision == 0 || m.revision() == m.head.Revision {
		return nil
	}
	cfg, missing, err := m.assembler.Assemble(m.head, m.objectValue)
	if err != nil || len(missing) > 0 {
		m.seekParts(missing)
		return missing
	}
	m.adoptConfig(cfg)
	return nil
}

func (m *Machine) objectValue(key string) ([]byte, bool) {
	o, ok := m.objects[key]
	return o.value, ok
}

// seekParts reads missing parts from the platform once peers had their time.
func (m *Machine) seekParts(missing []string) {
	fromPeer := m.headFrom != noPeer
	if fromPeer && m.headAt.Add(partsFromPeers) > m.now {
		return
	}
	for _, k := range missing {
		m.read(k)
	}
}

// noteRevision starts the time within which a revision must be in force.
func (m *Machine) noteRevision(revision uint64) {
	if revision <= m.known {
		return
	}
	if m.known <= m.revision() {
		m.knownAt = m.now
	}
	m.known = revision
}

// hearRevision takes the revision that a peer has in force. One that is newer
// than the known head is asked for, since news of it must have been missed.
func (m *Machine) hearRevision(from string, revision uint64) {
	m.noteRevision(revision)
	if revision > m.head.Revision {
		m.fetch(from, []string{cluster.ConfigHeadKey})
	}
}

// late reports whether a newer revision has been known for too long without
// being in force here.
func (m *Machine) late() bool {
	return m.known > m.revision() && m.knownAt.Add(applyWithin) <= m.now
}

// cutOff reports whether the node has been without a lease for so long that a
// newer revision may be in force elsewhere: it hears of one from its witnesses.
func (m *Machine) cutOff() bool {
	return m.phase == phaseJoined && !m.leased() && m.own.lapsedAt.Add(applyWithin) <= m.now
}

// refuseIfLate publishes a view again when the time to apply has run out.
func (m *Machine) refuseIfLate() {
	if late := m.late() || m.cutOff(); late != m.wasLate {
		m.wasLate = late
		m.dirty = true
		if late {
			m.event(timeline.Event{Kind: timeline.KindConfig, Revision: m.known, Text: "the newest revision may be missing, no requests are admitted"})
		}
	}
}

func (m *Machine) revision() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Revision
}

// adoptConfig puts a revision in force. Revisions never go back.
func (m *Machine) adoptConfig(cfg *config.Config) {
	if cfg.Revision <= m.revision() {
		return
	}
	m.config = cfg
	m.dirty = true
	for name := range cfg.Services {
		m.maxTime[name] = max(m.maxTime[name], cfg.MaxTime(name))
	}
	m.event(timeline.Event{Kind: timeline.KindConfig, Revision: cfg.Revision, Text: fmt.Sprintf("revision %d in force", cfg.Revision)})
	m.spread(cluster.ConfigHeadKey, noPeer)
	m.dropParts()
}

// dropParts forgets parts that the head in force does not name.
func (m *Machine) dropParts() {
	for k := range m.objects {
		if !strings.HasPrefix(k, cluster.ConfigPrefix) || k == cluster.ConfigHeadKey {
			continue
		}
		if !m.namesPart(k) {
			delete(m.objects, k)
		}
	}
}

// admitting reports whether the node may admit requests, and if not, why.
func (m *Machine) admitting() (bool, string) {
	if m.config == nil {
		return false, "no configuration is in force yet"
	}
	if m.cutOff() {
		return false, "the node has had no lease for too long to know the newest configuration"
	}
	if m.late() {
		return false, fmt.Sprintf("revision %d is known but not in force", m.known)
	}
	return true, ""
}

// strayPart reports whether a key is a part that the known head does not name.
// It is not kept: an old part that goes round late must not be spread again.
func (m *Machine) strayPart(key string) bool {
	if !strings.HasPrefix(key, cluster.ConfigPrefix) || key == cluster.ConfigHeadKey {
		return false
	}
	return !m.namesPart(key)
}

// namesPart reports whether the known head names a part.
func (m *Machine) namesPart(key string) bool {
	for _, k := range m.head.Parts {
		if k == key {
			return true
		}
	}
	return false
}

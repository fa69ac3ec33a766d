package fleet

import (
	"slices"
	"time"

	"fulmarhinge/internal/clock"
)

const (
	// configProgressInterval is the time between two notes on members that do not
	// have the newest configuration.
	configProgressInterval = time.Second
	// maxMembersNoted bounds the members that such a note names.
	maxMembersNoted = 8
)

// configProgress is how far the newest configuration that the leader knows has come.
type configProgress struct {
	version uint64
	since   clock.Mono
	notedAt clock.Mono
	// delayed is true once a note said that members do not have it.
	delayed bool
}

// noteConfigProgress notes which members are known not to have the newest configuration
// a while after this leader has it, and when all have it.
func (m *Machine) noteConfigProgress() {
	p := &m.leadership.config
	if p.version != m.configVersion {
		*p = configProgress{version: m.configVersion, since: m.now, notedAt: m.now}
	}
	if m.now.Sub(p.notedAt) < configProgressInterval || !p.delayed && p.notedAt != p.since {
		return
	}
	p.notedAt = m.now
	var silent, behind []string
	for _, name := range m.doc.names() {
		s := m.leadership.statuses[name]
		switch {
		case m.doc.Members[name].Evicted:
		case s == nil || s.receivedAt < p.since:
			silent = append(silent, name)
		case s.GetConfigVersion() < p.version:
			behind = append(behind, name)
		}
	}
	if len(silent)+len(behind) > 0 {
		p.delayed = true
		m.note("configuration not confirmed by all members", "version", p.version, "after", m.now.Sub(p.since),
			"silent", len(silent), "behind", len(behind), "members", slices.Concat(behind, silent)[:min(maxMembersNoted, len(silent)+len(behind))])
	} else if p.delayed {
		p.delayed = false
		m.note("configuration confirmed by all members", "version", p.version, "after", m.now.Sub(p.since))
	}
}

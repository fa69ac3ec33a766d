package fleet

import (
	"cmp"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/wire"
)

const (
	// resendAfter is how long a member, or the leader, may be silent before it
	// is sent the document again, and resendInterval the least time between two
	// such messages.
	resendAfter    = 700 * time.Millisecond
	resendInterval = 500 * time.Millisecond
	// documentLinkShare is the part of the leader's link that whole documents may
	// take. The answers that renew leases need the rest.
	documentLinkShare = 0.5
	// documentBurst is how much of that part may be left unused and made up for, as
	// documents are sent on ticks and on statuses only.
	documentBurst = 50 * time.Millisecond
)

// documentPacer spaces whole documents so that they take only a part of the link.
type documentPacer struct {
	nextAt clock.Mono
	sent   int
}

// take reports whether a document of this size may be sent now over a link of this
// bandwidth in Mbit/s, and counts it if so. A bandwidth of 0 means no limit.
func (p *documentPacer) take(now clock.Mono, size int, linkMbps float64) bool {
	if p.nextAt > now {
		return false
	}
	p.sent++
	if linkMbps > 0 {
		seconds := float64(size*8) / (linkMbps * 1e6 * documentLinkShare)
		p.nextAt = max(p.nextAt, now.Add(-documentBurst)).Add(time.Duration(seconds * float64(time.Second)))
	}
	return true
}

// sendWhole sends a member the whole document, unless the last one may still be on its
// way to it or the link is to carry no more documents now. It reports whether it sent.
func (m *Machine) sendWhole(name, addr string) bool {
	l := m.leadership
	if m.now.Sub(l.resentAt[name]) < resendInterval || !l.documents.take(m.now, len(m.encoded()), m.params.LinkMbps) {
		return false
	}
	l.resentAt[name] = m.now
	m.send(addr, m.documentMessage())
	return true
}

// bringUpToDate sends a member what it lacks of the document.
func (m *Machine) bringUpToDate(name string, s *wire.NodeStatus) {
	if update := m.documentUpdate(s.GetDocumentVersion()); update.GetObjects() == nil {
		m.send(s.GetPeerAddr(), update)
		return
	}
	m.sendWhole(name, s.GetPeerAddr())
}

// resendDocument sends the document to silent members, because a restarted member may be
// unable to read it from the platform. Those that have waited longest come first. A new
// leader has heard from nobody, so that silence counts from the claim at the earliest.
func (m *Machine) resendDocument() {
	l := m.leadership
	var silent []string
	for _, name := range m.doc.names() {
		heardAt := l.claimedAt
		if s := l.statuses[name]; s != nil {
			heardAt = max(heardAt, s.receivedAt)
		}
		if name != m.params.Self.Name && m.now.Sub(heardAt) >= resendAfter {
			silent = append(silent, name)
		}
	}
	slices.SortStableFunc(silent, func(a, b string) int { return cmp.Compare(l.resentAt[a], l.resentAt[b]) })
	for _, name := range silent {
		m.sendWhole(name, m.doc.Members[name].Addr)
	}
}

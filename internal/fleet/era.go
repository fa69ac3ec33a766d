package fleet

import (
	"strconv"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
)

// The store may come back from an older copy of itself; its era then increases.
// What was written since the copy is gone, and a write of the earlier era may
// still take effect. Each era therefore has a document of its own under its own
// key: no read, write or late write of an earlier era affects it.
//
// The first document of an era is written from the newest one that its writer
// knows, which may lack changes of the lost time. It is marked as Recovered, and
// is safe whichever document it was written from:
//   - Terms and epochs go up by eraGap, so that none is given out twice.
//   - A node keeps granting the rows whose grants are in force: nobody else can
//     hold these. It reports all others as released.
//   - The leader changes no owner until every lease of an earlier term has run
//     out. It then gives new epochs to all rows that their owners have not
//     confirmed, and clears the mark.

const (
	// firstEra is the era of a store that never came back from a copy. Stores
	// without eras are in era 0.
	firstEra = 1
	// eraGap is added to the term and the last epoch for each change of era. It
	// exceeds the number of terms and epochs that can be given out in the time
	// that a copy may lack.
	eraGap = 1 << 20
	// copyRecoveryDelay is how long a node without a document leaves writing
	// the first document of an era to nodes that have a newer one than the copy.
	copyRecoveryDelay = 4 * time.Second
)

// StoreKey returns the key of the fleet document of an era in the store.
func StoreKey(era uint64) string {
	if era <= firstEra {
		return DocumentKey
	}
	return DocumentKey + "-" + strconv.FormatUint(era, 10)
}

// observeEra records the era of a response of the store.
func (m *Machine) observeEra(era uint64) {
	if era <= m.era {
		return
	}
	if m.doc != nil && era > firstEra {
		m.note("store came back from an older copy", "era", era, "document", platform.FormatVersion(m.version),
			"term", m.doc.Term, "last_epoch", m.doc.LastEpoch)
	}
	m.era = era
	m.eraKnownAt = m.now
}

// documentOutdated reports whether the document is of an earlier era than the
// store.
func (m *Machine) documentOutdated() bool { return platform.EraOf(m.version) < m.era }

// recoverDocument writes the first document of the store's era. The leader does
// so at once, other members if it has not done so in time.
func (m *Machine) recoverDocument() {
	if m.pendingWrite != nil || m.stopping {
		return
	}
	if m.leadership == nil {
		wait := claimTimeout + m.claimDelay()
		if m.doc.Members[m.params.Self.Name] == nil {
			// See mayClaim.
			wait += m.params.Timing.MaxOutage
		}
		if m.now.Sub(m.eraKnownAt) < wait {
			return
		}
	}
	m.writeRecovered(m.doc, platform.EraOf(m.version))
}

// recoverFromCopy writes the first document of the store's era by a node that has
// none, from the one of an earlier era that the store's copy contains, if any.
func (m *Machine) recoverFromCopy(copied platform.Object) {
	if m.pendingWrite != nil || m.now.Sub(m.eraKnownAt) < copyRecoveryDelay {
		return
	}
	doc := &Document{Members: map[string]*Member{}, Tables: map[string]Table{}}
	if copied.Version != 0 {
		decoded, err := Decode(copied.Value)
		if err != nil {
			m.note("fleet document cannot be decoded", "version", platform.FormatVersion(copied.Version), "error", err)
			return
		}
		doc = decoded
	}
	m.writeRecovered(doc, platform.EraOf(copied.Version))
}

// writeRecovered writes the first document of the store's era from one of an
// earlier era.
func (m *Machine) writeRecovered(from *Document, fromEra uint64) {
	doc := from.clone()
	doc.Term += (m.era-fromEra)*eraGap + 1
	doc.LastEpoch += (m.era - fromEra) * eraGap
	doc.Leader, doc.Resigned, doc.Successor = m.params.Self, false, ""
	doc.EarlierLeasesExpired, doc.Recovered = false, true
	m.predecessorEnded = false
	m.addSelf(doc)
	m.note("fleet document written again in a new era", "era", m.era, "from", platform.FormatVersion(m.version),
		"term", doc.Term, "last_epoch", doc.LastEpoch, "members", len(doc.Members))
	m.write(doc, m.era, 0)
}

// releaseUngranted reports the rows of a recovered document that this node has no
// grant in force for, so that they are granted again only with a new epoch.
func (m *Machine) releaseUngranted() {
	for _, t := range m.doc.Tables {
		for _, row := range t {
			if row.Owner == m.params.Self.Name && row.Next == "" && !m.local.granted(row, m.now) {
				m.release(span{row.From, row.To, row.Epoch}, "")
			}
		}
	}
}

// confirmRows ends the recovery: rows that their owners have not confirmed since
// the document was recovered get new epochs. All leases of earlier terms have run
// out.
func (p *planner) confirmRows() {
	if !p.doc.Recovered {
		return
	}
	renewed := 0
	for _, service := range p.doc.services() {
		t := p.doc.Tables[service]
		for i := range t {
			if t[i].Owner == "" || p.confirmed(&t[i]) {
				continue
			}
			p.doc.LastEpoch++
			t[i].Epoch, t[i].Token = p.doc.LastEpoch, ""
			renewed++
		}
	}
	p.doc.Recovered = false
	p.changed = true
	p.machine.note("recovery of the fleet document ended", "term", p.doc.Term, "rows_with_new_epoch", renewed)
}

// confirmed reports whether the owner has received the recovered document and
// still holds the row, or hands it over with its release.
func (p *planner) confirmed(r *Row) bool {
	m := p.machine
	mem, s := p.doc.Members[r.Owner], m.leadership.statuses[r.Owner]
	if mem == nil || s == nil || mem.MemberRef != (cluster.MemberRef{Name: r.Owner, Incarnation: s.incarnation}) ||
		platform.EraOf(s.GetDocumentVersion()) != platform.EraOf(m.version) {
		return false
	}
	if r.Next != "" {
		return true
	}
	for _, released := range s.GetReleased() {
		if released.GetEpoch() == r.Epoch && int(released.GetFrom()) <= r.To && int(released.GetTo()) >= r.From {
			return false
		}
	}
	return true
}

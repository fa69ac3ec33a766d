package fleet

import (
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/wire"
)

// Waits of the leader.
const (
	// proofEvery is the time between two proofs of the term by a read.
	proofEvery = 700 * time.Millisecond
	// planEvery lets changes that come together be written together.
	planEvery = 40 * time.Millisecond
	// silenceLimit is when a member without a status is evicted. It is above
	// several lost statuses and below the time that callers wait.
	silenceLimit = 1500 * time.Millisecond
	// forgetAfter is how long an evicted member without rows stays listed.
	forgetAfter = 5 * time.Second
	// nudgeAfter is the silence after which a member is sent the document, and
	// nudgeEvery the time between two sendings.
	nudgeAfter = 700 * time.Millisecond
	nudgeEvery = 500 * time.Millisecond
	// betterBy is how much more a VM must be able to carry to be passed the lead.
	betterBy = 1.5
	// heirWait is how long others leave a lead that was passed on to the heir.
	heirWait = 600 * time.Millisecond
	// gatherFor is how long the first placement of a service waits for
	// backend servers that start together.
	gatherFor = 1200 * time.Millisecond
)

// leadership is what only the leader keeps.
type leadership struct {
	// proofAt is when the last call to the platform was sent that showed this
	// term as the present one.
	proofAt   clock.Mono
	claimedAt clock.Mono
	// clean is true if no earlier leader can renew leases any more.
	clean bool
	// electorate holds the members at the claim. A majority of them that
	// follows this term keeps the earlier leader from renewing leases.
	electorate []string
	majorityAt clock.Mono
	statuses   map[string]*heardStatus
	// evictedAt is when a document with the mark was first held here.
	evictedAt map[string]clock.Mono
	// readySince is when a service without a table first had a ready server.
	readySince map[string]clock.Mono
	nextPlan   clock.Mono
	// adopted holds the restarted members that are renewed although the
	// platform cannot take their new incarnation, and since when.
	adopted map[string]adoption
	// nudged is when a silent member was last sent the document.
	nudged  map[string]clock.Mono
	balance balanceState
	// term is the one that is led.
	term uint64
	// resumed is true if an earlier process of this node won the term: this one
	// renews leases and writes nothing but a claim of the next term.
	resumed bool
	// unanswered is true if the platform's last call failed.
	unanswered bool
	// promisedAt is when a member was last promised that nothing is written.
	promisedAt map[string]clock.Mono
}

// adoption is a new incarnation of a member that the document does not list.
type adoption struct {
	incarnation uint64
	since       clock.Mono
}

// heardStatus is the last status of a member.
type heardStatus struct {
	*wire.NodeStatus
	incarnation uint64
	at          clock.Mono
	// echoAt is this node's own clock as the status showed it back: the status
	// was sent later.
	echoAt clock.Mono
}

// mayClaim reports whether this node may try to lead: the leader resigned, was
// an earlier process of this node, or has been silent for long.
func (m *Machine) mayClaim() bool {
	if m.doc == nil || m.pending != nil || m.stopping || !m.verified {
		return false
	}
	leader := m.doc.Leader
	if leader == m.p.Self {
		// The write that made this node the leader was answered by a read.
		return true
	}
	if leader.Name == m.p.Self.Name && !m.doc.Resigned {
		return true
	}
	if m.doc.Resigned {
		return m.doc.Heir == "" || m.doc.Heir == m.p.Self.Name || m.now.Sub(m.lease.heard) > heirWait
	}
	wait := time.Duration(m.claimRank()) * claimStagger
	if m.doc.Members[m.p.Self.Name] == nil {
		// Claims list the claimant. Two of strangers in a row could gather a
		// majority that has nobody in common with the earlier leader's.
		return m.now.Sub(m.lease.heard) > m.p.Timing.Outage+claimAfter+wait && m.now.Sub(m.readAt) < claimAfter
	}
	silent := m.now.Sub(m.lease.heard) > claimAfter+wait || m.lease.unproven && m.now.Sub(m.lease.unprovenAt) > unprovenWait+wait
	return silent && m.now.Sub(m.readAt) < claimAfter
}

// claimRank is this node's place among those that may claim.
func (m *Machine) claimRank() int {
	names := slices.DeleteFunc(m.doc.names(), func(n string) bool { return n == m.doc.Leader.Name })
	i, _ := slices.BinarySearch(names, m.p.Self.Name)
	return i % claimRanks
}

// claim writes a document with this node as the next leader.
func (m *Machine) claim() {
	doc := m.doc.clone()
	if doc.Leader != m.p.Self {
		m.predecessorEnded = doc.Settled && (doc.Resigned || doc.Leader.Name == m.p.Self.Name)
	}
	doc.Settled = false
	doc.Term++
	doc.Leader = m.p.Self
	doc.Resigned = false
	doc.Heir = ""
	m.join(doc)
	m.note("leadership claimed", "term", doc.Term, "earlier", m.doc.Leader.String(),
		"resigned", m.doc.Resigned, "silent", m.now.Sub(m.lease.heard), "version", m.version)
	m.write(doc)
}

// join lists this incarnation.
func (m *Machine) join(doc *Document) {
	old := doc.Members[m.p.Self.Name]
	if old != nil && old.MemberRef == m.p.Self {
		old.Evicted = false
		return
	}
	self := m.ownEntry()
	if old != nil {
		self.Server = old.Server
	}
	doc.Members[m.p.Self.Name] = self
}

// ownEntry is this node as a new member.
func (m *Machine) ownEntry() *Member {
	return &Member{MemberRef: m.p.Self, Addr: m.p.Addr, Zone: m.p.Zone, Weight: m.p.Weight, Operator: m.p.Operator}
}

// confirm takes a write that made or kept this node the leader.
func (m *Machine) confirm(sentAt clock.Mono) {
	if m.lead == nil || m.lead.term != m.doc.Term {
		m.lead = m.newLeadership()
		m.lead.clean = m.predecessorEnded
		m.resuming = nil
		m.note("leadership held", "term", m.doc.Term, "version", m.version, "members", len(m.doc.Members))
		m.hurry()
	}
	m.lead.proofAt = max(m.lead.proofAt, sentAt)
	m.lead.unanswered = false
	m.noteEvicted()
}

func (m *Machine) newLeadership() *leadership {
	return &leadership{
		term: m.doc.Term, claimedAt: m.now, statuses: map[string]*heardStatus{}, evictedAt: map[string]clock.Mono{},
		readySince: map[string]clock.Mono{}, electorate: m.doc.names(),
		adopted: map[string]adoption{}, nudged: map[string]clock.Mono{}, promisedAt: map[string]clock.Mono{},
	}
}

func (m *Machine) stepDown() {
	m.lead = nil
	m.lease.heard = m.now
	m.note("leadership lost", "term", m.doc.Term, "leader", m.doc.Leader.String(), "resigned", m.doc.Resigned)
}

// noteEvicted starts the wait for the leases of members that the document
// marks: from here on none of them is renewed.
func (m *Machine) noteEvicted() {
	for name, mem := range m.doc.Members {
		if _, known := m.lead.evictedAt[name]; mem.Evicted && !known {
			m.lead.evictedAt[name] = m.now
		} else if !mem.Evicted {
			delete(m.lead.evictedAt, name)
		}
	}
}

// broadcast sends what has changed in the document to every other member.
func (m *Machine) broadcast() {
	if len(m.past) < 2 {
		return
	}
	msg := m.news(m.past[len(m.past)-2].version)
	for _, name := range m.doc.names() {
		if mem := m.doc.Members[name]; name != m.p.Self.Name && !mem.Evicted {
			m.send(mem.Addr, &wire.Control{Body: msg.GetBody()})
		}
	}
}

func (m *Machine) statusFromPeer(e Message, s *wire.NodeStatus) {
	if m.doc == nil {
		return
	}
	if m.lead == nil {
		m.probe(e, s)
		return
	}
	if s.GetTerm() > m.doc.Term {
		m.nextRead = m.now
		m.read(proofEvery)
		return
	}
	m.onStatus(e.From.Name, e.From.Incarnation, s)
}

// onStatus takes a member's status and answers it.
func (m *Machine) onStatus(name string, incarnation uint64, s *wire.NodeStatus) {
	mem := m.doc.Members[name]
	if mem != nil && mem.Incarnation > incarnation {
		return
	}
	heard := m.heard(incarnation, s)
	if name == m.p.Self.Name && !m.lead.resumed {
		heard.echoAt = m.now
	}
	if old := m.lead.statuses[name]; old != nil && old.incarnation == incarnation && old.GetSeq() > s.GetSeq() {
		return
	}
	if old := m.lead.statuses[name]; old != nil && !s.GetHasLoads() {
		s.Loads = old.GetLoads()
	}
	m.lead.statuses[name] = heard
	m.countMajority()
	m.lead.kept(name, heard)
	renewed := mem != nil && !mem.Evicted && (mem.Incarnation == incarnation && m.valid() || m.adopts(mem, incarnation, s))
	if name == m.p.Self.Name {
		if renewed {
			m.renewOwn(mem)
		}
		return
	}
	promised := m.mayPromise()
	if promised {
		m.lead.promisedAt[name] = m.now
	}
	m.send(s.GetPeerAddr(), &wire.Control{Body: &wire.Control_StatusAnswer{StatusAnswer: &wire.StatusAnswer{
		Seq: s.GetSeq(), Term: m.doc.Term, Renewed: renewed, DocumentVersion: m.version, Stamp: int64(m.now),
		Unproven: m.unproven(), Promised: promised, ProofAgeMs: m.now.Sub(m.lead.proofAt).Milliseconds() + 1,
	}}})
	if s.GetDocumentVersion() < m.version {
		m.send(s.GetPeerAddr(), m.news(s.GetDocumentVersion()))
	}
	if s.GetConfigVersion() != m.configVersion {
		m.ready.Configs = append(m.ready.Configs, ConfigDiffers{Addr: s.GetPeerAddr(), Version: s.GetConfigVersion()})
	}
}

// heard returns a status as it came in now.
func (m *Machine) heard(incarnation uint64, s *wire.NodeStatus) *heardStatus {
	h := &heardStatus{NodeStatus: s, incarnation: incarnation, at: m.now}
	if s.GetVerified() && s.GetTerm() == m.doc.Term && s.GetEchoFrom() == m.p.Self.Incarnation {
		h.echoAt = clock.Mono(s.GetEcho())
	}
	return h
}

// renewOwn extends the lease of the node that leads.
func (m *Machine) renewOwn(listed *Member) {
	if listed.MemberRef != m.p.Self {
		m.lease.adoptedIn = m.version
	}
	m.extend(m.now)
}

// countMajority notes when a majority of the members at the claim follows.
func (m *Machine) countMajority() {
	if m.lead.majorityAt > 0 {
		return
	}
	n := 0
	for _, name := range m.lead.electorate {
		if s := m.lead.statuses[name]; s != nil && s.GetVerified() && s.GetTerm() == m.doc.Term {
			n++
		}
	}
	if 2*n > len(m.lead.electorate) {
		m.lead.majorityAt = m.now
		m.note("leadership followed", "term", m.doc.Term, "followers", n)
	}
}

// valid reports whether this node may renew leases: the platform has shown its
// term recently or, in an outage of the platform, a majority follows it. The
// majority must have been heard since shortly: a member that follows a later
// term shows no stamp of this one any more.
func (m *Machine) valid() bool {
	age := m.now.Sub(m.lead.proofAt)
	if age < m.p.Timing.Fresh {
		return true
	}
	if age > m.p.Timing.Outage {
		return false
	}
	return m.followedSince(m.now.Add(-m.p.Timing.Fresh))
}

// followedSince reports whether a majority of the members followed this term
// at a time after the given one. It must be one of the members that a later
// leader would count as well, whichever undecided write has taken effect.
func (m *Machine) followedSince(at clock.Mono) bool {
	if !m.lead.majority(m.doc, at) {
		return false
	}
	for _, u := range m.undecided() {
		if !m.lead.majority(u, at) {
			return false
		}
	}
	return true
}

func (l *leadership) majority(doc *Document, at clock.Mono) bool {
	n := 0
	for name := range doc.Members {
		if s := l.statuses[name]; s != nil && s.echoAt > max(at, 0) {
			n++
		}
	}
	return 2*n > len(doc.Members)
}

// better returns a member whose VM can carry clearly more than this one's and
// that can take the lead now; empty if there is none.
func (m *Machine) better() string {
	if !m.doc.Settled || m.unproven() {
		return ""
	}
	best, weight := "", m.p.Weight*betterBy
	for _, name := range m.doc.names() {
		mem, s := m.doc.Members[name], m.lead.statuses[name]
		if s == nil || mem.Evicted || mem.Leaving || !s.GetVerified() || m.now.Sub(s.at) > 2*statusEvery {
			continue
		}
		if mem.Weight > weight {
			best, weight = name, mem.Weight
		}
	}
	return best
}

// unproven reports whether the platform has not answered for a while.
func (m *Machine) unproven() bool { return m.now.Sub(m.lead.proofAt) > m.p.Timing.Fresh*3/4 }

// adopts reports whether a restarted member may act for its earlier
// incarnation while the platform is away. That one has ended, as it had the
// same address. No other leader can have moved its rows: a majority followed
// this term after the restart, and no undecided write of this node does.
func (m *Machine) adopts(mem *Member, incarnation uint64, s *wire.NodeStatus) bool {
	if incarnation <= mem.Incarnation || s.GetPeerAddr() != mem.Addr || s.GetTenure() != 0 || !m.established() ||
		m.now.Sub(m.lead.proofAt) > m.p.Timing.Outage || !m.keepsRows(mem.Name) {
		return false
	}
	a, known := m.lead.adopted[mem.Name]
	if !known || a.incarnation != incarnation {
		a = adoption{incarnation: incarnation, since: m.now}
		m.lead.adopted[mem.Name] = a
	}
	return m.valid() && m.followedSince(a.since)
}

// keepsRows reports whether every undecided write leaves a member all the rows
// that it may grant.
func (m *Machine) keepsRows(name string) bool {
	for _, u := range m.undecided() {
		if !leavesRows(m.doc, u, name) {
			return false
		}
	}
	return true
}

// leavesRows reports whether a member has all the rows that it may grant under
// one document under the next one as well.
func leavesRows(doc, next *Document, name string) bool {
	for service, t := range doc.Tables {
		for _, r := range t {
			if r.Owner != name || r.Next != "" {
				continue
			}
			for _, w := range next.Tables[service] {
				if w.From <= r.To && w.To >= r.From && (w.Owner != name || w.Epoch != r.Epoch) {
					return false
				}
			}
		}
	}
	return true
}

// established reports whether this node may change who owns what: no earlier
// leader can still speak for a majority.
func (m *Machine) established() bool {
	l := m.lead
	return l.clean || l.majorityAt > 0 || m.now >= l.claimedAt.Add(m.p.Timing.Outage)
}

// nudge sends the document to members that have fallen silent: one that has
// restarted may be unable to read it from the platform.
func (m *Machine) nudge() {
	for name, mem := range m.doc.Members {
		s := m.lead.statuses[name]
		if name == m.p.Self.Name || s != nil && m.now.Sub(s.at) < nudgeAfter || m.now.Sub(m.lead.nudged[name]) < nudgeEvery {
			continue
		}
		m.lead.nudged[name] = m.now
		m.send(mem.Addr, m.documentMessage())
	}
}

// settled reports whether no earlier leader can have renewed a lease that
// still runs.
func (m *Machine) settled() bool {
	l, t := m.lead, m.p.Timing
	switch {
	case l.clean && m.now >= l.claimedAt.Add(t.Lease):
		return true
	case l.majorityAt > 0 && m.now >= l.majorityAt.Add(t.Fresh+t.Lease):
		return true
	default:
		return m.now >= l.claimedAt.Add(t.Outage+t.Lease)
	}
}

// leadTick proves the term and writes what has to change.
func (m *Machine) leadTick() {
	if m.now.Sub(m.lead.proofAt) > proofEvery {
		m.read(proofEvery)
	}
	m.nudge()
	if m.pending != nil || m.lead.nextPlan > m.now || m.bound() {
		return
	}
	m.lead.nextPlan = m.now.Add(planEvery)
	if m.lead.resumed {
		if m.verified {
			m.claim()
		}
		return
	}
	if m.stopping {
		doc := m.doc.clone()
		doc.Resigned = true
		m.note("leadership given up", "term", doc.Term)
		m.write(doc)
		return
	}
	if heir := m.better(); heir != "" {
		doc := m.doc.clone()
		doc.Resigned, doc.Heir = true, heir
		m.note("leadership passed on", "term", doc.Term, "to", heir)
		m.write(doc)
		return
	}
	if !m.established() || m.unproven() {
		// A write without an answer would leave open what the document is.
		return
	}
	if doc := m.plan(); doc != nil {
		m.write(doc)
	}
}

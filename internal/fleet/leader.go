package fleet

import (
	"maps"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/evacuation"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

// Intervals and timeouts of the leader.
const (
	// proofInterval is the time between two reads that prove the term.
	proofInterval = 700 * time.Millisecond
	// planInterval is the least time between two plans, so that changes that
	// arrive together are written together. It is short against the report
	// period that a hand-over takes at each server.
	planInterval = 100 * time.Millisecond
	// evictionTimeout is how long a member may send no status before it is
	// evicted. It is longer than several lost statuses and shorter than the
	// time that callers wait.
	evictionTimeout = 1500 * time.Millisecond
	// evictedRetention is how long an evicted member without rows stays in the
	// document.
	evictedRetention = 5 * time.Second
	// transferWeightRatio is the ratio to the leader's weight that another
	// member's weight must exceed for the leadership to be transferred to it.
	transferWeightRatio = 1.5
	// successorTimeout is how long other members leave a transferred leadership
	// to the named successor.
	successorTimeout = 600 * time.Millisecond
	// initialPlacementDelay is how long the first placement of a service waits,
	// so that backend servers that start together all get rows.
	initialPlacementDelay = 1200 * time.Millisecond
)

// leadership is the state that only the leader keeps.
type leadership struct {
	// proofAt is when the last platform call that proved this term current was
	// sent.
	proofAt   clock.Mono
	claimedAt clock.Mono
	// predecessorEnded is true if no earlier leader can renew leases any more.
	predecessorEnded bool
	// claimed is the document that the claim wrote. Once enough of its members
	// follow this term (followsClaim), no earlier leader can renew leases.
	claimed    *Document
	majorityAt clock.Mono
	statuses   map[string]*memberStatus
	// evictedAt is when this node first held a document that marks the member
	// as evicted.
	evictedAt map[string]clock.Mono
	// readySince is when a service without a table first had a ready backend
	// server.
	readySince map[string]clock.Mono
	nextPlanAt clock.Mono
	// restarted holds the restarted members that are renewed although their new
	// incarnation cannot be written to the platform.
	restarted map[string]restartedMember
	// resentAt is when each member was last sent the whole document.
	resentAt map[string]clock.Mono
	// documents spaces the whole documents that are sent to members.
	documents documentPacer
	balance   balanceState
	// term is the term of this leadership.
	term uint64
	// resumed is true if an earlier process of this node won the term. This
	// process renews leases and writes nothing but a claim of the next term.
	resumed bool
	// lastCallUnanswered is true if the platform did not answer the last call.
	// A conflict counts as an answer.
	lastCallUnanswered bool
	// promisedAt is when each member was last promised that the document is not
	// written.
	promisedAt map[string]clock.Mono
	// config is how far the newest configuration has come.
	config configProgress
	// evacuations is what the store's objects say of the zones under evacuation.
	evacuations evacuation.Tracker
}

// restartedMember is a new incarnation of a member that the document does not
// list yet.
type restartedMember struct {
	incarnation uint64
	since       clock.Mono
}

// memberStatus is the last status of a member.
type memberStatus struct {
	*wire.NodeStatus
	incarnation uint64
	receivedAt  clock.Mono
	// echoAt is the latest stamp of this node's clock that the status returned.
	// The status was sent after that time.
	echoAt clock.Mono
}

// updateLeadership adapts the leadership of this node to a document that has just been
// installed. The document may be one that this node wrote: a read or a peer can bring it
// before the answer to the write, or the answer may never come.
func (m *Machine) updateLeadership() {
	if m.leadership == nil {
		return
	}
	switch {
	case m.doc.Leader != m.params.Self || m.doc.Resigned:
		m.stepDown()
	case m.leadership.term != m.doc.Term:
		// What the earlier term knew of leases and members does not hold in this one.
		m.beginLeadership()
	default:
		m.trackEvictions()
	}
}

// confirmLeadership handles a successful write that made or kept this node the
// leader.
func (m *Machine) confirmLeadership(sentAt clock.Mono) {
	if m.leadership == nil || m.leadership.term != m.doc.Term {
		m.beginLeadership()
	}
	m.leadership.proofAt = max(m.leadership.proofAt, sentAt)
	m.leadership.lastCallUnanswered = false
}

// beginLeadership begins the term of the current document, which this node has won.
func (m *Machine) beginLeadership() {
	m.leadership = m.newLeadership()
	m.leadership.predecessorEnded = m.predecessorEnded
	m.resuming = nil
	m.trackEvictions()
	m.note("leadership held", "term", m.doc.Term, "version", platform.FormatVersion(m.version), "members", len(m.doc.Members))
	m.sendStatusNow()
}

func (m *Machine) newLeadership() *leadership {
	return &leadership{
		term: m.doc.Term, claimedAt: m.now, statuses: map[string]*memberStatus{}, evictedAt: map[string]clock.Mono{},
		readySince: map[string]clock.Mono{}, claimed: m.doc,
		restarted: map[string]restartedMember{}, resentAt: map[string]clock.Mono{}, promisedAt: map[string]clock.Mono{},
	}
}

func (m *Machine) stepDown() {
	l := m.leadership
	m.leadership = nil
	m.lease.leaderLastSeenAt, m.lease.lastAnswerAt = m.now, m.now
	m.note("leadership lost", "term", m.doc.Term, "leader", m.doc.Leader.String(), "resigned", m.doc.Resigned,
		"led", m.now.Sub(l.claimedAt), "followers", len(l.statuses), "whole_documents", l.documents.sent)
}

// trackEvictions records when members were marked as evicted. From then on
// their leases are not renewed, and run out. It must see every document that is
// installed: a member may be evicted again after it came back.
func (m *Machine) trackEvictions() {
	evictedAt := m.leadership.evictedAt
	maps.DeleteFunc(evictedAt, func(name string, _ clock.Mono) bool {
		mem := m.doc.Members[name]
		return mem == nil || !mem.Evicted
	})
	for name, mem := range m.doc.Members {
		if _, known := evictedAt[name]; mem.Evicted && !known {
			evictedAt[name] = m.now
		}
	}
}

// broadcast sends the latest change of the document to every other member.
func (m *Machine) broadcast() {
	if len(m.recentDocuments) < 2 {
		return
	}
	msg := m.documentUpdate(m.recentDocuments[len(m.recentDocuments)-2].version)
	for _, name := range m.doc.names() {
		if mem := m.doc.Members[name]; name != m.params.Self.Name && !mem.Evicted {
			m.send(mem.Addr, &wire.Control{Body: msg.GetBody()})
		}
	}
}

func (m *Machine) handlePeerStatus(e Message, s *wire.NodeStatus) {
	if err := checkStatus(s); err != nil {
		m.noteMalformed(e.From.Name, "status", err)
		return
	}
	if m.doc == nil {
		return
	}
	if m.leadership == nil {
		m.tryResume(e, s)
		return
	}
	if s.GetTerm() > m.doc.Term {
		m.nextRead = m.now
		m.requestRead(proofInterval)
		return
	}
	m.handleStatus(e.From.Name, e.From.Incarnation, s)
}

// handleStatus records a member's status and answers it.
func (m *Machine) handleStatus(name string, incarnation uint64, s *wire.NodeStatus) {
	mem := m.doc.Members[name]
	if mem != nil && mem.Incarnation > incarnation {
		return
	}
	status := m.newMemberStatus(incarnation, s)
	if name == m.params.Self.Name && !m.leadership.resumed {
		status.echoAt = m.now
	}
	if old := m.leadership.statuses[name]; old != nil && old.incarnation == incarnation && old.GetSeq() > s.GetSeq() {
		return
	}
	if old := m.leadership.statuses[name]; old != nil && !s.GetHasLoads() {
		s.Loads = old.GetLoads()
	}
	m.leadership.statuses[name] = status
	m.recordMajority()
	m.leadership.clearPromise(name, status)
	renewed := mem != nil && !mem.Evicted &&
		(mem.Incarnation == incarnation && m.mayRenew() || m.mayRenewRestarted(mem, incarnation, s))
	if name == m.params.Self.Name {
		if renewed {
			m.renewSelf(mem)
		}
		return
	}
	promised := m.mayPromise()
	if promised {
		m.leadership.promisedAt[name] = m.now
	}
	m.send(s.GetPeerAddr(), &wire.Control{Body: &wire.Control_StatusAnswer{StatusAnswer: &wire.StatusAnswer{
		Seq: s.GetSeq(), Term: m.doc.Term, Renewed: renewed, DocumentVersion: m.version, Stamp: int64(m.now),
		Unproven: m.unproven(), Promised: promised, ProofAgeMs: m.now.Sub(m.leadership.proofAt).Milliseconds() + 1,
		ConfigVersion: m.configVersion,
	}}})
	if s.GetDocumentVersion() < m.version {
		m.bringUpToDate(name, s)
	}
	if s.GetConfigVersion() != m.configVersion {
		m.ready.Configs = append(m.ready.Configs, ConfigDiffers{Addr: s.GetPeerAddr(), Version: s.GetConfigVersion()})
	}
	if s.GetSuspectsDigest() != m.suspectsDigest {
		m.ready.Suspects = append(m.ready.Suspects, s.GetPeerAddr())
	}
}

// newMemberStatus returns a status as received now.
func (m *Machine) newMemberStatus(incarnation uint64, s *wire.NodeStatus) *memberStatus {
	status := &memberStatus{NodeStatus: s, incarnation: incarnation, receivedAt: m.now}
	if s.GetVerified() && s.GetTerm() == m.doc.Term && s.GetEchoFrom() == m.params.Self.Incarnation {
		status.echoAt = clock.Mono(s.GetEcho())
	}
	return status
}

// renewSelf renews the leader's own lease.
func (m *Machine) renewSelf(listed *Member) {
	if listed.MemberRef != m.params.Self {
		m.lease.restartAcceptedVersion = m.version
	}
	m.extendLease(m.now)
}

// recordMajority records when enough of the members at the claim follow this term.
func (m *Machine) recordMajority() {
	if m.leadership.majorityAt > 0 {
		return
	}
	n := 0
	follows := func(name string) bool {
		s := m.leadership.statuses[name]
		if s == nil || !s.GetVerified() || s.GetTerm() != m.doc.Term {
			return false
		}
		n++
		return true
	}
	if m.leadership.claimed.followsClaim(follows) {
		m.leadership.majorityAt = m.now
		m.note("leadership followed", "term", m.doc.Term, "followers", n)
	}
}

// mayRenew reports whether this node may renew leases: the platform has
// confirmed its term recently or, during an outage of the platform, a majority
// follows it. The majority must have echoed a recent stamp, because a member
// that follows a later term no longer echoes stamps of this one.
func (m *Machine) mayRenew() bool {
	age := m.now.Sub(m.leadership.proofAt)
	if age < m.params.Timing.MaxProofAge {
		return true
	}
	if age > m.params.Timing.MaxOutage {
		return false
	}
	return m.majorityFollowedSince(m.now.Add(-m.params.Timing.MaxProofAge))
}

// majorityFollowedSince reports whether enough members followed this
// term after the given time (mayRenewFor). They must be so of every member list that a
// later leader might count: that of the current document and that of each
// undecided write.
func (m *Machine) majorityFollowedSince(since clock.Mono) bool {
	if !m.leadership.majorityFollowedSince(m.doc, since) {
		return false
	}
	for _, u := range m.undecidedWrites() {
		if !m.leadership.majorityFollowedSince(u, since) {
			return false
		}
	}
	return true
}

func (l *leadership) majorityFollowedSince(doc *Document, since clock.Mono) bool {
	return doc.mayRenewFor(func(name string) bool {
		s := l.statuses[name]
		return s != nil && s.echoAt > max(since, 0)
	})
}

// transferCandidate returns the member that the leadership is transferred to now;
// empty if it stays.
func (m *Machine) transferCandidate() string {
	if !m.doc.EarlierLeasesExpired || m.unproven() {
		return ""
	}
	return m.strongestMember(m.params.Weight * transferWeightRatio)
}

// strongestMember returns the member with the highest weight above the given one
// that can take over the leadership now; empty if there is none.
func (m *Machine) strongestMember(weight float64) string {
	best := ""
	for _, name := range m.doc.names() {
		mem, s := m.doc.Members[name], m.leadership.statuses[name]
		if name == m.params.Self.Name || s == nil || mem.Evicted || mem.Leaving || !s.GetVerified() || m.now.Sub(s.receivedAt) > 2*statusInterval {
			continue
		}
		if mem.Weight > weight {
			best, weight = name, mem.Weight
		}
	}
	return best
}

// unproven reports whether the last proof of the term is older than three
// quarters of MaxProofAge.
func (m *Machine) unproven() bool {
	return m.now.Sub(m.leadership.proofAt) > m.params.Timing.MaxProofAge*3/4
}

// mayRenewRestarted reports whether a restarted member may act for its earlier
// incarnation while the platform is unavailable. The earlier process has ended,
// as it had the same address. No other leader can have moved its rows, because
// a majority followed this term after the restart, and neither can an undecided
// write of this node.
func (m *Machine) mayRenewRestarted(mem *Member, incarnation uint64, s *wire.NodeStatus) bool {
	if incarnation <= mem.Incarnation || s.GetPeerAddr() != mem.Addr || s.GetTenure() != 0 || !m.mayChangeOwners() ||
		m.now.Sub(m.leadership.proofAt) > m.params.Timing.MaxOutage || !m.undecidedWritesKeepRows(mem.Name) {
		return false
	}
	restart, known := m.leadership.restarted[mem.Name]
	if !known || restart.incarnation != incarnation {
		restart = restartedMember{incarnation: incarnation, since: m.now}
		m.leadership.restarted[mem.Name] = restart
	}
	return m.mayRenew() && m.majorityFollowedSince(restart.since)
}

// undecidedWritesKeepRows reports whether every undecided write leaves the
// member all the rows that it may grant.
func (m *Machine) undecidedWritesKeepRows(name string) bool {
	for _, u := range m.undecidedWrites() {
		if !keepsGrantableRows(m.doc, u, name) {
			return false
		}
	}
	return true
}

// keepsGrantableRows reports whether a member keeps, under the next document,
// all the rows that it may grant under the current one.
func keepsGrantableRows(doc, next *Document, name string) bool {
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

// mayChangeOwners reports whether this node may change the ownership of rows:
// no earlier leader can still have a majority.
func (m *Machine) mayChangeOwners() bool {
	l := m.leadership
	return l.predecessorEnded || l.majorityAt > 0 || m.now >= l.claimedAt.Add(m.params.Timing.MaxOutage)
}

// earlierLeasesExpired reports whether every lease that an earlier leader can
// have renewed has run out.
func (m *Machine) earlierLeasesExpired() bool {
	l, t := m.leadership, m.params.Timing
	switch {
	case l.predecessorEnded && m.now >= l.claimedAt.Add(t.Lease):
		return true
	case l.majorityAt > 0 && m.now >= l.majorityAt.Add(t.MaxProofAge+t.Lease):
		return true
	default:
		return m.now >= l.claimedAt.Add(t.MaxOutage+t.Lease)
	}
}

// tickLeader proves the term and writes the document if it has to change.
func (m *Machine) tickLeader() {
	if m.now.Sub(m.leadership.proofAt) > proofInterval {
		m.requestRead(proofInterval)
	}
	m.resendDocument()
	m.noteConfigProgress()
	if m.pendingWrite != nil || m.leadership.nextPlanAt > m.now || m.documentOutdated() || m.promiseInForce() {
		return
	}
	m.leadership.nextPlanAt = m.now.Add(planInterval)
	if m.leadership.resumed {
		if m.verified {
			m.claim()
		}
		return
	}
	if m.stopping {
		doc := m.doc.clone()
		doc.Resigned, doc.Successor = true, m.strongestMember(-1)
		m.note("leadership resigned before a planned stop", "term", doc.Term, "to", doc.Successor)
		m.update(doc)
		return
	}
	if successor := m.transferCandidate(); successor != "" {
		doc := m.doc.clone()
		doc.Resigned, doc.Successor = true, successor
		m.note("leadership transferred", "term", doc.Term, "to", successor)
		m.update(doc)
		return
	}
	if m.unproven() {
		// If the answer to a write were lost, the content of the document would
		// be unknown during the outage.
		return
	}
	plan := m.plan
	if !m.mayChangeOwners() {
		plan = m.planEvacuations
	}
	if doc := plan(); doc != nil {
		m.update(doc)
	}
}

package control

import (
	"reflect"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/lease"
	"fulmarhinge/internal/timeline"
)

// Waits of a node's own membership.
const (
	// setChangeInterval bounds how often a witness set changes without need.
	setChangeInterval = 500 * time.Millisecond
	// selfWriteRetryDelay is the wait before a failed write of the own member object.
	selfWriteRetryDelay = 300 * time.Millisecond
	// maxRejoinDelay bounds the growing wait between rejoins.
	maxRejoinDelay = 10 * time.Second
	// setChangeJitter is the time over which the members that lost the same witness
	// name another. A full set stands one more loss meanwhile.
	setChangeJitter = time.Second
	// replaceSilentInterval bounds how often silent witnesses are replaced.
	replaceSilentInterval = 5 * time.Second
)

// ownState is what the node wants and knows about its own member object.
type ownState struct {
	backend *cluster.BackendInfo
	// everLeased is true once this incarnation has held a lease; before that
	// it announces no backend server, so that nothing is placed on a node
	// that can't reach its witnesses.
	everLeased   bool
	draining     bool
	drainStarted clock.Mono
	leaving      bool
	inFlight     int
	// pendingSets are the witness sets of writes that are pending or whose
	// outcome is unknown, at the present version.
	pendingSets       [][]cluster.Witness
	nextWrite         clock.Mono
	nextSetChange     clock.Mono
	nextReplaceSilent clock.Mono
	rejoinAt          clock.Mono
	rejoinAttempts    int
	leaseHeld         bool
	// leaseChangedAt is since when there is no lease, if there is none.
	leaseChangedAt clock.Mono
	chosenSet      []cluster.Witness
	// candidateSet is the set that is asked before it is named, since prospectAt.
	candidateSet   []cluster.Witness
	candidateSince clock.Mono
	chosenFrom     choiceInputs
}

// platformWatch holds what the node decides from the list of members.
type platformWatch struct {
	watching      bool
	nextHeadRead  clock.Mono
	nextFullLists clock.Mono
}

// reconcileSelf writes the own member object if it differs from what the node
// wants it to be. At most one write of it is outstanding.
func (m *Machine) reconcileSelf() {
	if m.phase == phaseLoading || m.phase == phaseLeft || m.own.nextWrite > m.now {
		return
	}
	key := cluster.MemberKey(m.params.Self.Name)
	if m.writeIDByKey[key] != 0 {
		return
	}
	if m.phase == phaseJoining {
		m.join(key)
		return
	}
	present := m.members[m.params.Self.Name]
	want := m.desired(present)
	if !sameSet(want.Witnesses, present.Witnesses) && !m.setConfirmed(want.Witnesses) {
		want.Witnesses = present.Witnesses
	}
	if sameMember(present, want) {
		return
	}
	m.writeSelf(key, want)
}

// setConfirmed reports whether a set may be named without losing the lease on the way:
// from the write on, a majority of it is needed. Its witnesses are asked first,
// and waited for a little.
func (m *Machine) setConfirmed(set []cluster.Witness) bool {
	if !m.leased() || len(set) == 0 {
		return true
	}
	if !sameSet(set, m.own.candidateSet) {
		m.own.candidateSet = set
		m.own.candidateSince = m.now
		m.holder.SetProspect(set)
		m.nextRenew = m.now
	}
	if m.holder.ProspectUntil() > m.now.Add(m.params.Lease.Promise/2) {
		return true
	}
	return m.own.candidateSince.Add(m.params.Lease.Renew) <= m.now
}

// join writes the first object of a new incarnation. Another incarnation that
// may still be alive is left to its witnesses, unless it ran on this same
// boot of this VM and at this address: this process has bound the address, so
// the other one has ended.
func (m *Machine) join(key string) {
	if m.own.rejoinAt > m.now {
		return
	}
	present := m.members[m.params.Self.Name]
	want := m.params.Self
	want.State = cluster.StateActive
	want.Incarnation = 1
	if present != nil {
		if !present.State.Gone() && !m.sameBoot(present) {
			m.own.nextWrite = m.now.Add(selfWriteRetryDelay)
			m.read(key)
			return
		}
		want.Incarnation = present.Incarnation + 1
	}
	want.Witnesses = m.chooseWitnesses(&want)
	m.writeSelf(key, &want)
}

func (m *Machine) sameBoot(present *cluster.Member) bool {
	return present.BootID == m.params.Self.BootID && present.PeerAddr == m.params.Self.PeerAddr
}

// desired returns what the own member object should say now.
func (m *Machine) desired(present *cluster.Member) *cluster.Member {
	want := *present
	want.State = m.desiredState()
	want.Backend = present.Backend
	if m.own.everLeased {
		want.Backend = m.desiredBackend()
	}
	if m.own.nextSetChange <= m.now {
		want.Witnesses = m.chooseWitnesses(present)
	}
	if m.own.leaving {
		want.Witnesses = nil
	}
	return &want
}

func (m *Machine) desiredState() cluster.MemberState {
	switch {
	case m.own.leaving:
		return cluster.StateLeft
	case m.own.draining:
		return cluster.StateDraining
	default:
		return cluster.StateActive
	}
}

func (m *Machine) desiredBackend() *cluster.BackendInfo {
	if m.own.backend == nil {
		return nil
	}
	b := *m.own.backend
	b.Ready = b.Ready && !m.own.draining
	return &b
}

// chooseWitnesses returns the set to name. Without a reason to choose anew it
// is the present one.
func (m *Machine) chooseWitnesses(self *cluster.Member) []cluster.Witness {
	replaceSilent := m.mustReplaceSilent()
	inputs := choiceInputs{members: m.memberChanges, refusals: m.holder.Refusals(), replaceSilent: replaceSilent}
	if inputs == m.own.chosenFrom && !replaceSilent {
		return m.own.chosenSet
	}
	m.own.chosenFrom = inputs
	m.own.chosenSet = m.selectWitnesses(self, replaceSilent)
	return m.own.chosenSet
}

// delaySetChange spreads the writes that follow the loss of a witness.
func (m *Machine) delaySetChange(lost cluster.MemberRef) {
	present := m.members[m.self.Name]
	if present == nil || len(present.Witnesses) < m.params.Witnesses {
		return
	}
	if slices.ContainsFunc(present.Witnesses, func(w cluster.Witness) bool { return w.MemberRef == lost }) {
		jitter := time.Duration(cluster.Rank("set", m.self.Name) % uint64(setChangeJitter))
		m.own.nextSetChange = max(m.own.nextSetChange, m.now.Add(jitter))
	}
}

// choiceInputs is what a chosen set depends on.
type choiceInputs struct {
	members       uint64
	refusals      int
	replaceSilent bool
}

// selectWitnesses chooses a set. A witness that has voted against this
// incarnation is of no use to it any more.
func (m *Machine) selectWitnesses(self *cluster.Member, replaceSilent bool) []cluster.Witness {
	excluded := func(r cluster.MemberRef) bool {
		if m.holder.RefusedBy(r) {
			return true
		}
		return replaceSilent && m.isSilentWitness(r, self)
	}
	chosen := lease.Choose(*self, m.memberList(), m.params.Witnesses, excluded)
	if len(chosen) == 0 && len(self.Witnesses) > 0 && m.hasWitnessCandidate() {
		// An empty set would make a lease that nobody can end.
		return self.Witnesses
	}
	return chosen
}

// hasWitnessCandidate reports whether any other member could be a witness.
func (m *Machine) hasWitnessCandidate() bool {
	return slices.ContainsFunc(m.memberList(), func(p *cluster.Member) bool {
		return p.Name != m.params.Self.Name && p.State == cluster.StateActive && p.Region == m.params.Self.Region
	})
}

// mustReplaceSilent reports whether the lease is about to lapse for want of answers
// although some witness still answers. Only then are silent witnesses
// replaced: a node that hears nobody must not keep moving its set away from
// those who would evict it.
func (m *Machine) mustReplaceSilent() bool {
	if m.phase != phaseJoined || m.own.nextReplaceSilent > m.now || !m.own.everLeased {
		return false
	}
	if m.holder.Until() > m.now.Add(m.params.Lease.Promise/2) {
		return false
	}
	for _, w := range m.allWitnesses() {
		if !m.isSilent(w.MemberRef) {
			return true
		}
	}
	return false
}

func (m *Machine) isSilentWitness(r cluster.MemberRef, self *cluster.Member) bool {
	named := slices.ContainsFunc(self.Witnesses, func(w cluster.Witness) bool { return w.MemberRef == r })
	return named && m.isSilent(r)
}

func (m *Machine) isSilent(r cluster.MemberRef) bool {
	return m.holder.LastAck(r).Add(2*m.params.Lease.Renew) < m.now
}

func sameMember(a, b *cluster.Member) bool {
	x, y := *a, *b
	x.ChangeID, y.ChangeID = "", ""
	return reflect.DeepEqual(x, y)
}

// writeSelf starts a write of the own member object. From here until the
// version moves, the lease needs the majorities of every set that the write
// may put in force.
func (m *Machine) writeSelf(key string, want *cluster.Member) {
	want.ChangeID = m.changeID()
	present := m.objects[key]
	if m.phase == phaseJoined && !sameSet(want.Witnesses, m.members[want.Name].Witnesses) {
		m.addPendingSet(want.Witnesses)
		m.own.nextSetChange = m.now.Add(setChangeInterval)
		if m.mustReplaceSilent() {
			m.own.nextReplaceSilent = m.now.Add(replaceSilentInterval)
		}
		m.updateHolderSets()
	}
	m.write(key, present.version, cluster.Encode(want), want.ChangeID, func(o Outcome) {
		if o != Applied {
			m.own.nextWrite = m.now.Add(selfWriteRetryDelay)
		}
	})
}

// addPendingSet notes a set that a write may put in force. A write that is made
// again, as in an outage, adds nothing.
func (m *Machine) addPendingSet(set []cluster.Witness) {
	for _, s := range m.own.pendingSets {
		if sameSet(s, set) {
			return
		}
	}
	m.own.pendingSets = append(m.own.pendingSets, set)
	m.membersChanged()
}

func sameSet(a, b []cluster.Witness) bool { return slices.Equal(a, b) }

// updateHolderSets tells the holder which majorities it needs.
func (m *Machine) updateHolderSets() {
	present := m.members[m.self.Name]
	sets := [][]cluster.Witness{present.Witnesses}
	for _, s := range m.own.pendingSets {
		if !slices.ContainsFunc(sets, func(t []cluster.Witness) bool { return sameSet(s, t) }) {
			sets = append(sets, s)
		}
	}
	m.holder.SetWitnesses(sets...)
}

// onOwnMember takes a newer version of the own object. The version has moved,
// so no earlier write of this node can take effect any more, and the set that
// is in the object is the only one.
func (m *Machine) onOwnMember(mem *cluster.Member) {
	m.own.pendingSets = nil
	m.own.candidateSet = nil
	m.holder.SetProspect(nil)
	m.membersChanged()
	m.own.nextWrite = min(m.own.nextWrite, m.now)
	if m.phase == phaseJoining && m.isOwnJoin(mem) {
		m.onJoined(mem)
		return
	}
	if m.phase != phaseJoined || mem.MemberRef != m.self {
		if m.phase == phaseJoined {
			m.endIncarnation("another incarnation has taken this name")
		}
		return
	}
	switch mem.State {
	case cluster.StateEvicted:
		m.endIncarnation("this incarnation was evicted")
	case cluster.StateLeft:
		m.phase = phaseLeft
		m.recordEvent(timeline.Event{Kind: timeline.KindMember, Member: &mem.MemberRef, Text: "member left"})
	default:
		m.updateHolderSets()
	}
}

// isOwnJoin recognises the own write by its content: only this process writes
// its nonce.
func (m *Machine) isOwnJoin(mem *cluster.Member) bool {
	return mem.State == cluster.StateActive && mem.BootID == m.params.Self.BootID &&
		mem.PeerAddr == m.params.Self.PeerAddr && m.isOwnChange(mem.ChangeID)
}

func (m *Machine) isOwnChange(id string) bool {
	prefix := m.params.Self.Name + "-" + m.params.Nonce + "-"
	return len(id) > len(prefix) && id[:len(prefix)] == prefix
}

func (m *Machine) onJoined(mem *cluster.Member) {
	m.self = mem.MemberRef
	m.phase = phaseJoined
	m.membersChanged()
	m.updateHolderSets()
	m.nextRenew = m.now
	m.own.leaseChangedAt = m.now
	m.viewDirty = true
	m.recordEvent(timeline.Event{Kind: timeline.KindMember, Member: &mem.MemberRef, Text: "member joined"})
	m.adoptGroups()
	for _, p := range m.memberList() {
		if !p.State.Gone() && m.isWitnessOf(p) {
			m.witness.Watch(m.now, p.MemberRef)
		}
	}
}

// endIncarnation ends this incarnation: everything it held is void, and the node joins
// again under a new one after a wait that grows.
func (m *Machine) endIncarnation(reason string) {
	ref := m.self
	m.recordEvent(timeline.Event{Kind: timeline.KindLease, Member: &ref, Text: "lease lost: " + reason})
	m.resetIncarnation()
	m.self = cluster.MemberRef{}
	if m.own.draining {
		// A planned stop ends here: there is nothing left to hand over.
		m.phase = phaseLeft
		return
	}
	m.phase = phaseJoining
	wait := min(maxRejoinDelay, selfWriteRetryDelay<<min(m.own.rejoinAttempts, 6))
	m.own.rejoinAttempts++
	m.own.rejoinAt = m.now.Add(wait)
}

// onSelfRead takes a read of the own object: it settles a lost answer, since a
// version that moved is observed and one that did not is written again.
func (m *Machine) onSelfRead(e ReadDone) {
	if e.Object.Key != cluster.MemberKey(m.params.Self.Name) || e.Failed {
		return
	}
	m.own.nextWrite = min(m.own.nextWrite, m.now)
	m.reconcileSelf()
}

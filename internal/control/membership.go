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

// Delays and intervals of a node's own membership.
const (
	// minWitnessChangeInterval is the minimum time between two changes of the
	// witness set.
	minWitnessChangeInterval = 500 * time.Millisecond
	// selfWriteRetryDelay is the wait before a failed write of the node's own
	// member object is retried.
	selfWriteRetryDelay = 300 * time.Millisecond
	// maxRejoinDelay bounds the exponential backoff between rejoins.
	maxRejoinDelay = 10 * time.Second
	// maxWitnessChangeJitter is the time over which the members that lost the
	// same witness spread the writes that replace it. Meanwhile a full set
	// tolerates one more loss.
	maxWitnessChangeJitter = time.Second
	// silentReplacementInterval is the minimum time between two replacements of
	// silent witnesses.
	silentReplacementInterval = 5 * time.Second
)

// ownState is the desired and known state of the node's own member object.
type ownState struct {
	backend *cluster.BackendInfo
	// everLeased is true once this incarnation has held a lease. Before that
	// it announces no backend server, so that nothing is placed on a node that
	// can't reach its witnesses.
	everLeased   bool
	draining     bool
	drainStarted clock.Mono
	leaving      bool
	inFlight     int
	// pendingSets are the witness sets of writes at the current version that
	// are pending or whose outcome is unknown.
	pendingSets           [][]cluster.Witness
	nextWrite             clock.Mono
	nextWitnessChange     clock.Mono
	nextSilentReplacement clock.Mono
	rejoinAt              clock.Mono
	rejoinAttempts        int
	leaseHeld             bool
	// leaseChangedAt is when the incarnation joined or the lease was last
	// gained or lost.
	leaseChangedAt clock.Mono
	chosenSet      []cluster.Witness
	// candidateSet is the witness set that is asked for promises before it is
	// written, candidateSince the time since when.
	candidateSet   []cluster.Witness
	candidateSince clock.Mono
	chosenFrom     choiceInputs
}

// platformWatch is the state of following the platform on behalf of the zone.
type platformWatch struct {
	watching      bool
	nextHeadRead  clock.Mono
	nextFullLists clock.Mono
}

// reconcileSelf writes the node's own member object if it differs from the
// desired one. At most one such write is outstanding.
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
	current := m.members[m.params.Self.Name]
	want := m.desired(current)
	if !sameWitnesses(want.Witnesses, current.Witnesses) && !m.canSwitchWitnesses(want.Witnesses) {
		want.Witnesses = current.Witnesses
	}
	if sameMember(current, want) {
		return
	}
	m.writeSelf(key, want)
}

// canSwitchWitnesses reports whether the node may now write a new witness set.
// From the write on, the lease needs promises of a majority of that set, so its
// witnesses are asked for promises first. The node waits for them for up to one
// RenewInterval and then writes the set even without them.
func (m *Machine) canSwitchWitnesses(set []cluster.Witness) bool {
	if !m.leased() || len(set) == 0 {
		return true
	}
	if !sameWitnesses(set, m.own.candidateSet) {
		m.own.candidateSet = set
		m.own.candidateSince = m.now
		m.holder.SetCandidates(set)
		m.nextRenew = m.now
	}
	if m.holder.CandidatesPromisedUntil() > m.now.Add(m.params.Lease.PromiseDuration/2) {
		return true
	}
	return m.own.candidateSince.Add(m.params.Lease.RenewInterval) <= m.now
}

// join writes the first object of a new incarnation. An earlier incarnation
// that may still be alive must first be evicted by its witnesses, unless it
// ran on the same boot of this VM at the same address: this process has bound
// the address, so the earlier one has ended.
func (m *Machine) join(key string) {
	if m.own.rejoinAt > m.now {
		return
	}
	current := m.members[m.params.Self.Name]
	want := m.params.Self
	want.State = cluster.StateActive
	want.Incarnation = 1
	if current != nil {
		if !current.State.Gone() && !m.sameBoot(current) {
			m.own.nextWrite = m.now.Add(selfWriteRetryDelay)
			m.read(key)
			return
		}
		want.Incarnation = current.Incarnation + 1
	}
	want.Witnesses = m.chooseWitnesses(&want)
	m.writeSelf(key, &want)
}

func (m *Machine) sameBoot(current *cluster.Member) bool {
	return current.BootID == m.params.Self.BootID && current.PeerAddr == m.params.Self.PeerAddr
}

// desired returns the desired state of the node's own member object.
func (m *Machine) desired(current *cluster.Member) *cluster.Member {
	want := *current
	want.State = m.desiredState()
	want.Backend = current.Backend
	if m.own.everLeased {
		want.Backend = m.desiredBackend()
	}
	if m.own.nextWitnessChange <= m.now {
		want.Witnesses = m.chooseWitnesses(current)
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

// chooseWitnesses returns the desired witness set. It is recomputed only when
// its inputs have changed or silent witnesses must be replaced.
func (m *Machine) chooseWitnesses(self *cluster.Member) []cluster.Witness {
	replaceSilent := m.mustReplaceSilent()
	inputs := choiceInputs{members: m.memberChanges, refusals: m.holder.RefusalCount(), replaceSilent: replaceSilent}
	if inputs == m.own.chosenFrom && !replaceSilent {
		return m.own.chosenSet
	}
	m.own.chosenFrom = inputs
	m.own.chosenSet = m.selectWitnesses(self, replaceSilent)
	return m.own.chosenSet
}

// delayWitnessChange adds jitter to the write that replaces a lost witness.
func (m *Machine) delayWitnessChange(lost cluster.MemberRef) {
	current := m.members[m.self.Name]
	if current == nil || len(current.Witnesses) < m.params.WitnessCount {
		return
	}
	if slices.ContainsFunc(current.Witnesses, func(w cluster.Witness) bool { return w.MemberRef == lost }) {
		jitter := time.Duration(cluster.RendezvousScore("set", m.self.Name) % uint64(maxWitnessChangeJitter))
		m.own.nextWitnessChange = max(m.own.nextWitnessChange, m.now.Add(jitter))
	}
}

// choiceInputs are the inputs that a chosen witness set depends on.
type choiceInputs struct {
	members       uint64
	refusals      int
	replaceSilent bool
}

// selectWitnesses selects a witness set. It excludes witnesses that have voted
// to evict this incarnation, since they no longer renew its lease.
func (m *Machine) selectWitnesses(self *cluster.Member, replaceSilent bool) []cluster.Witness {
	excluded := func(r cluster.MemberRef) bool {
		if m.holder.RefusedBy(r) {
			return true
		}
		return replaceSilent && m.isSilentWitness(r, self)
	}
	chosen := lease.ChooseWitnesses(*self, m.memberList(), m.params.WitnessCount, excluded)
	if len(chosen) == 0 && len(self.Witnesses) > 0 && m.hasWitnessCandidate() {
		// With an empty set, no other node could end this node's lease.
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

// mustReplaceSilent reports whether the lease is about to expire for lack of
// answers although some witness still answers. Only then are silent witnesses
// replaced: a node that no peer answers must not move its witness set away from
// the nodes that would evict it.
func (m *Machine) mustReplaceSilent() bool {
	if m.phase != phaseJoined || m.own.nextSilentReplacement > m.now || !m.own.everLeased {
		return false
	}
	if m.holder.Until() > m.now.Add(m.params.Lease.PromiseDuration/2) {
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
	return m.holder.LastAckSentAt(r).Add(2*m.params.Lease.RenewInterval) < m.now
}

func sameMember(a, b *cluster.Member) bool {
	x, y := *a, *b
	x.ChangeID, y.ChangeID = "", ""
	return reflect.DeepEqual(x, y)
}

// writeSelf starts a write of the node's own member object. Until the object's
// version changes, the lease needs a majority of every witness set that the
// write may put in force.
func (m *Machine) writeSelf(key string, want *cluster.Member) {
	want.ChangeID = m.changeID()
	stored := m.objects[key]
	if m.phase == phaseJoined && !sameWitnesses(want.Witnesses, m.members[want.Name].Witnesses) {
		m.addPendingSet(want.Witnesses)
		m.own.nextWitnessChange = m.now.Add(minWitnessChangeInterval)
		if m.mustReplaceSilent() {
			m.own.nextSilentReplacement = m.now.Add(silentReplacementInterval)
		}
		m.updateHolderSets()
	}
	m.write(key, stored.version, cluster.Encode(want), want.ChangeID, func(o Outcome) {
		if o != Applied {
			m.own.nextWrite = m.now.Add(selfWriteRetryDelay)
		}
	})
}

// addPendingSet records a witness set that a write may put in force. Repeated
// writes of the same set, as during a platform outage, add nothing.
func (m *Machine) addPendingSet(set []cluster.Witness) {
	for _, s := range m.own.pendingSets {
		if sameWitnesses(s, set) {
			return
		}
	}
	m.own.pendingSets = append(m.own.pendingSets, set)
	m.membersChanged()
}

func sameWitnesses(a, b []cluster.Witness) bool { return slices.Equal(a, b) }

// updateHolderSets passes the witness sets to the lease holder, which needs a
// majority of each.
func (m *Machine) updateHolderSets() {
	current := m.members[m.self.Name]
	sets := [][]cluster.Witness{current.Witnesses}
	for _, s := range m.own.pendingSets {
		if !slices.ContainsFunc(sets, func(t []cluster.Witness) bool { return sameWitnesses(s, t) }) {
			sets = append(sets, s)
		}
	}
	m.holder.SetWitnesses(sets...)
}

// onOwnMember handles a newer version of the node's own member object. Since
// the version has changed, no earlier write of this node can take effect any
// more, and the set in the object is the only one in force.
func (m *Machine) onOwnMember(mem *cluster.Member) {
	m.own.pendingSets = nil
	m.own.candidateSet = nil
	m.holder.SetCandidates(nil)
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

// isOwnJoin recognises this process's own write by its content: no other
// process uses the same nonce.
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

// endIncarnation ends the current incarnation: its lease and units are lost, and
// the node rejoins under a new incarnation after an exponential backoff.
func (m *Machine) endIncarnation(reason string) {
	ref := m.self
	m.recordEvent(timeline.Event{Kind: timeline.KindLease, Member: &ref, Text: "lease lost: " + reason})
	m.resetIncarnation()
	m.self = cluster.MemberRef{}
	if m.own.draining {
		// The planned stop ends here: no units are left to hand over.
		m.phase = phaseLeft
		return
	}
	m.phase = phaseJoining
	wait := min(maxRejoinDelay, selfWriteRetryDelay<<min(m.own.rejoinAttempts, 6))
	m.own.rejoinAttempts++
	m.own.rejoinAt = m.now.Add(wait)
}

// onSelfRead handles a read of the node's own member object. It resolves a
// write whose answer was lost: if the version has changed, the write was applied
// or never will be; otherwise the object is written again.
func (m *Machine) onSelfRead(e ReadDone) {
	if e.Object.Key != cluster.MemberKey(m.params.Self.Name) || e.Failed {
		return
	}
	m.own.nextWrite = min(m.own.nextWrite, m.now)
	m.reconcileSelf()
}

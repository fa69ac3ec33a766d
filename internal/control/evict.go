package control

import (
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/lease"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/wire"
)

// Delays and timeouts of an eviction.
const (
	// evictStagger is the delay between witnesses of successive rank that
	// notice the same expired promise.
	evictStagger = 60 * time.Millisecond
	// evictTimeout bounds reading the member object and collecting votes in
	// one attempt.
	evictTimeout = 400 * time.Millisecond
	// evictRetryDelay is the wait after a failed attempt.
	evictRetryDelay = 250 * time.Millisecond
)

// evictStage is the stage that an eviction attempt has reached.
type evictStage int

const (
	evictReading evictStage = iota
	evictVoting
	evictWriting
	evictBackoff
)

// eviction is one attempt to evict one member.
type eviction struct {
	ref      cluster.MemberRef
	stage    evictStage
	deadline clock.Mono
	version  uint64
	ballot   uint64
	votes    map[cluster.MemberRef]bool
	// requestID is the id of the operator's request that this attempt serves,
	// 0 if there is none.
	requestID uint64
	force     bool
}

// evictExpiredHolders starts the eviction of lease holders whose promises have
// expired.
func (m *Machine) evictExpiredHolders() {
	if m.phase != phaseJoined {
		return
	}
	for _, expired := range m.witness.ExpiredPromises(m.now) {
		mem := m.members[expired.Holder.Name]
		if mem == nil || mem.MemberRef != expired.Holder || mem.State.Gone() || !m.isWitnessOf(mem) {
			m.witness.Unwatch(expired.Holder)
			continue
		}
		wait := time.Duration(m.witnessRank(mem)) * evictStagger
		if m.evictions[mem.Name] == nil && expired.Since.Add(wait) <= m.now {
			m.startEviction(&eviction{ref: mem.MemberRef})
		}
	}
}

// witnessRank returns this node's index among the witnesses of a member.
func (m *Machine) witnessRank(mem *cluster.Member) int {
	return slices.IndexFunc(mem.Witnesses, func(w cluster.Witness) bool { return w.MemberRef == m.self })
}

// onEvictRequested starts an eviction that an operator requested.
func (m *Machine) onEvictRequested(e EvictRequested) {
	mem := m.members[e.Name]
	if mem == nil || mem.State.Gone() {
		m.reply(e.ID, "no live member has this name")
		return
	}
	if running := m.evictions[e.Name]; running != nil {
		// The request replaces the running attempt. If that one's write is
		// still pending, the new attempt ends with a conflict or finds the
		// member gone.
		m.failEviction(running, "superseded by a newer request")
	}
	m.startEviction(&eviction{ref: mem.MemberRef, requestID: e.ID, force: e.Force})
}

func (m *Machine) reply(id uint64, err string) {
	m.ready.Replies = append(m.ready.Replies, Reply{ID: id, Err: err})
}

// startEviction reads the member object first. A vote binds its witness
// permanently, so no votes are requested while the platform can't record the
// eviction: in a platform outage, a member that was only paused must be able
// to renew its lease again.
func (m *Machine) startEviction(e *eviction) {
	e.stage = evictReading
	e.deadline = m.now.Add(evictTimeout)
	m.evictions[e.ref.Name] = e
	m.readNow(cluster.MemberKey(e.ref.Name))
}

// onEvictionRead continues an attempt once the member object has been read.
func (m *Machine) onEvictionRead(r ReadDone) {
	for name, e := range m.evictions {
		if cluster.MemberKey(name) == r.Object.Key && e.stage == evictReading {
			m.continueEviction(e, r)
			return
		}
	}
}

func (m *Machine) continueEviction(e *eviction, r ReadDone) {
	mem := m.members[e.ref.Name]
	if r.Failed || r.Object.Version == 0 {
		m.failEviction(e, "the member object can't be read from the platform")
		return
	}
	if mem.MemberRef != e.ref || mem.State.Gone() {
		m.endEviction(e)
		return
	}
	e.version = m.objects[r.Object.Key].version
	if e.force {
		m.writeEviction(e)
		return
	}
	m.requestVotes(e, mem)
}

// requestVotes requests a vote from every witness named by this version of the
// object.
func (m *Machine) requestVotes(e *eviction, mem *cluster.Member) {
	m.nextID++
	e.ballot = m.nextID
	e.stage = evictVoting
	e.votes = map[cluster.MemberRef]bool{}
	for _, w := range mem.Witnesses {
		if w.MemberRef == m.self {
			if m.witness.Vote(m.now, e.ref) {
				e.votes[m.self] = true
			}
			continue
		}
		m.send(w.MemberRef, w.PeerAddr, &wire.Control{Body: &wire.Control_VoteRequest{VoteRequest: &wire.VoteRequest{
			Member: e.ref.Name, Incarnation: e.ref.Incarnation, Version: e.version, Ballot: e.ballot,
		}}})
	}
	m.countVotes(e)
}

// onVoteRequest votes for the eviction if no promise is in force, and answers
// in either case.
func (m *Machine) onVoteRequest(from cluster.MemberRef, r *wire.VoteRequest) {
	ref := cluster.MemberRef{Name: r.GetMember(), Incarnation: r.GetIncarnation()}
	staleVersion := m.objects[cluster.MemberKey(ref.Name)].version > r.GetVersion()
	granted := !staleVersion && m.witness.Vote(m.now, ref)
	m.sendToMember(from.Name, &wire.Control{Body: &wire.Control_Vote{Vote: &wire.Vote{
		Member: ref.Name, Incarnation: ref.Incarnation,
		Version: r.GetVersion(), Ballot: r.GetBallot(), Granted: granted,
	}}})
}

func (m *Machine) onVote(from cluster.MemberRef, v *wire.Vote) {
	e := m.evictions[v.GetMember()]
	if e == nil || e.stage != evictVoting || e.ballot != v.GetBallot() || !v.GetGranted() {
		return
	}
	e.votes[from] = true
	m.countVotes(e)
}

// countVotes writes the eviction once a majority of the witnesses named by
// this version has voted for it.
func (m *Machine) countVotes(e *eviction) {
	mem := m.members[e.ref.Name]
	if mem == nil || mem.MemberRef != e.ref || m.objects[cluster.MemberKey(e.ref.Name)].version != e.version {
		m.failEviction(e, "the member object has changed")
		return
	}
	n := 0
	for _, w := range mem.Witnesses {
		if e.votes[w.MemberRef] {
			n++
		}
	}
	if len(mem.Witnesses) > 0 && n >= lease.Majority(len(mem.Witnesses)) {
		m.writeEviction(e)
	}
}

// writeEviction marks the member as evicted, conditional on the version that
// names the voters: if the witness set has changed since, the votes no longer
// count and the update fails.
func (m *Machine) writeEviction(e *eviction) {
	key := cluster.MemberKey(e.ref.Name)
	if m.writeIDByKey[key] != 0 {
		m.failEviction(e, "another write is pending; try again")
		return
	}
	out := *m.members[e.ref.Name]
	out.State = cluster.StateEvicted
	out.Witnesses = nil
	out.ChangeID = m.changeID()
	e.stage = evictWriting
	e.deadline = m.now.Add(evictTimeout)
	m.write(key, e.version, cluster.Encode(out), out.ChangeID, func(o Outcome) {
		if o == Applied {
			ref := e.ref
			m.recordEvent(timeline.Event{Kind: timeline.KindEviction, Member: &ref, Text: "member evicted"})
			m.endEviction(e)
			return
		}
		m.failEviction(e, "the platform did not accept the update")
	})
}

// endEviction ends an attempt whose member is gone and answers the operator
// that requested it, if any.
func (m *Machine) endEviction(e *eviction) {
	if m.evictions[e.ref.Name] == e {
		delete(m.evictions, e.ref.Name)
	}
	if e.requestID != 0 {
		m.reply(e.requestID, "")
		e.requestID = 0
	}
}

// failEviction ends an attempt as failed. Another one may start after
// evictRetryDelay.
func (m *Machine) failEviction(e *eviction, reason string) {
	if m.evictions[e.ref.Name] != e {
		// A later attempt has replaced this one.
		return
	}
	e.stage = evictBackoff
	e.deadline = m.now.Add(evictRetryDelay)
	if e.requestID != 0 {
		m.reply(e.requestID, reason)
		e.requestID = 0
	}
}

// advanceEvictions ends attempts whose deadline has passed.
func (m *Machine) advanceEvictions() {
	for name, e := range m.evictions {
		if e.deadline > m.now {
			continue
		}
		if e.stage == evictBackoff {
			delete(m.evictions, name)
			continue
		}
		if e.stage != evictWriting {
			m.failEviction(e, "too few witnesses voted")
		}
	}
}

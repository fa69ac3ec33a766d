package control

import (
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/lease"
	"fulmarhinge/internal/wire"
)

// handleMessage handles a control message. Messages that depend on the state
// of one incarnation are ignored if they were sent to an earlier one, whose
// state is lost.
func (m *Machine) handleMessage(c *wire.Control) {
	from := cluster.MemberRef{Name: c.GetFromName(), Incarnation: c.GetFromIncarnation()}
	if m.members[from.Name] != nil {
		m.lastMessageAt[from.Name] = m.now
	}
	if m.phase != phaseJoined {
		m.handleObjectMessage(from, c)
		return
	}
	forThisIncarnation := c.GetToIncarnation() == m.self.Incarnation
	switch b := c.GetBody().(type) {
	case *wire.Control_Renew:
		if forThisIncarnation {
			m.onRenew(from, b.Renew)
		}
	case *wire.Control_Promise:
		if forThisIncarnation {
			m.onPromise(from, b.Promise)
		}
	case *wire.Control_VoteRequest:
		if forThisIncarnation {
			m.onVoteRequest(from, b.VoteRequest)
		}
	case *wire.Control_Vote:
		if forThisIncarnation {
			m.onVote(from, b.Vote)
		}
	case *wire.Control_Release:
		m.onRelease(b.Release)
	case *wire.Control_ReleaseAck:
		m.onReleaseAck(from, b.ReleaseAck)
	case *wire.Control_LoadReport:
		m.onLoadReport(from, b.LoadReport)
	case *wire.Control_Relay:
		m.onRelay(b.Relay)
	default:
		m.handleObjectMessage(from, c)
	}
}

// onRenew answers a lease renewal. A holder that is not yet known gets no
// answer, since its address is unknown; its member object is read instead.
func (m *Machine) onRenew(from cluster.MemberRef, r *wire.Renew) {
	holder := m.members[from.Name]
	if holder == nil || holder.MemberRef != from || holder.State.Gone() {
		m.read(cluster.MemberKey(from.Name))
		return
	}
	a := m.witness.Renew(m.now, from, lease.Request{
		Seq:             r.GetSeq(),
		LastAnswered:    r.GetHeard(),
		PromiseDuration: time.Duration(r.GetPromiseMs()) * time.Millisecond,
	})
	m.sendToMember(from.Name, &wire.Control{Body: &wire.Control_Promise{Promise: &wire.Promise{
		Seq:            a.Seq,
		Refused:        a.Refused,
		Extended:       a.Extended,
		ConfigRevision: m.revision(),
		Digest:         m.digest,
	}}})
	m.compareDigest(from.Name, r.GetDigest())
	m.onPeerRevision(from.Name, r.GetConfigRevision())
}

// onPromise handles a witness's answer to a renewal. If the promise was not
// extended because the witness had no confirmation of an earlier answer, the
// next renewal, which confirms this answer, is sent at the next tick instead of
// after RenewInterval.
func (m *Machine) onPromise(from cluster.MemberRef, p *wire.Promise) {
	lastAnsweredBefore := m.holder.LastAnswered(from)
	m.holder.HandleAnswer(from, lease.Answer{Seq: p.GetSeq(), Extended: p.GetExtended(), Refused: p.GetRefused()})
	m.compareDigest(from.Name, p.GetDigest())
	m.onPeerRevision(from.Name, p.GetConfigRevision())
	m.checkOwnLease()
	if !p.GetExtended() && !p.GetRefused() && m.holder.LastAnswered(from) > lastAnsweredBefore {
		m.nextRenew = m.now
	}
}

// onRelay forwards a message to a member that its sender can't reach directly.
func (m *Machine) onRelay(r *wire.Relay) {
	inner := r.GetInner()
	if r.GetToName() == m.self.Name {
		if inner.GetRelay() == nil {
			m.handleMessage(inner)
		}
		return
	}
	p := m.members[r.GetToName()]
	if p == nil || p.State.Gone() || inner == nil || inner.GetRelay() != nil {
		return
	}
	m.ready.Messages = append(m.ready.Messages, Outgoing{To: p.MemberRef, Addr: p.PeerAddr, Body: inner})
}

package control

import (
	"cmp"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// Parameters of releasing units.
const (
	// releaseRetryInterval is the time between two attempts to send the same
	// release.
	releaseRetryInterval = 200 * time.Millisecond
	// directReleaseAttempts is the number of attempts that go only to the new
	// owner before peers are asked to relay the release as well.
	directReleaseAttempts = 3
	// relaysPerAttempt is the number of peers asked to relay one attempt.
	relaysPerAttempt = 2
)

// release is a unit that this node has permanently stopped serving.
type release struct {
	epoch    uint64
	history  *wire.History
	nextSend clock.Mono
	attempts int
	// ackedEpoch is the epoch of the assignment whose owner acknowledged the
	// release.
	ackedEpoch uint64
}

// receivedRelease is the release of a unit received from an earlier owner.
type receivedRelease struct {
	epoch   uint64
	history *wire.History
}

// prepareRelease handles an assignment that waits for this node to release a
// unit it does not hold: either it never observed the epoch, or the unit is a
// pin of a key that it serves through the shard. In both cases the gate must
// first report the unit as idle.
func (m *Machine) prepareRelease(u cluster.Unit, a *cluster.Assignment) {
	epoch, found := predecessorEpoch(a, m.self)
	if !found {
		delete(m.units.released, u)
		return
	}
	if r := m.units.released[u]; r != nil && r.epoch >= epoch {
		r.nextSend = min(r.nextSend, m.now)
		return
	}
	m.units.local[u] = &unit{state: view.Stopping, epoch: epoch, pendingSince: m.now, releaseOnly: true}
	m.viewDirty = true
}

// predecessorEpoch returns the highest epoch of ref among the predecessors of
// an assignment, and whether ref is one of them.
func predecessorEpoch(a *cluster.Assignment, ref cluster.MemberRef) (uint64, bool) {
	epoch, found := uint64(0), false
	for _, p := range a.Predecessors {
		if p.MemberRef == ref {
			epoch, found = max(epoch, p.Epoch), true
		}
	}
	return epoch, found
}

// firstEpoch is the epoch of a shard's first assignment.
const firstEpoch = 1

// inheritedHistory returns the idempotency key history from the last owner
// that served the unit; its floor covers the earlier owners. It is nil if that
// owner ended without sending one, since any earlier key may then have been
// executed. Owners that are gone are not listed among the predecessors, which
// shows as a missing epoch. The first owner of a shard has no predecessors.
func (m *Machine) inheritedHistory(u cluster.Unit, epoch uint64, predecessors []cluster.Predecessor) *wire.History {
	if u.Key == "" && epoch == firstEpoch && len(predecessors) == 0 {
		return &wire.History{}
	}
	newestFirst := slices.Clone(predecessors)
	slices.SortFunc(newestFirst, func(a, b cluster.Predecessor) int { return cmp.Compare(b.Epoch, a.Epoch) })
	for _, p := range newestFirst {
		h := m.units.receivedReleases[u][p.MemberRef]
		if p.Epoch != epoch-1 || h.history == nil || h.epoch < p.Epoch {
			return nil
		}
		epoch = p.Epoch
		if !h.history.GetNeverServed() {
			return h.history
		}
	}
	return nil
}

// sendRelease sends the release of a unit to its current owner. After
// directReleaseAttempts, peers are asked to relay it, as the direct link may
// be down.
func (m *Machine) sendRelease(u cluster.Unit, r *release) {
	a := m.assignment(u)
	if a == nil || a.Owner.IsZero() || a.Owner == m.self {
		return
	}
	if _, waits := predecessorEpoch(a, m.self); !waits || r.ackedEpoch == a.Epoch {
		return
	}
	r.nextSend = m.now.Add(releaseRetryInterval)
	r.attempts++
	body := &wire.Control{Body: &wire.Control_Release{Release: &wire.Release{
		Service: u.Service, Shard: uint32(u.Shard), Key: u.Key, Epoch: r.epoch,
		FromName: m.self.Name, FromIncarnation: m.self.Incarnation, History: r.history,
	}}}
	m.sendToMember(a.Owner.Name, body)
	if r.attempts > directReleaseAttempts {
		m.sendRelayed(a.Owner, body)
	}
}

// sendRelayed asks some neighbours, different ones each time, to relay a
// message.
func (m *Machine) sendRelayed(to cluster.MemberRef, body *wire.Control) {
	names := m.neighbours()
	for i := range min(relaysPerAttempt, len(names)) {
		m.nextID++
		n := names[(int(m.nextID)+i)%len(names)]
		m.sendToMember(n, &wire.Control{Body: &wire.Control_Relay{Relay: &wire.Relay{
			ToName: to.Name, ToIncarnation: to.Incarnation, Inner: body,
		}}})
	}
}

// onRelease records the release of an earlier owner. Only a node that knows
// itself to be a later owner acknowledges it, so the release is resent until
// then.
func (m *Machine) onRelease(r *wire.Release) {
	u := cluster.Unit{Service: r.GetService(), Shard: int(r.GetShard()), Key: r.GetKey()}
	from := cluster.MemberRef{Name: r.GetFromName(), Incarnation: r.GetFromIncarnation()}
	cur := m.units.local[u]
	if cur == nil || cur.epoch <= r.GetEpoch() {
		return
	}
	duplicate := cur.state != view.Pending
	if !duplicate {
		if m.units.receivedReleases[u] == nil {
			m.units.receivedReleases[u] = map[cluster.MemberRef]receivedRelease{}
		}
		if r.GetEpoch() >= m.units.receivedReleases[u][from].epoch {
			m.units.receivedReleases[u][from] = receivedRelease{epoch: r.GetEpoch(), history: r.GetHistory()}
		}
		m.tryServe(u, cur)
	}
	ack := &wire.Control{Body: &wire.Control_ReleaseAck{ReleaseAck: &wire.ReleaseAck{
		Service: u.Service, Shard: uint32(u.Shard), Key: u.Key, Epoch: r.GetEpoch(),
	}}}
	m.sendToMember(from.Name, ack)
	if duplicate {
		// The first acknowledgement may have been lost because the direct link
		// is down.
		m.sendRelayed(from, ack)
	}
}

// onReleaseAck stops resending a release if the owner that acknowledged it is
// still the owner.
func (m *Machine) onReleaseAck(from cluster.MemberRef, a *wire.ReleaseAck) {
	u := cluster.Unit{Service: a.GetService(), Shard: int(a.GetShard()), Key: a.GetKey()}
	r := m.units.released[u]
	current := m.assignment(u)
	if r != nil && current != nil && current.Owner == from && a.GetEpoch() >= r.epoch {
		r.ackedEpoch = current.Epoch
		r.attempts = 0
	}
}

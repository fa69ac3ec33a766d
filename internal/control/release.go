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

// Rules of releasing units.
const (
	// releaseRetryInterval is the time between two sendings of the same release.
	releaseRetryInterval = 200 * time.Millisecond
	// directReleaseAttempts is how many sendings go to the new owner alone before
	// peers are asked to pass the release on as well.
	directReleaseAttempts = 3
	// relaysPerAttempt is how many peers are asked.
	relaysPerAttempt = 2
)

// release is a unit that this node has stopped serving for good.
type release struct {
	epoch    uint64
	history  *wire.History
	nextSend clock.Mono
	attempts int
	// ackedEpoch is the epoch of the assignment whose owner acknowledged.
	ackedEpoch uint64
}

// receivedRelease is what an earlier owner has said of a unit.
type receivedRelease struct {
	epoch   uint64
	history *wire.History
}

// prepareRelease handles an assignment that waits for this node although it holds
// nothing: it never saw the epoch, or the unit is a pin of a key that it
// serves through the shard. Both must pass through the gate's idle check.
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
	m.units.local[u] = &unit{state: view.Stopping, epoch: epoch, since: m.now, releaseOnly: true}
	m.viewDirty = true
}

// predecessorEpoch returns the highest epoch under which ref is waited for.
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

// inheritedHistory returns what the last owner that served the unit said of idempotency
// keys; its floor covers the owners before it. It is nil if that owner ended
// without, as any earlier key may then have run. An owner that is gone is not
// listed, and shows as an epoch that is left out. The first owner of a shard
// has nobody before it.
func (m *Machine) inheritedHistory(u cluster.Unit, epoch uint64, before []cluster.Predecessor) *wire.History {
	if u.Key == "" && epoch == firstEpoch && len(before) == 0 {
		return &wire.History{}
	}
	latest := slices.Clone(before)
	slices.SortFunc(latest, func(a, b cluster.Predecessor) int { return cmp.Compare(b.Epoch, a.Epoch) })
	for _, p := range latest {
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

// sendRelease tells the present owner that this node has stopped. After a few
// tries peers are asked to pass it on, as the direct link may be cut.
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

// sendRelayed asks some neighbours, other ones each time, to pass a message on.
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

// onRelease notes that an earlier owner has stopped. It is acknowledged only
// by a node that knows itself to be a later owner, so that it is sent again
// until then.
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
		// The first answer may not have arrived: the direct link may be cut.
		m.sendRelayed(from, ack)
	}
}

// onReleaseAck stops the sending to the owner that acknowledged, if it still
// is the owner.
func (m *Machine) onReleaseAck(from cluster.MemberRef, a *wire.ReleaseAck) {
	u := cluster.Unit{Service: a.GetService(), Shard: int(a.GetShard()), Key: a.GetKey()}
	r := m.units.released[u]
	current := m.assignment(u)
	if r != nil && current != nil && current.Owner == from && a.GetEpoch() >= r.epoch {
		r.ackedEpoch = current.Epoch
		r.attempts = 0
	}
}

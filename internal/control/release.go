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
	// releaseEvery is the time between two sendings of the same release.
	releaseEvery = 200 * time.Millisecond
	// releaseDirect is how many sendings go to the new owner alone before
	// peers are asked to pass the release on as well.
	releaseDirect = 3
	// releaseRelays is how many peers are asked.
	releaseRelays = 2
)

// release is a unit that this node has stopped serving for good.
type release struct {
	epoch   uint64
	history *wire.History
	next    clock.Mono
	tries   int
	// ackedFor is the epoch of the assignment whose owner acknowledged.
	ackedFor uint64
}

// heardRelease is what an earlier owner has said of a unit.
type heardRelease struct {
	epoch   uint64
	history *wire.History
}

// oweRelease handles an assignment that waits for this node although it holds
// nothing: it never saw the epoch, or the unit is a pin of a key that it
// serves through the shard. Both must pass through the gate's idle check.
func (m *Machine) oweRelease(u cluster.Unit, a *cluster.Assignment) {
	epoch, named := predecessorEpoch(a, m.self)
	if !named {
		delete(m.units.released, u)
		return
	}
	if r := m.units.released[u]; r != nil && r.epoch >= epoch {
		r.next = min(r.next, m.now)
		return
	}
	m.units.own[u] = &unit{state: view.Stopping, epoch: epoch, since: m.now, owed: true}
	m.dirty = true
}

// predecessorEpoch returns the highest epoch under which ref is waited for.
func predecessorEpoch(a *cluster.Assignment, ref cluster.MemberRef) (uint64, bool) {
	epoch, named := uint64(0), false
	for _, p := range a.Predecessors {
		if p.MemberRef == ref {
			epoch, named = max(epoch, p.Epoch), true
		}
	}
	return epoch, named
}

// firstEpoch is the epoch of a shard's first assignment.
const firstEpoch = 1

// inherit returns what the last owner that served the unit said of idempotency
// keys; its floor covers the owners before it. It is nil if that owner ended
// without, as any earlier key may then have run. An owner that is gone is not
// listed, and shows as an epoch that is left out. The first owner of a shard
// has nobody before it.
func (m *Machine) inherit(u cluster.Unit, epoch uint64, before []cluster.Predecessor) *wire.History {
	if u.Key == "" && epoch == firstEpoch && len(before) == 0 {
		return &wire.History{}
	}
	latest := slices.Clone(before)
	slices.SortFunc(latest, func(a, b cluster.Predecessor) int { return cmp.Compare(b.Epoch, a.Epoch) })
	for _, p := range latest {
		h := m.units.heard[u][p.MemberRef]
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
	if _, waits := predecessorEpoch(a, m.self); !waits || r.ackedFor == a.Epoch {
		return
	}
	r.next = m.now.Add(releaseEvery)
	r.tries++
	body := &wire.Control{Body: &wire.Control_Release{Release: &wire.Release{
		Service: u.Service, Shard: uint32(u.Shard), Key: u.Key, Epoch: r.epoch,
		FromName: m.self.Name, FromIncarnation: m.self.Incarnation, History: r.history,
	}}}
	m.sendTo(a.Owner.Name, body)
	if r.tries > releaseDirect {
		m.sendRelayed(a.Owner, body)
	}
}

// sendRelayed asks some neighbours, other ones each time, to pass a message on.
func (m *Machine) sendRelayed(to cluster.MemberRef, body *wire.Control) {
	names := m.neighbours()
	for i := range min(releaseRelays, len(names)) {
		m.nextID++
		n := names[(int(m.nextID)+i)%len(names)]
		m.sendTo(n, &wire.Control{Body: &wire.Control_Relay{Relay: &wire.Relay{
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
	cur := m.units.own[u]
	if cur == nil || cur.epoch <= r.GetEpoch() {
		return
	}
	again := cur.state != view.Pending
	if !again {
		if m.units.heard[u] == nil {
			m.units.heard[u] = map[cluster.MemberRef]heardRelease{}
		}
		if r.GetEpoch() >= m.units.heard[u][from].epoch {
			m.units.heard[u][from] = heardRelease{epoch: r.GetEpoch(), history: r.GetHistory()}
		}
		m.serveIfFree(u, cur)
	}
	ack := &wire.Control{Body: &wire.Control_ReleaseAck{ReleaseAck: &wire.ReleaseAck{
		Service: u.Service, Shard: uint32(u.Shard), Key: u.Key, Epoch: r.GetEpoch(),
	}}}
	m.sendTo(from.Name, ack)
	if again {
		// The first answer may not have arrived: the direct link may be cut.
		m.sendRelayed(from, ack)
	}
}

// onReleaseAck stops the sending to the owner that acknowledged, if it still
// is the owner.
func (m *Machine) onReleaseAck(from cluster.MemberRef, a *wire.ReleaseAck) {
	u := cluster.Unit{Service: a.GetService(), Shard: int(a.GetShard()), Key: a.GetKey()}
	r := m.units.released[u]
	now := m.assignment(u)
	if r != nil && now != nil && now.Owner == from && a.GetEpoch() >= r.epoch {
		r.ackedFor = now.Epoch
		r.tries = 0
	}
}

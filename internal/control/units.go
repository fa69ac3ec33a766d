package control

import (
	"cmp"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/timeline"
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

// unit is this node's standing for one unit that placement gives or gave it.
type unit struct {
	state        view.UnitState
	epoch        uint64
	predecessors []cluster.Predecessor
	since        clock.Mono
	// continues and history are passed on to the gate; see view.Owned.
	continues bool
	history   *wire.History
	// served is true once the gate was let serve the unit, under this epoch or
	// an earlier one; owed is true if only a release is due for it.
	served bool
	owed   bool
}

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

// unitState holds the units that this node owns or has to release.
type unitState struct {
	own      map[cluster.Unit]*unit
	released map[cluster.Unit]*release
	// heard holds what others released of each unit that is pending here.
	heard map[cluster.Unit]map[cluster.MemberRef]heardRelease
	// rates are the loads of the last sample.
	rates map[cluster.Unit]float64
}

func (u *unitState) init() {
	u.own = map[cluster.Unit]*unit{}
	u.released = map[cluster.Unit]*release{}
	u.heard = map[cluster.Unit]map[cluster.MemberRef]heardRelease{}
	u.rates = map[cluster.Unit]float64{}
}

// onGroup takes a newer version of a placement group.
func (m *Machine) onGroup(key string, g *cluster.Group) {
	old := m.groups[key]
	m.groups[key] = g
	m.placeRev++
	m.staleTab[g.Service] = true
	m.dirty = true
	if m.phase != phaseJoined {
		return
	}
	m.adoptGroup(g)
	if old != nil {
		m.dropPins(old, g)
	}
}

// adoptGroups takes the known groups into a new incarnation.
func (m *Machine) adoptGroups() {
	for _, k := range m.groupKeys() {
		m.adoptGroup(m.groups[k])
	}
}

func (m *Machine) groupKeys() []string {
	out := make([]string, 0, len(m.groups))
	for k := range m.groups {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (m *Machine) adoptGroup(g *cluster.Group) {
	for i := range g.Shards {
		m.adopt(cluster.Unit{Service: g.Service, Shard: g.First + i}, &g.Shards[i], 0)
	}
	for i := range g.Pins {
		p := &g.Pins[i]
		m.adopt(cluster.Unit{Service: g.Service, Shard: p.Shard, Key: p.Key}, &p.Assignment, p.SplitEpoch)
	}
}

// dropPins forgets pins that were removed. A pin goes only once its shard's
// owner serves it, so its key stays with the same node.
func (m *Machine) dropPins(old, g *cluster.Group) {
	kept := map[string]bool{}
	for _, p := range g.Pins {
		kept[p.Key] = true
	}
	for _, p := range old.Pins {
		if !kept[p.Key] {
			u := cluster.Unit{Service: old.Service, Shard: p.Shard, Key: p.Key}
			delete(m.units.own, u)
			delete(m.units.released, u)
			delete(m.units.heard, u)
		}
	}
}

// adopt takes one assignment of a newer placement. split is the epoch of the
// shard that a pin was cut from without a change of owner, else 0.
func (m *Machine) adopt(u cluster.Unit, a *cluster.Assignment, split uint64) {
	if a.Owner == m.self {
		m.adoptOwned(u, a, split)
		return
	}
	cur := m.units.own[u]
	if cur != nil && a.Epoch > cur.epoch {
		m.stopUnit(u, cur)
		return
	}
	if cur == nil {
		m.oweRelease(u, a)
	}
}

func (m *Machine) adoptOwned(u cluster.Unit, a *cluster.Assignment, split uint64) {
	cur := m.units.own[u]
	if cur != nil && cur.epoch >= a.Epoch {
		return
	}
	next := &unit{state: view.Pending, epoch: a.Epoch, predecessors: a.Predecessors, since: m.now}
	next.continues = m.continues(u, cur, a, split)
	next.served = cur != nil && cur.served
	m.units.own[u] = next
	delete(m.units.released, u)
	m.dirty = true
	if !m.serveIfFree(u, next) {
		m.unitEvent(timeline.KindMove, u, next.epoch, "unit waits for an earlier owner")
	}
}

// continues reports whether this process goes on serving the unit's keys, so
// that nobody else can have served them in between.
func (m *Machine) continues(u cluster.Unit, cur *unit, a *cluster.Assignment, split uint64) bool {
	if len(a.Predecessors) > 0 {
		return false
	}
	if cur != nil {
		return u.Key == "" && cur.serving()
	}
	shard := m.units.own[cluster.Unit{Service: u.Service, Shard: u.Shard}]
	return split != 0 && shard != nil && shard.serving() && shard.epoch == split
}

// stopUnit makes the gate refuse new requests. The release follows once the
// gate reports that nothing is in flight.
func (m *Machine) stopUnit(u cluster.Unit, cur *unit) {
	if cur.state == view.Stopping {
		return
	}
	cur.state = view.Stopping
	m.dirty = true
	m.unitEvent(timeline.KindMove, u, cur.epoch, "unit is being handed over")
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

// unitIdle releases a unit that is still stopping under the same epoch.
func (m *Machine) unitIdle(e UnitIdle) {
	cur := m.units.own[e.Unit]
	if cur == nil || cur.state != view.Stopping || cur.epoch != e.Epoch {
		return
	}
	delete(m.units.own, e.Unit)
	delete(m.units.heard, e.Unit)
	history := e.History
	viaShard := cur.owed && e.Unit.Key != ""
	if !cur.served && !viaShard {
		history = &wire.History{NeverServed: true}
	}
	m.units.released[e.Unit] = &release{epoch: cur.epoch, history: history, next: m.now}
	m.dirty = true
	m.unitEvent(timeline.KindMove, e.Unit, cur.epoch, "unit released")
	m.sendRelease(e.Unit, m.units.released[e.Unit])
}

func (m *Machine) unitEvent(k timeline.Kind, u cluster.Unit, epoch uint64, text string) {
	m.event(timeline.Event{Kind: k, Unit: &u, Epoch: epoch, Text: text})
}

// advanceUnits serves pending units whose predecessors are done and sends
// releases again that nobody has acknowledged.
func (m *Machine) advanceUnits() {
	if m.phase != phaseJoined {
		return
	}
	for _, u := range sortedUnits(m.units.own) {
		if cur := m.units.own[u]; cur.state == view.Pending {
			m.serveIfFree(u, cur)
		}
	}
	for _, u := range sortedUnits(m.units.released) {
		if r := m.units.released[u]; r.next <= m.now {
			m.sendRelease(u, r)
		}
	}
}

func sortedUnits[T any](set map[cluster.Unit]T) []cluster.Unit {
	out := make([]cluster.Unit, 0, len(set))
	for u := range set {
		out = append(out, u)
	}
	slices.SortFunc(out, compareUnits)
	return out
}

func compareUnits(a, b cluster.Unit) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Key, b.Key))
}

// serveIfFree lets the gate serve a pending unit once no earlier owner can.
func (m *Machine) serveIfFree(u cluster.Unit, cur *unit) bool {
	for _, p := range cur.predecessors {
		if !m.satisfied(u, p) {
			return false
		}
	}
	cur.history = m.inherit(u, cur.epoch, cur.predecessors)
	cur.state = view.Serving
	cur.served = true
	cur.predecessors = nil
	delete(m.units.heard, u)
	m.dirty = true
	m.unitEvent(timeline.KindPlacement, u, cur.epoch, "unit served")
	return true
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

// satisfied reports whether an earlier owner can no longer serve the unit: it
// is this process, it said so, or its incarnation is gone and nothing of it
// can still run.
func (m *Machine) satisfied(u cluster.Unit, p cluster.Predecessor) bool {
	if p.MemberRef == m.self {
		return true
	}
	if h, ok := m.units.heard[u][p.MemberRef]; ok && h.epoch >= p.Epoch {
		return true
	}
	return m.endedFor(u.Service, p.MemberRef)
}

// leftCleanly reports whether the incarnation ended with nothing in flight.
func (m *Machine) leftCleanly(ref cluster.MemberRef) bool {
	mem := m.members[ref.Name]
	return mem != nil && mem.MemberRef == ref && mem.State == cluster.StateLeft
}

func (m *Machine) fenced(service string) bool {
	return m.config != nil && m.config.Services[service].ChecksFence
}

// assignment returns the newest known assignment of a unit.
func (m *Machine) assignment(u cluster.Unit) *cluster.Assignment {
	g := m.groups[cluster.GroupKey(u.Service, u.Shard/cluster.GroupShards)]
	if g == nil {
		return nil
	}
	if u.Key != "" {
		for i := range g.Pins {
			if g.Pins[i].Key == u.Key {
				return &g.Pins[i].Assignment
			}
		}
		return nil
	}
	if i := u.Shard - g.First; i >= 0 && i < len(g.Shards) {
		return &g.Shards[i]
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
	if cur.state == view.Pending {
		if m.units.heard[u] == nil {
			m.units.heard[u] = map[cluster.MemberRef]heardRelease{}
		}
		if r.GetEpoch() >= m.units.heard[u][from].epoch {
			m.units.heard[u][from] = heardRelease{epoch: r.GetEpoch(), history: r.GetHistory()}
		}
		m.serveIfFree(u, cur)
	}
	m.sendTo(from.Name, &wire.Control{Body: &wire.Control_ReleaseAck{ReleaseAck: &wire.ReleaseAck{
		Service: u.Service, Shard: uint32(u.Shard), Key: u.Key, Epoch: r.GetEpoch(),
	}}})
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

// stoppingUnits lists the units whose idleness the gate is to report.
func (m *Machine) stoppingUnits() []UnitIdle {
	var out []UnitIdle
	for _, u := range sortedUnits(m.units.own) {
		if cur := m.units.own[u]; cur.state == view.Stopping {
			out = append(out, UnitIdle{Unit: u, Epoch: cur.epoch})
		}
	}
	return out
}

// serving reports whether the gate may serve the unit.
func (u *unit) serving() bool { return u.state == view.Serving }

// owned returns what the gate is told of the unit.
func (u *unit) owned() view.Owned {
	return view.Owned{
		State:        u.state,
		Epoch:        u.epoch,
		PendingSince: u.since,
		Continues:    u.continues,
		History:      u.history,
	}
}

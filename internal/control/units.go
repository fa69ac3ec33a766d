package control

import (
	"cmp"
	"slices"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// unit is this node's state for one unit that is or was assigned to it.
type unit struct {
	state        view.UnitState
	epoch        uint64
	predecessors []cluster.Predecessor
	pendingSince clock.Mono
	// servedBefore and history are passed to the gate; see view.Ownership.
	servedBefore bool
	history      *wire.History
	// served is true once the gate was allowed to serve the unit, under this
	// epoch or an earlier one. releaseOnly is true if the unit is tracked only
	// to release it.
	served      bool
	releaseOnly bool
}

// unitState holds the units that this node owns or has to release.
type unitState struct {
	local    map[cluster.Unit]*unit
	released map[cluster.Unit]*release
	// receivedReleases holds the releases of other nodes for each unit that is
	// pending here.
	receivedReleases map[cluster.Unit]map[cluster.MemberRef]receivedRelease
	// rates are the rates of the last load sample.
	rates map[cluster.Unit]float64
}

func (u *unitState) init() {
	u.local = map[cluster.Unit]*unit{}
	u.released = map[cluster.Unit]*release{}
	u.receivedReleases = map[cluster.Unit]map[cluster.MemberRef]receivedRelease{}
	u.rates = map[cluster.Unit]float64{}
}

// onGroup handles a newer version of a placement group.
func (m *Machine) onGroup(key string, g *cluster.Group) {
	old := m.groups[key]
	m.groups[key] = g
	m.placementChanges++
	m.staleTables[g.Service] = true
	m.viewDirty = true
	if m.phase != phaseJoined {
		return
	}
	m.adoptGroup(g)
	if old != nil {
		m.forgetRemovedPins(old, g)
	}
}

// adoptGroups applies the known groups to a new incarnation.
func (m *Machine) adoptGroups() {
	for _, k := range sortedNames(m.groups) {
		m.adoptGroup(m.groups[k])
	}
}

func (m *Machine) adoptGroup(g *cluster.Group) {
	for i := range g.Shards {
		m.adoptAssignment(cluster.Unit{Service: g.Service, Shard: g.First + i}, &g.Shards[i], 0)
	}
	for i := range g.Pins {
		p := &g.Pins[i]
		m.adoptAssignment(cluster.Unit{Service: g.Service, Shard: p.Shard, Key: p.Key}, &p.Assignment, p.SplitEpoch)
	}
}

// forgetRemovedPins discards the state of pins that were removed. A pin is
// removed only once its shard's owner serves it, so the key stays with the
// same node.
func (m *Machine) forgetRemovedPins(old, g *cluster.Group) {
	kept := map[string]bool{}
	for _, p := range g.Pins {
		kept[p.Key] = true
	}
	for _, p := range old.Pins {
		if !kept[p.Key] {
			u := cluster.Unit{Service: old.Service, Shard: p.Shard, Key: p.Key}
			delete(m.units.local, u)
			delete(m.units.released, u)
			delete(m.units.receivedReleases, u)
		}
	}
}

// adoptAssignment applies one assignment of a newer placement. splitEpoch is
// the epoch of the shard that a pin was split from without a change of owner,
// else 0.
func (m *Machine) adoptAssignment(u cluster.Unit, a *cluster.Assignment, splitEpoch uint64) {
	if a.Owner == m.self {
		m.adoptOwned(u, a, splitEpoch)
		return
	}
	cur := m.units.local[u]
	if cur != nil && a.Epoch > cur.epoch {
		m.stopUnit(u, cur)
		return
	}
	if cur == nil {
		m.prepareRelease(u, a)
	}
}

func (m *Machine) adoptOwned(u cluster.Unit, a *cluster.Assignment, splitEpoch uint64) {
	cur := m.units.local[u]
	if cur != nil && cur.epoch >= a.Epoch {
		return
	}
	next := &unit{state: view.Pending, epoch: a.Epoch, predecessors: a.Predecessors, pendingSince: m.now}
	next.servedBefore = m.servedWithoutBreak(u, cur, a, splitEpoch)
	next.served = cur != nil && cur.served
	m.units.local[u] = next
	delete(m.units.released, u)
	m.viewDirty = true
	if !m.tryServe(u, next) {
		m.unitEvent(timeline.KindMove, u, next.epoch, "unit waits for an earlier owner")
	}
}

// servedWithoutBreak reports whether this process has served the unit's keys
// without interruption, so that no other node can have served them in between.
func (m *Machine) servedWithoutBreak(u cluster.Unit, cur *unit, a *cluster.Assignment, splitEpoch uint64) bool {
	if len(a.Predecessors) > 0 {
		return false
	}
	if cur != nil {
		return u.Key == "" && cur.serving()
	}
	shard := m.units.local[cluster.Unit{Service: u.Service, Shard: u.Shard}]
	return splitEpoch != 0 && shard != nil && shard.serving() && shard.epoch == splitEpoch
}

// stopUnit makes the gate refuse new requests for a unit. The unit is released
// once the gate reports that none is in flight.
func (m *Machine) stopUnit(u cluster.Unit, cur *unit) {
	if cur.state == view.Stopping {
		return
	}
	cur.state = view.Stopping
	m.viewDirty = true
	m.unitEvent(timeline.KindMove, u, cur.epoch, "unit is being handed over")
}

// onUnitIdle releases a unit that is still stopping under the same epoch.
func (m *Machine) onUnitIdle(e UnitIdle) {
	cur := m.units.local[e.Unit]
	if cur == nil || cur.state != view.Stopping || cur.epoch != e.Epoch {
		return
	}
	// The placement may wait for a later ownership of this node that it never
	// observed because it skipped an epoch. As the node serves nothing under
	// that epoch, it releases it as well.
	epoch := cur.epoch
	if a := m.assignment(e.Unit); a != nil {
		awaited, _ := predecessorEpoch(a, m.self)
		epoch = max(epoch, awaited)
	}
	delete(m.units.local, e.Unit)
	delete(m.units.receivedReleases, e.Unit)
	history := e.History
	servedByShard := cur.releaseOnly && e.Unit.Key != ""
	if !cur.served && !servedByShard {
		history = &wire.History{NeverServed: true}
	}
	m.units.released[e.Unit] = &release{epoch: epoch, history: history, nextSend: m.now}
	m.viewDirty = true
	m.unitEvent(timeline.KindMove, e.Unit, epoch, "unit released")
	m.sendRelease(e.Unit, m.units.released[e.Unit])
}

func (m *Machine) unitEvent(k timeline.Kind, u cluster.Unit, epoch uint64, text string) {
	m.recordEvent(timeline.Event{Kind: k, Unit: &u, Epoch: epoch, Text: text})
}

// advanceUnits serves pending units whose predecessors are done and resends
// releases that have not been acknowledged.
func (m *Machine) advanceUnits() {
	if m.phase != phaseJoined {
		return
	}
	for _, u := range sortedUnits(m.units.local) {
		if cur := m.units.local[u]; cur.state == view.Pending {
			m.tryServe(u, cur)
		}
	}
	for _, u := range sortedUnits(m.units.released) {
		if r := m.units.released[u]; r.nextSend <= m.now {
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

// tryServe lets the gate serve a pending unit if no earlier owner can serve it
// any more, and reports whether it did.
func (m *Machine) tryServe(u cluster.Unit, cur *unit) bool {
	for _, p := range cur.predecessors {
		if !m.predecessorDone(u, p) {
			return false
		}
	}
	cur.history = m.inheritedHistory(u, cur.epoch, cur.predecessors)
	cur.state = view.Serving
	cur.served = true
	cur.predecessors = nil
	delete(m.units.receivedReleases, u)
	m.viewDirty = true
	m.unitEvent(timeline.KindPlacement, u, cur.epoch, "unit served")
	return true
}

// predecessorDone reports whether an earlier owner can no longer serve the
// unit: it is this process, it has released the unit, or its incarnation is
// gone and none of its requests can still run.
func (m *Machine) predecessorDone(u cluster.Unit, p cluster.Predecessor) bool {
	if p.MemberRef == m.self {
		return true
	}
	if h, ok := m.units.receivedReleases[u][p.MemberRef]; ok && h.epoch >= p.Epoch {
		return true
	}
	return m.requestsEnded(u.Service, p.MemberRef)
}

// leftCleanly reports whether the incarnation ended with no request in flight.
func (m *Machine) leftCleanly(ref cluster.MemberRef) bool {
	mem := m.members[ref.Name]
	return mem != nil && mem.MemberRef == ref && mem.State == cluster.StateLeft
}

func (m *Machine) checksFence(service string) bool {
	return m.config != nil && m.config.Services[service].ChecksFence
}

// assignment returns the newest known assignment of a unit.
func (m *Machine) assignment(u cluster.Unit) *cluster.Assignment {
	g := m.groups[cluster.GroupKey(u.Service, u.Shard/cluster.MaxShardsPerGroup)]
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

// stoppingUnits returns the units that the gate is to report once idle.
func (m *Machine) stoppingUnits() []UnitIdle {
	var out []UnitIdle
	for _, u := range sortedUnits(m.units.local) {
		if cur := m.units.local[u]; cur.state == view.Stopping {
			out = append(out, UnitIdle{Unit: u, Epoch: cur.epoch})
		}
	}
	return out
}

// serving reports whether the gate may serve the unit.
func (u *unit) serving() bool { return u.state == view.Serving }

// owned returns the unit's state as published to the gate.
func (u *unit) owned() view.Ownership {
	return view.Ownership{
		State:        u.state,
		Epoch:        u.epoch,
		PendingSince: u.pendingSince,
		ServedBefore: u.servedBefore,
		History:      u.history,
	}
}

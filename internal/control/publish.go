package control

import (
	"maps"
	"slices"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/view"
)

// Parameters of following the platform.
const (
	// watchersPerZone is the number of nodes per availability zone that watch
	// the platform.
	watchersPerZone = 2
	// headReadInterval is the time between two reads of the configuration head
	// by a watcher, since a watch may miss changes.
	headReadInterval = 1500 * time.Millisecond
	// fullListInterval is the time between two full lists by a watcher.
	fullListInterval = 2 * time.Minute
)

// watchPlatform decides whether this node watches the platform on behalf of
// its zone, and reads again what the watch may have missed.
func (m *Machine) watchPlatform() {
	m.watching = m.phase == phaseJoined && m.currentDerived().watchRank < watchersPerZone
	if !m.watching {
		return
	}
	if m.nextHeadRead <= m.now {
		m.nextHeadRead = m.now.Add(headReadInterval)
		m.read(cluster.ConfigHeadKey)
	}
	if m.nextFullLists <= m.now {
		if m.nextFullLists > 0 {
			m.ready.Lists = append(m.ready.Lists, cluster.MemberPrefix, cluster.PlacementPrefix)
		}
		m.nextFullLists = m.now.Add(fullListInterval)
	}
}

// buildView builds the snapshot that the traffic goroutines read. Unchanged
// tables are shared with the previous snapshot.
func (m *Machine) buildView() *view.View {
	admitting, reason := m.admitting()
	v := &view.View{
		Self:      m.self,
		Config:    m.config,
		Members:   map[string]*cluster.Member{},
		Owned:     make(map[cluster.Unit]view.Ownership, len(m.units.local)),
		Draining:  m.own.draining,
		Admitting: admitting,
		Reason:    reason,
	}
	for n, p := range m.members {
		if !p.State.Gone() {
			v.Members[n] = p
		}
	}
	for u, cur := range m.units.local {
		v.Owned[u] = cur.owned()
	}
	m.refreshTables()
	v.Tables = maps.Clone(m.tables)
	return v
}

func (m *Machine) refreshTables() {
	if m.config == nil {
		return
	}
	for name, s := range m.config.Services {
		if s.DividedByKey && (m.staleTables[name] || m.tables[name] == nil) {
			m.tables[name] = m.buildTable(s)
			delete(m.staleTables, name)
		}
	}
}

func (m *Machine) buildTable(s config.Service) *view.Table {
	t := &view.Table{Pins: map[string]cluster.Pin{}}
	for i := range placementGroups(s) {
		g := m.groups[cluster.GroupKey(s.Name, i)]
		if g == nil {
			t.Shards = append(t.Shards, make([]cluster.Assignment, min(cluster.MaxShardsPerGroup, s.Shards-i*cluster.MaxShardsPerGroup))...)
			continue
		}
		t.Shards = append(t.Shards, g.Shards...)
		for _, p := range g.Pins {
			t.Pins[p.Key] = p
		}
	}
	return t
}

// Status is the control state that a node shows to operators.
type Status struct {
	Self            cluster.MemberRef
	Phase           string
	State           cluster.MemberState
	RevisionInForce uint64
	RevisionKnown   uint64
	Admitting       bool
	Reason          string
	LeaseLeft       time.Duration
	Witnesses       []cluster.Witness
	// HolderCount is the number of members that this node is a witness of.
	HolderCount int
	Pending     int
	Serving     int
	Stopping    int
	// Pins is the number of served hot keys, which Pending, Serving and
	// Stopping do not count.
	Pins          int
	Members       []cluster.Member
	Watching      bool
	Draining      bool
	DrainInFlight int
	// SinceLastMessage is the time since the last message from each peer that
	// sends to this node.
	SinceLastMessage map[string]time.Duration
}

var phaseNames = map[phase]string{
	phaseLoading: "loading",
	phaseJoining: "joining",
	phaseJoined:  "joined",
	phaseLeft:    "left",
}

// Status returns the current state for operators.
func (m *Machine) Status() Status {
	admitting, reason := m.admitting()
	s := Status{
		Self:             m.self,
		Phase:            phaseNames[m.phase],
		RevisionInForce:  m.revision(),
		RevisionKnown:    m.knownRevision,
		Admitting:        admitting,
		Reason:           reason,
		LeaseLeft:        max(0, m.leaseUntil().Sub(m.now)),
		Witnesses:        slices.Clone(m.allWitnesses()),
		HolderCount:      m.witness.HolderCount(),
		Watching:         m.watching,
		Draining:         m.own.draining,
		DrainInFlight:    m.own.inFlight,
		SinceLastMessage: map[string]time.Duration{},
	}
	for name, at := range m.lastMessageAt {
		s.SinceLastMessage[name] = m.now.Sub(at)
	}
	for u, cur := range m.units.local {
		s.countUnit(u, cur.state)
	}
	for _, p := range m.memberList() {
		s.Members = append(s.Members, *p)
	}
	if p := m.members[m.self.Name]; p != nil {
		s.State = p.State
	}
	return s
}

func (s *Status) countUnit(u cluster.Unit, state view.UnitState) {
	if u.Key != "" {
		if state == view.Serving {
			s.Pins++
		}
		return
	}
	switch state {
	case view.Pending:
		s.Pending++
	case view.Serving:
		s.Serving++
	case view.Stopping:
		s.Stopping++
	}
}

package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/placement"
	"fulmarhinge/internal/timeline"
)

// Parameters of the controller role.
const (
	// forcedMoveDelay batches losses that occur close together into one
	// update.
	forcedMoveDelay = 60 * time.Millisecond
	// repeatedMoveDelay replaces forcedMoveDelay for repeatedMoveWindow after
	// an update. The leases of a lost zone's nodes expire over a whole renewal
	// period; rewriting every placement object each time a few of them expire
	// would overload the platform.
	repeatedMoveDelay  = 350 * time.Millisecond
	repeatedMoveWindow = 2 * time.Second
	// controllerRankDelay is the additional time that each lower-ranked
	// controller waits before it does the work that the one ranked before it
	// has not done.
	controllerRankDelay = 350 * time.Millisecond
	// balanceInterval is the minimum time between two planned rebalancings.
	balanceInterval = 5 * time.Second
	// maxPlannedMoves bounds the planned moves of one rebalancing.
	maxPlannedMoves = 256
)

// serviceControl is a node's state for the controller role of one service.
type serviceControl struct {
	// forcedSince is the time since when forced moves have been needed; 0 if
	// none are.
	forcedSince clock.Mono
	// movesForced reports whether any unit must move; it was computed for
	// checkedVersion.
	movesForced    bool
	checkedVersion stateVersion
	// lastForcedAt is the time of this node's last forced moves.
	lastForcedAt clock.Mono
	nextBalance  clock.Mono
	nextReport   clock.Mono
	reports      map[string]loadReport
}

// controlServices does the controller's work for each service divided by key.
// Every node with a backend server of the service may do it: each decision is
// a conditional update, and the rank only avoids duplicate work.
func (m *Machine) controlServices() {
	if m.phase != phaseJoined || m.config == nil {
		return
	}
	for _, name := range sortedNames(m.config.Services) {
		if s := m.config.Services[name]; s.DividedByKey {
			m.controlService(s)
		}
	}
}

// sortedNames returns the keys of a map in sorted order, so that equal steps
// produce equal output.
func sortedNames[T any](set map[string]T) []string { return slices.Sorted(maps.Keys(set)) }

func (m *Machine) serviceControl(name string) *serviceControl {
	c := m.control[name]
	if c == nil {
		c = &serviceControl{reports: map[string]loadReport{}}
		m.control[name] = c
	}
	return c
}

func (m *Machine) controlService(s config.Service) {
	c := m.serviceControl(s.Name)
	m.reportLoad(s.Name, c)
	rank := m.controllerRank(s.Name)
	if rank < 0 {
		return
	}
	if m.createGroups(s, rank) || m.writingGroup(s.Name) {
		return
	}
	if !m.needsForcedMoves(s, c) {
		c.forcedSince = 0
		m.balance(s, c, rank)
		return
	}
	if c.forcedSince == 0 {
		c.forcedSince = m.now
	}
	wait := forcedMoveDelay
	if c.lastForcedAt > 0 && c.lastForcedAt.Add(repeatedMoveWindow) > m.now {
		wait = repeatedMoveDelay
	}
	if c.forcedSince.Add(wait+time.Duration(rank)*controllerRankDelay) <= m.now {
		c.forcedSince = 0
		c.lastForcedAt = m.now
		in := m.planInput(s)
		in.MaxMoves = 0
		m.writePlacement(s, placement.Plan(in))
	}
}

// needsForcedMoves reports whether any unit of the service must move. The
// result is recomputed only after the members, the placement or the
// configuration have changed.
func (m *Machine) needsForcedMoves(s config.Service, c *serviceControl) bool {
	current := stateVersion{members: m.memberChanges, placement: m.placementChanges, config: m.revision()}
	if c.checkedVersion != current {
		c.checkedVersion = current
		c.movesForced = hasForcedMoves(m.planInput(s))
	}
	return c.movesForced
}

// stateVersion identifies the state that a decision was computed from.
type stateVersion struct{ members, placement, config uint64 }

// controllerRank returns this node's rank among the controllers of a service,
// or -1 if it is not one of them.
func (m *Machine) controllerRank(service string) int {
	return slices.IndexFunc(m.controllers(service), func(p *cluster.Member) bool { return p.MemberRef == m.self })
}

// leadingControllers is the number of highest-ranked controllers that receive
// load reports and may have to replace lost owners: the first one and those
// that act in its place.
const leadingControllers = 2

// IsController reports whether this node is a leading controller of any service.
func (m *Machine) IsController() bool {
	if m.config == nil {
		return false
	}
	for name, s := range m.config.Services {
		if rank := m.controllerRank(name); s.DividedByKey && rank >= 0 && rank < leadingControllers {
			return true
		}
	}
	return false
}

// createGroups writes the missing placement objects of a service. It reports
// whether any is missing.
func (m *Machine) createGroups(s config.Service, rank int) bool {
	missing := false
	for i, g := range placement.InitialGroups(s) {
		key := cluster.GroupKey(s.Name, i)
		if m.groups[key] != nil {
			continue
		}
		missing = true
		if rank > 0 || m.writeIDByKey[key] != 0 || m.readBlockedUntil[key] > m.now {
			continue
		}
		g.ChangeID = m.changeID()
		m.write(key, 0, cluster.Encode(g), g.ChangeID, func(Outcome) {})
	}
	return missing
}

func (m *Machine) writingGroup(service string) bool {
	prefix := cluster.PlacementPrefix + service + "/"
	for k := range m.writeIDByKey {
		if len(k) > len(prefix) && k[:len(prefix)] == prefix {
			return true
		}
	}
	return false
}

// planInput collects the input for planning the placement of a service.
func (m *Machine) planInput(s config.Service) placement.Input {
	in := placement.Input{
		Service:  s.Name,
		Load:     map[cluster.Unit]float64{},
		Serving:  map[cluster.Unit]uint64{},
		Draining: map[cluster.MemberRef]bool{},
		MaxMoves: maxPlannedMoves,
	}
	for i := range placementGroups(s) {
		g := m.groups[cluster.GroupKey(s.Name, i)]
		in.Shards = append(in.Shards, g.Shards...)
		in.Pins = append(in.Pins, g.Pins...)
	}
	for _, p := range m.memberList() {
		m.addNode(&in, p, s.Name)
	}
	m.addLoads(&in, m.serviceControl(s.Name))
	return in
}

// placementGroups returns the number of placement objects of a service.
func placementGroups(s config.Service) int {
	return (s.Shards + cluster.MaxShardsPerGroup - 1) / cluster.MaxShardsPerGroup
}

func (m *Machine) addNode(in *placement.Input, p *cluster.Member, service string) {
	b := p.Backend
	serves := b != nil && b.Service == service
	n := placement.Node{
		Ref:  p.MemberRef,
		Zone: p.Zone,
		Gone: p.State.Gone(),
	}
	if serves {
		n.Slots = b.Slots
		n.Eligible = p.State == cluster.StateActive && b.Ready
	}
	if p.State == cluster.StateDraining {
		in.Draining[p.MemberRef] = true
	}
	in.Nodes = append(in.Nodes, n)
}

// hasForcedMoves reports whether any unit has an owner that can't keep it
// although an eligible node exists.
func hasForcedMoves(in placement.Input) bool {
	usable := map[cluster.MemberRef]bool{}
	anyUsable := false
	for _, n := range in.Nodes {
		if n.Eligible && !in.Draining[n.Ref] {
			usable[n.Ref] = true
			anyUsable = true
		}
	}
	if !anyUsable {
		return false
	}
	for i := range in.Shards {
		if !usable[in.Shards[i].Owner] {
			return true
		}
	}
	for i := range in.Pins {
		if !usable[in.Pins[i].Owner] {
			return true
		}
	}
	return false
}

// balance rebalances load periodically. Only the first controller does so, and
// only with a recent report from every owner: units without a report, as after
// a change of controller, would be taken for idle.
func (m *Machine) balance(s config.Service, c *serviceControl, rank int) {
	if rank != 0 || c.nextBalance > m.now {
		return
	}
	c.nextBalance = m.now.Add(max(balanceInterval, m.reportInterval()))
	if in := m.planInput(s); m.allReported(in, c) {
		m.writePlacement(s, placement.Plan(in))
	}
}

// writePlacement writes each placement object that the moves affect, once.
func (m *Machine) writePlacement(s config.Service, moves []placement.Move) {
	byGroup := map[int][]placement.Move{}
	for _, mv := range moves {
		i := mv.Unit.Shard / cluster.MaxShardsPerGroup
		byGroup[i] = append(byGroup[i], mv)
	}
	for i := range placementGroups(s) {
		if len(byGroup[i]) > 0 {
			m.writeGroupMoves(s, i, byGroup[i])
		}
	}
}

func (m *Machine) writeGroupMoves(s config.Service, group int, moves []placement.Move) {
	key := cluster.GroupKey(s.Name, group)
	ended := func(ref cluster.MemberRef) bool { return m.requestsEnded(s.Name, ref) }
	next, n := placement.Apply(m.groups[key], moves, ended)
	if n == 0 {
		return
	}
	next.ChangeID = m.changeID()
	m.recordEvent(timeline.Event{Kind: timeline.KindPlacement, Text: fmt.Sprintf("%s: %d units move, first for %s", key, n, moves[0].Reason)})
	m.recordMoves(moves)
	m.write(key, m.objects[key].version, cluster.Encode(next), next.ChangeID, func(Outcome) {})
}

// recordMoves records the old and new owner of each unit, so that the timeline
// shows who owned it even if the old owner's own events are lost.
func (m *Machine) recordMoves(moves []placement.Move) {
	for _, mv := range moves {
		e := timeline.Event{Kind: timeline.KindPlacement, Unit: &mv.Unit, Epoch: mv.FromEpoch}
		if old := m.assignment(mv.Unit); old != nil && !old.Owner.IsZero() {
			from := old.Owner
			e.Member = &from
			e.Text = "unit is taken: " + mv.Reason.String()
			m.recordEvent(e)
		}
		to := mv.To
		e.Member = &to
		e.Epoch = mv.FromEpoch + 1
		e.Text = "unit is assigned: " + mv.Reason.String()
		m.recordEvent(e)
	}
}

// requestsEnded reports whether no request admitted by an incarnation can
// still run. Backend servers that check no fence may run requests of a lost
// owner until their deadline, so for them the maximum request time is waited
// out as well.
func (m *Machine) requestsEnded(service string, ref cluster.MemberRef) bool {
	if !m.isGone(ref) {
		return false
	}
	if m.leftCleanly(ref) || m.checksFence(service) {
		return true
	}
	goneSince, seen := m.goneAt[ref]
	if !seen {
		// The incarnation ended before this process observed it: count from
		// now.
		m.goneAt[ref] = m.now
		goneSince = m.now
	}
	// The deadlines are measured on other clocks, which may run slower than
	// this one.
	wait := m.maxRequestTime[service]
	wait += wait * time.Duration(m.params.Lease.DriftPercent) / 100
	return goneSince.Add(wait) <= m.now
}

package control

import (
	"slices"
	"strings"

	"fulmarhinge/internal/cluster"
)

// derivedState is the state computed from the members alone. It is recomputed
// only after a member has changed: in a large fleet, recomputing it at each
// tick would dominate the cost of a tick.
type derivedState struct {
	valid       bool
	list        []*cluster.Member
	controllers map[string][]*cluster.Member
	neighbours  []string
	watchRank   int
}

// currentDerived returns the state derived from the current members.
func (m *Machine) currentDerived() *derivedState {
	if !m.derived.valid {
		m.derived = derivedState{
			valid:       true,
			list:        m.sortedMembers(),
			controllers: map[string][]*cluster.Member{},
		}
		m.derived.neighbours = m.computeNeighbours()
		m.derived.watchRank = m.computeWatchRank()
	}
	return &m.derived
}

// membersChanged invalidates the derived state.
func (m *Machine) membersChanged() {
	m.derived.valid = false
	m.memberChanges++
}

// memberList returns the members sorted by name.
func (m *Machine) memberList() []*cluster.Member { return m.currentDerived().list }

func (m *Machine) sortedMembers() []*cluster.Member {
	out := make([]*cluster.Member, 0, len(m.members))
	for _, p := range m.members {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *cluster.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// neighbours returns the names of this node's witnesses and of the members
// that it is a witness of.
func (m *Machine) neighbours() []string { return m.currentDerived().neighbours }

func (m *Machine) computeNeighbours() []string {
	set := map[string]bool{}
	for _, w := range m.allWitnesses() {
		set[w.Name] = true
	}
	for name, p := range m.members {
		if !p.State.Gone() && m.isWitnessOf(p) {
			set[name] = true
		}
	}
	delete(set, m.self.Name)
	return sortedNames(set)
}

// controllers returns the members that may control a service, highest rank
// first: the active members with a backend server of the service.
func (m *Machine) controllers(service string) []*cluster.Member {
	d := m.currentDerived()
	out, known := d.controllers[service]
	if !known {
		out = m.computeControllers(service)
		d.controllers[service] = out
	}
	return out
}

func (m *Machine) computeControllers(service string) []*cluster.Member {
	var out []*cluster.Member
	for _, p := range m.memberList() {
		if p.State == cluster.StateActive && p.Backend != nil && p.Backend.Service == service {
			out = append(out, p)
		}
	}
	score := make(map[string]uint64, len(out))
	for _, p := range out {
		score[p.Name] = cluster.RendezvousScore("controller/"+service, p.Name)
	}
	slices.SortFunc(out, func(a, b *cluster.Member) int {
		if score[a.Name] > score[b.Name] {
			return -1
		}
		return 1
	})
	return out
}

// computeWatchRank returns the number of active members of the zone that rank
// before this node.
func (m *Machine) computeWatchRank() int {
	zone := m.params.Self.Zone
	ownScore := cluster.RendezvousScore("watch/"+zone, m.self.Name)
	rank := 0
	for _, p := range m.members {
		if p.Zone == zone && p.State == cluster.StateActive && cluster.RendezvousScore("watch/"+zone, p.Name) > ownScore {
			rank++
		}
	}
	return rank
}

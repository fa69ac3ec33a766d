package sidecar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/wire"
)

const (
	// suspectSyncInterval is the least time between two whole tables sent to a peer.
	suspectSyncInterval = time.Second
	// suspectCopies is the number of members beside the leader that a node sends its
	// changes to.
	suspectCopies = 2
)

// suspectSpreader exchanges with peers what nodes know of requests under which backend
// servers have ended. Changes go to the leader, which sends them to all members, and to
// some others, so that they are not lost if the leader and this node end. The leader also
// compares digests with each status, so that a restarted member learns all.
type suspectSpreader struct {
	node *Node
	// tables holds when each address was last sent the whole table.
	tables deliveries
}

func newSuspectSpreader(n *Node) *suspectSpreader {
	return &suspectSpreader{node: n, tables: deliveries{interval: suspectSyncInterval}}
}

// spread sends changed entries on.
func (s *suspectSpreader) spread(entries []quarantine.Entry) {
	s.node.loop.notifySuspectsChanged()
	v := s.node.view.Load()
	if v == nil {
		return
	}
	for _, mem := range suspectTargets(v.Doc, s.node.self.Name, s.node.gauges.isLeader.Load()) {
		s.send(mem.Addr, entries, false)
	}
}

// suspectTargets returns the members that a node sends its changes to: all others if it
// leads, else the leader and the next ones after it in the order of names.
func suspectTargets(doc *fleet.Document, self string, leads bool) []*fleet.Member {
	var others []*fleet.Member
	for _, name := range slices.Sorted(maps.Keys(doc.Members)) {
		if name != self && !doc.Members[name].Evicted {
			others = append(others, doc.Members[name])
		}
	}
	if leads {
		return others
	}
	var out []*fleet.Member
	if leader := doc.Members[doc.Leader.Name]; leader != nil && leader.Name != self {
		out = append(out, leader)
	}
	next, _ := slices.BinarySearchFunc(others, self, func(m *fleet.Member, name string) int { return cmp.Compare(m.Name, name) })
	copies := 0
	for i := range others {
		m := others[(next+i)%len(others)]
		if copies < suspectCopies && m.Name != doc.Leader.Name {
			out = append(out, m)
			copies++
		}
	}
	return out
}

// syncPeer sends a peer the whole table.
func (s *suspectSpreader) syncPeer(addr string) {
	if s.tables.due(time.Now(), addr) {
		s.send(addr, s.node.suspects.Entries(clock.Now()), true)
	}
}

func (s *suspectSpreader) send(addr string, entries []quarantine.Entry, whole bool) {
	s.node.transport.Send(addr, &wire.Control{
		FromName: s.node.self.Name, FromIncarnation: s.node.self.Incarnation,
		Body: &wire.Control_Suspects{Suspects: quarantine.WireAll(entries, whole)},
	})
}

// handleMessage handles a peer's message if it is about suspects, and reports whether it
// is.
func (s *suspectSpreader) handleMessage(from cluster.MemberRef, m *wire.Control) bool {
	b, ok := m.GetBody().(*wire.Control_Suspects)
	if !ok {
		return false
	}
	entries := quarantine.FromWire(b.Suspects.GetSuspects()...)
	if s.node.suspects.Merge(clock.Now(), entries) {
		s.node.log.Info("requests under which backend servers ended learned from a peer", "from", from, "entries", len(entries))
		s.node.loop.notifySuspectsChanged()
		if s.node.gauges.isLeader.Load() {
			s.spread(entries)
		}
	}
	v := s.node.view.Load()
	if b.Suspects.GetWhole() && v != nil && s.node.suspects.Digest(clock.Now()) != quarantine.DigestOf(entries) {
		if peer := v.Doc.Members[from.Name]; peer != nil {
			s.syncPeer(peer.Addr)
		}
	}
	return true
}

package sidecar

import (
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/wire"
)

// suspectSyncInterval is the least time between two whole tables sent to a peer.
const suspectSyncInterval = time.Second

// suspectSpreader exchanges with peers what nodes know of requests under which backend
// servers have ended. Changes go to the leader, which sends them to all members. The
// leader also compares digests with each status, so that a restarted member learns all.
type suspectSpreader struct {
	node *Node
	// tables holds when each address was last sent the whole table.
	tables deliveries
}

func newSuspectSpreader(n *Node) *suspectSpreader {
	return &suspectSpreader{node: n, tables: deliveries{interval: suspectSyncInterval}}
}

// spread sends changed entries on: the leader to all members, another node to the leader.
func (s *suspectSpreader) spread(entries []quarantine.Entry) {
	v := s.node.view.Load()
	if v == nil {
		return
	}
	if !s.node.gauges.isLeader.Load() {
		if leader := v.Doc.Members[v.Doc.Leader.Name]; leader != nil && leader.Name != s.node.self.Name {
			s.send(leader.Addr, entries, false)
		}
		return
	}
	for name, mem := range v.Doc.Members {
		if name != s.node.self.Name && !mem.Evicted {
			s.send(mem.Addr, entries, false)
		}
	}
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

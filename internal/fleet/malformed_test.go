package fleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// malformedMessages are messages that no correct peer sends. Their fields are set on
// top of those of a status that the receiver accepts.
func malformedMessages() map[string]*wire.Control {
	status := func(s *wire.NodeStatus) *wire.Control {
		return &wire.Control{Body: &wire.Control_NodeStatus{NodeStatus: s}}
	}
	server := &wire.BackendServer{Id: "x", BornMs: 1, Service: "svc", Slots: math.MaxUint32, Ready: true}
	load := func(from, to uint32, rate float64) *wire.NodeStatus {
		return &wire.NodeStatus{Server: server, HasLoads: true, Loads: []*wire.SpanLoad{{From: from, To: to, Rate: rate}}}
	}
	released := func(from, to uint32, epoch uint64) *wire.NodeStatus {
		return &wire.NodeStatus{Server: server, Released: []*wire.ReleasedSpan{{From: from, To: to, Epoch: epoch}}}
	}
	change := func(c *wire.DocumentChange) *wire.Control {
		return &wire.Control{Body: &wire.Control_DocumentChange{DocumentChange: c}}
	}
	return map[string]*wire.Control{
		"no body":                   {},
		"empty status":              status(nil),
		"weight is not a number":    status(&wire.NodeStatus{Weight: math.NaN()}),
		"weight is infinite":        status(&wire.NodeStatus{Weight: math.Inf(1)}),
		"work time is not a number": status(&wire.NodeStatus{Server: server, WorkMs: math.NaN()}),
		"negative work time":        status(&wire.NodeStatus{Server: server, WorkMs: -1}),
		"load without keys":         status(load(70000, 80000, 5)),
		"load of a reversed range":  status(load(50, 40, 5)),
		"load of an empty range":    status(load(41, 40, 5)),
		"load is not a number":      status(load(0, 65535, math.NaN())),
		"negative load":             status(load(0, 65535, -1e9)),
		"released beyond all keys":  status(released(0, math.MaxUint32, 1)),
		"released reversed range":   status(released(50, 40, 1)),
		"empty answer":              {Body: &wire.Control_StatusAnswer{}},
		"empty objects":             {Body: &wire.Control_Objects{}},
		"object without a value":    {Body: &wire.Control_Objects{Objects: &wire.Objects{Objects: []*wire.Object{{Key: DocumentKey, Version: math.MaxUint64}}}}},
		"empty change":              change(nil),
		"member without a name":     change(&wire.DocumentChange{Members: []*wire.MemberEntry{{}}}),
		"member weight":             change(&wire.DocumentChange{Members: []*wire.MemberEntry{{Name: "x", Weight: math.NaN()}}}),
		"rows beyond all keys":      change(&wire.DocumentChange{Tables: []*wire.TableChange{{Service: "svc", Count: 1, Rows: []*wire.RowEntry{{To: math.MaxUint32}}}}}),
		"huge row count":            change(&wire.DocumentChange{Tables: []*wire.TableChange{{Service: "svc", Count: math.MaxUint32}}}),
		"rows of a new service":     change(&wire.DocumentChange{Tables: []*wire.TableChange{{Service: "other", Count: 0}}}),
	}
}

// TestMalformedMessages sends malformed messages to the leader and to a follower, from a
// member and from a node that is none. No process ends, every document can be encoded
// and decoded, and all keys stay held.
func TestMalformedMessages(t *testing.T) {
	for name, m := range malformedMessages() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSim(13, 4)
			s.reliable = true
			s.runUntil(s.now.Add(8 * time.Second))
			leader := s.leader()
			senders := []cluster.MemberRef{{Name: "stranger", Incarnation: 1}}
			for _, n := range s.nodes {
				if n != leader {
					senders = append(senders, cluster.MemberRef{Name: n.name, Incarnation: n.incarnation})
				}
			}
			for range 10 {
				for _, to := range s.nodes {
					for _, from := range senders {
						to.step(Message{From: from, Body: aimed(m, to.machine)})
					}
				}
				s.runUntil(s.now.Add(200 * time.Millisecond))
			}
			s.runUntil(s.now.Add(8 * time.Second))
			for _, n := range s.nodes {
				if _, err := Decode(n.machine.doc.Encode()); err != nil {
					t.Errorf("document of %s: %v", n.name, err)
				}
			}
			if held := s.heldKeys(); held != MaxKey+1 {
				t.Errorf("%d of %d keys are held", held, MaxKey+1)
			}
			reportViolations(t, 13, s)
		})
	}
}

// aimed returns the message with the fields that make the receiver look at the rest.
func aimed(m *wire.Control, to *Machine) *wire.Control {
	out := proto.Clone(m).(*wire.Control)
	if s := out.GetNodeStatus(); s != nil {
		s.Seq, s.Term, s.DocumentVersion, s.PeerAddr, s.Verified = 1<<60, to.doc.Term, to.version, "n00", true
	}
	if c := out.GetDocumentChange(); c != nil {
		c.FromVersion, c.ToVersion, c.Term = to.version, to.version+1, to.doc.Term
		c.Leader, c.LeaderIncarnation, c.LastEpoch = to.doc.Leader.Name, to.doc.Leader.Incarnation, to.doc.LastEpoch
	}
	return out
}

// FuzzMessage feeds arbitrary control messages to a leader and a follower.
func FuzzMessage(f *testing.F) {
	for _, m := range malformedMessages() {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		m := &wire.Control{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		s := newSim(13, 2)
		s.reliable = true
		s.runUntil(s.now.Add(3 * time.Second))
		for _, n := range s.nodes {
			n.step(Message{From: cluster.MemberRef{Name: s.nodes[0].name, Incarnation: 1}, Body: aimed(m, n.machine)})
		}
		s.runUntil(s.now.Add(time.Second))
	})
}

// TestRowWithMissingFields guards against rows that the first member is taken to own because their owner is missing.
func TestRowWithMissingFields(t *testing.T) {
	const text = `{"term":1,"leader":{"name":"a","incarnation":1},"members":[{"name":"a","incarnation":1}],"tables":{"svc":[%s]},"last_epoch":1,"change_id":"x"}`
	if _, err := Decode(fmt.Appendf(nil, text, `[0,65535,1,0,-1]`)); err != nil {
		t.Fatal(err)
	}
	for _, row := range []string{`[0,65535,1]`, `[0,65535,1,0]`, `[0,65535,1,0,-1,"t",5]`, `null`, `[]`, `[0,65535,1,1,-1]`, `[0,65536,1,0,-1]`, `[0,65535,-1,0,-1]`, `[0,65535,1e30,0,-1]`} {
		if d, err := Decode(fmt.Appendf(nil, text, row)); err == nil {
			t.Errorf("%s: decoded %v", row, d.Tables)
		}
	}
}

package fleet

import (
	"fmt"
	"testing"
	"time"
)

// TestGrantFitsIntoAnswer guards against a server that holds no key, because the answers to its reports are too large to be
// taken for acknowledgements: few servers are left, and rows that were handed over carry tokens.
func TestGrantFitsIntoAnswer(t *testing.T) {
	const maxBytes = 4000
	size := func(r Row) int { return len(fmt.Sprintf(`[%d,%d,%d,%q],`, r.From, r.To, r.Epoch, r.Token)) }
	s := newSim(3, 3)
	s.reliable = true
	s.runUntil(s.now.Add(12 * time.Second))
	for _, n := range s.nodes {
		n.machine.params.Rows = RowLimit{Size: size, MaxBytes: maxBytes}
	}
	stays := s.leader()
	for _, n := range s.nodes {
		if n != stays {
			n.server.ready = false
			s.runUntil(s.now.Add(6 * time.Second))
		}
	}
	s.runUntil(s.now.Add(10 * time.Second))
	report := Report{Instance: stays.server.instance, Service: "svc", Slots: 8, Ready: true, Seq: stays.server.seq + 100, Holds: stays.server.holds}
	granted := stays.machine.Report(s.now, report)
	total := 0
	for _, r := range granted.Rows {
		total += size(r)
	}
	held := stays.machine.ready.Held
	if total == 0 || total > maxBytes {
		t.Errorf("the answer lists %d rows in %d bytes", len(granted.Rows), total)
	}
	if len(held.Rows)+len(held.LeftOut) != len(stays.machine.doc.Tables["svc"]) {
		t.Errorf("%d rows are granted and %d left out of %d", len(held.Rows), len(held.LeftOut), len(stays.machine.doc.Tables["svc"]))
	}
	if n := s.heldKeys(); n < (MaxKey+1)/2 {
		t.Errorf("%d of %d keys are held", n, MaxKey+1)
	}
	for _, r := range held.LeftOut {
		if !held.IsLeftOut(r.From) || !held.IsLeftOut(r.To) {
			t.Errorf("keys %d and %d do not count as left out", r.From, r.To)
		}
	}
	if len(held.Rows) > 0 && held.IsLeftOut(held.Rows[0].From) {
		t.Error("a granted key counts as left out")
	}
	reportViolations(t, 3, s)
}

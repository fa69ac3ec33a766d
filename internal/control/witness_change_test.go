package control

import (
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
)

// countLeaseLosses runs the fleet for d. It returns how often a joined node
// lost its lease and how often one was evicted, not counting the stopped node.
func (f *fleet) countLeaseLosses(d time.Duration, stopped *simNode) (int, int) {
	losses, evictions := 0, 0
	heldLease := map[string]bool{}
	incarnation := map[string]uint64{}
	for end := f.now + d; f.now < end && f.failure == ""; {
		f.advance(simStep)
		for _, s := range f.nodes {
			if s == stopped || s.view == nil || s.m.phase != phaseJoined {
				continue
			}
			holdsLease := s.lease > f.local(s)
			if heldLease[s.name] && !holdsLease {
				losses++
			}
			heldLease[s.name] = holdsLease
			if old := incarnation[s.name]; old != 0 && s.m.self.Incarnation > old {
				evictions++
			}
			incarnation[s.name] = s.m.self.Incarnation
		}
	}
	return losses, evictions
}

// In a small fleet a planned stop and the following start make nodes change
// most of their witnesses. No live node may lose its lease because of that.
func TestWitnessChangesLoseNoLease(t *testing.T) {
	for _, n := range []int{4, 5, 6, 7} {
		f := settledFleet(t, n, true)
		for round := range 3 {
			s := f.nodes[round]
			s.m.Step(f.local(s), DrainRequested{})
			losses, evictions := f.countLeaseLosses(6*time.Second, s)
			if !s.done {
				t.Fatalf("%d nodes: the planned stop did not end", n)
			}
			f.start(s)
			lossesAfterStart, evictionsAfterStart := f.countLeaseLosses(6*time.Second, s)
			if losses+lossesAfterStart > 0 || evictions+evictionsAfterStart > 0 {
				t.Fatalf("%d nodes, round %d: %d leases expired, %d live nodes evicted", n, round, losses+lossesAfterStart, evictions+evictionsAfterStart)
			}
		}
		if f.failure != "" {
			t.Fatal(f.failure)
		}
	}
}

// A witness that is named again must not evict the holder because of an
// earlier, expired promise.
func TestWitnessNamedAgainIgnoresOldPromise(t *testing.T) {
	f := settledFleet(t, 7, true)
	holder := cluster.MemberRef{Name: "other", Incarnation: 1}
	w := f.nodes[0].m.witness
	now := f.local(f.nodes[0])
	w.Watch(now, holder)
	later := now.Add(time.Minute)
	w.Watch(later, holder)
	if got := w.ExpiredPromises(later); len(got) > 0 && got[0].Holder == holder {
		t.Fatal("the earlier promise counts as expired")
	}
}

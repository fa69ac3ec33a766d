package fault

import (
	"testing"
	"time"

	"fulmarhinge/test/fault/harness"
)

func TestCutOff(t *testing.T) {
	cases := []struct {
		name string
		cut  func(f *harness.Fleet, n *harness.Node) error
		// evicted is true if the node can't keep its lease.
		evicted bool
	}{
		{"what the node sends", func(f *harness.Fleet, n *harness.Node) error {
			return f.Cut(n.IP, harness.Everyone, false)
		}, true},
		{"what the node receives", func(f *harness.Fleet, n *harness.Node) error {
			return f.Cut(harness.Everyone, n.IP, false)
		}, true},
		{"both directions, and the platform", func(f *harness.Fleet, n *harness.Node) error {
			if err := f.CutFromPlatform(n); err != nil {
				return err
			}
			return f.Cut(n.IP, harness.Everyone, true)
		}, true},
		{"one other node", func(f *harness.Fleet, n *harness.Node) error {
			return f.Cut(n.IP, f.Nodes[0].IP, true)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, nil)
			s.run(time.Second)
			victim := s.fleet.Nodes[4]
			if c.evicted {
				s.fleet.Avoid(victim)
			}
			fault := time.Now()
			s.must(c.cut(s.fleet, victim))
			s.run(4 * time.Second)
			s.must(s.fleet.HealAll())
			s.run(time.Second)
			s.fleet.Allow(victim)
			back := time.Now()
			s.run(time.Second)
			v := s.finish()
			s.gaps(v, "keys of the cut node", s.ownedBy(v, fault, victim), fault, servedAgain+interval)
			s.answersThrough(v, victim, back)
		})
	}
}

package fault

import (
	"testing"
	"time"

	"fulmarhinge/test/fault/harness"
)

func TestNodeCutOff(t *testing.T) {
	cases := []struct {
		name string
		cut  func(f *harness.Fleet, n *harness.Node) error
		// evicted is true if the node can't renew its lease during the cut.
		evicted bool
	}{
		{"outgoing traffic of the node", func(f *harness.Fleet, n *harness.Node) error {
			return f.Cut(n.IP, harness.AnyIP, false)
		}, true},
		{"incoming traffic of the node", func(f *harness.Fleet, n *harness.Node) error {
			return f.Cut(harness.AnyIP, n.IP, false)
		}, true},
		{"both directions and the platform", func(f *harness.Fleet, n *harness.Node) error {
			if err := f.CutFromPlatform(n); err != nil {
				return err
			}
			return f.Cut(n.IP, harness.AnyIP, true)
		}, true},
		{"link to one other node", func(f *harness.Fleet, n *harness.Node) error {
			return f.Cut(n.IP, f.Nodes[0].IP, true)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startUnderLoad(t, nil)
			s.runFor(time.Second)
			node := s.fleet.Nodes[4]
			if c.evicted {
				s.fleet.Avoid(node)
			}
			fault := time.Now()
			s.must(c.cut(s.fleet, node))
			s.runFor(4 * time.Second)
			s.must(s.fleet.HealAll())
			s.runFor(time.Second)
			s.fleet.Allow(node)
			allowed := time.Now()
			s.runFor(time.Second)
			result := s.finish()
			s.checkGaps(result, "keys of the cut node", s.ownedBy(result, fault, node), fault, takeoverBound+requestInterval)
			s.checkServesCallers(result, node, allowed)
		})
	}
}

package fault

import (
	"testing"
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

func TestSteadyLoad(t *testing.T) {
	s := startUnderLoad(t, nil)
	s.runFor(3 * time.Second)
	result := s.finish()
	s.checkGaps(result, "no fault", nil, s.loadStarted, time.Second)
}

func TestOwnerKilled(t *testing.T) {
	cases := []struct {
		name string
		kill func(*harness.Fleet, *harness.Node)
		// prepare is called right before the kill.
		prepare func(*harness.Fleet) error
	}{
		{"VM", (*harness.Fleet).KillVM, nil},
		{"node only", (*harness.Fleet).KillNode, nil},
		{"VM, while the platform loses answers", (*harness.Fleet).KillVM, func(f *harness.Fleet) error {
			return f.SwitchPlatform(platform.Switches{LoseResponses: 4})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startUnderLoad(t, nil)
			s.runFor(time.Second)
			owner := s.fleet.Nodes[1]
			if c.prepare != nil {
				s.must(c.prepare(s.fleet))
			}
			s.fleet.Avoid(owner)
			fault := time.Now()
			c.kill(s.fleet, owner)
			s.runFor(5 * time.Second)
			result := s.finish()
			s.checkGaps(result, "keys of the killed owner", s.ownedBy(result, fault, owner), fault, takeoverBound+requestInterval)
		})
	}
}

func TestOwnerRestarted(t *testing.T) {
	s := startUnderLoad(t, nil)
	s.runFor(time.Second)
	owner := s.fleet.Nodes[2]
	s.fleet.Avoid(owner)
	fault := time.Now()
	s.fleet.KillVM(owner)
	s.must(s.fleet.StartNode(owner))
	s.must(s.fleet.StartBackend(owner))
	s.runFor(5 * time.Second)
	s.fleet.Allow(owner)
	allowed := time.Now()
	s.runFor(2 * time.Second)
	result := s.finish()
	s.checkGaps(result, "keys of the restarted owner", s.ownedBy(result, fault, owner), fault, takeoverBound+requestInterval)
	s.checkServesCallers(result, owner, allowed)
}

func TestZoneLost(t *testing.T) {
	s := startUnderLoad(t, nil)
	s.runFor(time.Second)
	zone := s.fleet.Zone("zone-b")
	s.fleet.Avoid(zone...)
	fault := time.Now()
	for _, n := range zone {
		s.fleet.KillVM(n)
	}
	s.runFor(6 * time.Second)
	result := s.finish()
	s.checkGaps(result, "keys of the lost zone", s.ownedBy(result, fault, zone...), fault, takeoverBound+requestInterval)
}

func TestOwnerPaused(t *testing.T) {
	cases := []struct {
		name        string
		withBackend bool
		checksFence bool
		bound       time.Duration
	}{
		{"node, fences checked", false, true, takeoverBound + requestInterval},
		{"VM, fences checked", true, true, takeoverBound + requestInterval},
		// Without fences a new owner also waits until the latest deadline of the
		// old owner's requests has passed.
		{"node, no fences", false, false, takeoverBound + maxRequestTime + requestInterval},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startUnderLoad(t, func(o *harness.Options) { o.Service.ChecksFence = c.checksFence })
			s.runFor(time.Second)
			owner := s.fleet.Nodes[3]
			s.fleet.Avoid(owner)
			fault := time.Now()
			s.must(owner.Node.Pause())
			if c.withBackend {
				s.must(owner.Backend.Pause())
			}
			s.runFor(5 * time.Second)
			s.must(owner.Node.Resume())
			if c.withBackend {
				s.must(owner.Backend.Resume())
			}
			s.runFor(time.Second)
			s.fleet.Allow(owner)
			allowed := time.Now()
			s.runFor(time.Second)
			result := s.finish()
			s.checkGaps(result, "keys of the paused owner", s.ownedBy(result, fault, owner), fault, c.bound)
			s.checkServesCallers(result, owner, allowed)
		})
	}
}

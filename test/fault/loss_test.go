package fault

import (
	"testing"
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

func TestSteadyLoad(t *testing.T) {
	s := start(t, nil)
	s.run(3 * time.Second)
	v := s.finish()
	s.gaps(v, "no fault", nil, s.begun, time.Second)
}

func TestOwnerKilled(t *testing.T) {
	cases := []struct {
		name string
		kill func(*harness.Fleet, *harness.Node)
		// prepare is done right before the kill.
		prepare func(*harness.Fleet) error
	}{
		{"VM", (*harness.Fleet).KillVM, nil},
		{"node only", (*harness.Fleet).KillNode, nil},
		{"VM while the platform loses answers", (*harness.Fleet).KillVM, func(f *harness.Fleet) error {
			return f.SwitchPlatform(platform.Switches{LoseAnswers: 4})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, nil)
			s.run(time.Second)
			victim := s.fleet.Nodes[1]
			if c.prepare != nil {
				s.must(c.prepare(s.fleet))
			}
			s.fleet.Avoid(victim)
			fault := time.Now()
			c.kill(s.fleet, victim)
			s.run(5 * time.Second)
			v := s.finish()
			s.gaps(v, "keys of the killed owner", s.ownedBy(v, fault, victim), fault, servedAgain+interval)
		})
	}
}

func TestOwnerRestarted(t *testing.T) {
	s := start(t, nil)
	s.run(time.Second)
	victim := s.fleet.Nodes[2]
	s.fleet.Avoid(victim)
	fault := time.Now()
	s.fleet.KillVM(victim)
	s.must(s.fleet.StartNode(victim))
	s.must(s.fleet.StartBackend(victim))
	s.run(5 * time.Second)
	s.fleet.Allow(victim)
	back := time.Now()
	s.run(2 * time.Second)
	v := s.finish()
	s.gaps(v, "keys of the restarted owner", s.ownedBy(v, fault, victim), fault, servedAgain+interval)
	s.answersThrough(v, victim, back)
}

func TestZoneLost(t *testing.T) {
	s := start(t, nil)
	s.run(time.Second)
	zone := s.fleet.Zone("zone-b")
	s.fleet.Avoid(zone...)
	fault := time.Now()
	for _, n := range zone {
		s.fleet.KillVM(n)
	}
	s.run(6 * time.Second)
	v := s.finish()
	s.gaps(v, "keys of the lost zone", s.ownedBy(v, fault, zone...), fault, servedAgain+interval)
}

func TestPaused(t *testing.T) {
	cases := []struct {
		name        string
		withBackend bool
		checksFence bool
		bound       time.Duration
	}{
		{"node, fences are checked", false, true, servedAgain + interval},
		{"VM, fences are checked", true, true, servedAgain + interval},
		// A new owner also waits out the longest deadline of the old one.
		{"node, no fences", false, false, servedAgain + maxTime + interval},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, func(o *harness.Options) { o.Service.ChecksFence = c.checksFence })
			s.run(time.Second)
			victim := s.fleet.Nodes[3]
			s.fleet.Avoid(victim)
			fault := time.Now()
			s.must(victim.Node.Pause())
			if c.withBackend {
				s.must(victim.Backend.Pause())
			}
			s.run(5 * time.Second)
			s.must(victim.Node.Resume())
			if c.withBackend {
				s.must(victim.Backend.Resume())
			}
			s.run(time.Second)
			s.fleet.Allow(victim)
			back := time.Now()
			s.run(time.Second)
			v := s.finish()
			s.gaps(v, "keys of the paused owner", s.ownedBy(v, fault, victim), fault, c.bound)
			s.answersThrough(v, victim, back)
		})
	}
}

package limitsim

import (
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/contract"
)

// Parameters common to all scenarios.
const (
	nodes    = 20
	duration = 60 * time.Second
	faultAt  = 30 * time.Second
)

// terms is the contract in all scenarios.
var terms = contract.Terms{Rate: 1000, Burst: 100, MaxWaiting: 200}

// evenLoad returns a load of factor times the contract, spread evenly over all
// nodes.
func evenLoad(factor float64) func(*Scenario, time.Duration, int) float64 {
	return func(s *Scenario, _ time.Duration, _ int) float64 {
		return s.Terms.Rate * factor / float64(s.Nodes)
	}
}

// singleNodeLoad returns a load of factor times the contract at a single node, which
// changes every period.
func singleNodeLoad(factor float64, period time.Duration) func(*Scenario, time.Duration, int) float64 {
	return func(s *Scenario, t time.Duration, node int) float64 {
		if node != int(t/period)%s.Nodes {
			return 0
		}
		return s.Terms.Rate * factor
	}
}

// Scenarios returns all scenarios in the order in which they are reported.
func Scenarios() []Scenario {
	base := func(name string, offered func(*Scenario, time.Duration, int) float64, faults ...Fault) Scenario {
		return Scenario{Name: name, Nodes: nodes, Terms: terms, Duration: duration,
			MeasureFrom: 5 * time.Second, Offered: offered, Faults: faults}
	}
	lose := Fault{faultAt, func(p Policy, _ clock.Mono, s *Scenario) {
		if c := p.Coordinator(); c >= 0 {
			s.lost[c] = true
			p.Kill(c)
		}
	}}
	restart := Fault{faultAt, func(p Policy, now clock.Mono, _ *Scenario) {
		if c := p.Coordinator(); c >= 0 {
			p.Restart(now, c)
		}
	}}
	return []Scenario{
		base("even, 0.8 of the contract", evenLoad(0.8)),
		base("even, 1.2 of the contract", evenLoad(1.2)),
		base("even, 50 times the contract", evenLoad(50)),
		base("all at one node, 1.2", singleNodeLoad(1.2, duration)),
		withMovingLoad(base("all at one node, which changes each 15 s, 1.2", singleNodeLoad(1.2, 15*time.Second))),
		base("counter or holder lost at 30 s, even 1.2", evenLoad(1.2), lose),
		base("counter or holder restarted at 30 s, even 1.2", evenLoad(1.2), restart),
		base("another node cut off from 30 s to 45 s, even 1.2", evenLoad(1.2), cutAndHeal(false)...),
		base("counter or holder cut off from 30 s to 45 s, even 1.2", evenLoad(1.2), cutAndHeal(true)...),
	}
}

// withMovingLoad marks a scenario whose load moves between nodes.
func withMovingLoad(s Scenario) Scenario {
	s.moving = true
	return s
}

// cutAndHeal returns two faults: the partition of a node and its end 15 s later.
// The node is the coordinator, or another node if cutCoordinator is false.
func cutAndHeal(cutCoordinator bool) []Fault {
	target := -1
	return []Fault{
		{faultAt, func(p Policy, _ clock.Mono, _ *Scenario) {
			target = max(0, p.Coordinator())
			if !cutCoordinator {
				target = (target + 1) % nodes
			}
			p.Cut(target, true)
		}},
		{faultAt + 15*time.Second, func(p Policy, _ clock.Mono, _ *Scenario) { p.Cut(target, false) }},
	}
}

// Policies are the policies that are compared.
var Policies = []struct {
	Name string
	New  func(now clock.Mono, nodes int, t contract.Terms) Policy
}{
	{"one counting node", func(now clock.Mono, n int, t contract.Terms) Policy { return NewCounting(now, n, t) }},
	{"even split", func(now clock.Mono, n int, t contract.Terms) Policy { return NewSplit(now, n, t) }},
	{"leased shares", func(now clock.Mono, n int, t contract.Terms) Policy { return NewLeased(now, n, t) }},
}

// StartTime is the simulated time at which every run begins.
const StartTime = clock.Mono(time.Hour)

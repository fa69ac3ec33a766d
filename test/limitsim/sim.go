// Package limitsim drives ways to hold a customer to its contract over a fleet
// with simulated time, seeded arrivals and faults, and measures them. It calls
// the limit package's decisions directly; no network or clock is involved.
package limitsim

import (
	"math"
	"math/rand/v2"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/contract"
)

// step is the resolution of simulated time.
const step = 2 * time.Millisecond

// Latency is the time that a message takes one way.
const Latency = time.Millisecond

// customer is the name of the only customer.
const customer = "shop"

// Policy is a way to limit. Nodes are numbered from 0.
type Policy interface {
	// Arrive offers a request to a node.
	Arrive(now clock.Mono, node int)
	// Advance brings the policy to a time and returns how many requests were
	// let go on since the last call.
	Advance(now clock.Mono) int
	// Messages is how many messages were sent so far.
	Messages() int
	// RoundTrips is how many requests waited for an answer of another node.
	RoundTrips() int
	// Cut separates a node from all others, or ends that.
	Cut(node int, cut bool)
	// Lose ends a node for good; the others notice after a delay.
	Lose(node int)
	// Restart replaces the process of a node with a new one at once.
	Restart(now clock.Mono, node int)
	// Counter returns the node that counts or holds; -1 if there is none.
	Counter() int
}

// Scenario is a load with faults.
type Scenario struct {
	Name     string
	Nodes    int
	Terms    contract.Terms
	Duration time.Duration
	// Measured is from when on the usable part is counted.
	Measured time.Duration
	// Offered is the load at a node, in requests a second.
	Offered func(s *Scenario, t time.Duration, node int) float64
	// Faults are called once, in order, at their times.
	Faults []Fault
	// moving is true if the load moves between nodes, so that the usable part
	// includes the time that shares take to follow it.
	moving bool
	// lost nodes get no arrivals.
	lost map[int]bool
}

// Fault is something that happens at a time.
type Fault struct {
	At time.Duration
	Do func(p Policy, now clock.Mono, s *Scenario)
}

// Result is what one run measured.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Offered  int    `json:"offered"`
	Admitted int    `json:"admitted"`
	// Overshoot is by how much the admitted requests of the worst 10 s exceed
	// the contract, as a part of it; negative if they stay below.
	Overshoot float64 `json:"overshoot"`
	// Usable is the part of what could be admitted from Measured on that was.
	Usable float64 `json:"usable"`
	// LongestGap is the longest time without any admitted request.
	LongestGap time.Duration `json:"longest_gap_ns"`
	// MessagesPerSecond counts the messages of all nodes.
	MessagesPerSecond float64 `json:"messages_per_second"`
	// RoundTripShare is the part of requests that waited for another node.
	RoundTripShare float64 `json:"round_trip_share"`
}

// Run runs a scenario under a policy.
func Run(s Scenario, name string, p Policy, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 1))
	s.lost = make(map[int]bool)
	r := Result{Scenario: s.Name, Policy: name, Seed: seed}
	steps := int(s.Duration / step)
	admitted := make([]int, steps)
	offered := make([]int, steps)
	faults := s.Faults
	for i := range steps {
		t := time.Duration(i) * step
		now := clock.Mono(0).Add(t + time.Hour)
		for len(faults) > 0 && faults[0].At <= t {
			faults[0].Do(p, now, &s)
			faults = faults[1:]
		}
		for node := range s.Nodes {
			if s.lost[node] {
				continue
			}
			n := poisson(rng, s.Offered(&s, t, node)*step.Seconds())
			offered[i] += n
			for range n {
				p.Arrive(now, node)
			}
		}
		admitted[i] = p.Advance(now)
	}
	r.measure(s, p, offered, admitted)
	return r
}

// measure fills the result from counts per step.
func (r *Result) measure(s Scenario, p Policy, offered, admitted []int) {
	r.Offered = sum(offered)
	r.Admitted = sum(admitted)
	r.Overshoot = overshoot(s.Terms, admitted)
	r.LongestGap = longestGap(admitted)
	from := int(s.Measured / step)
	could := min(float64(sum(offered[from:])), s.Terms.Rate*(s.Duration-s.Measured).Seconds())
	r.Usable = float64(sum(admitted[from:])) / could
	r.MessagesPerSecond = float64(p.Messages()) / s.Duration.Seconds()
	r.RoundTripShare = float64(p.RoundTrips()) / float64(max(1, r.Offered))
}

// overshoot looks at every window of 10 s.
func overshoot(terms contract.Terms, admitted []int) float64 {
	const window = 10 * time.Second
	length := int(window / step)
	allowed := terms.Rate*window.Seconds() + float64(terms.Burst)
	worst, inWindow := 0, 0
	for i, n := range admitted {
		inWindow += n
		if i >= length {
			inWindow -= admitted[i-length]
		}
		worst = max(worst, inWindow)
	}
	return float64(worst)/allowed - 1
}

func longestGap(admitted []int) time.Duration {
	longest, present := 0, 0
	for _, n := range admitted {
		present++
		if n > 0 {
			present = 0
		}
		longest = max(longest, present)
	}
	return time.Duration(longest) * step
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// poisson draws a number of arrivals.
func poisson(rng *rand.Rand, mean float64) int {
	const large = 30
	if mean > large {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	limit, n := math.Exp(-mean), 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

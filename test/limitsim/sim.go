// Package limitsim simulates and measures policies that enforce a customer's
// contract across a fleet. Time is simulated, and arrivals and faults are
// deterministic for a seed. It calls package limit directly, without a network or
// a real clock.
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

// MessageDelay is the one-way delay of a message.
const MessageDelay = time.Millisecond

// customer is the name of the only customer.
const customer = "shop"

// Policy is a policy that enforces the contract. Nodes are numbered from 0.
type Policy interface {
	// Arrive adds a request that arrives at a node.
	Arrive(now clock.Mono, node int)
	// Advance advances the policy to a time and returns the number of requests
	// admitted since the last call.
	Advance(now clock.Mono) int
	// Messages returns the number of messages sent so far.
	Messages() int
	// RoundTrips returns the number of requests that waited for another node.
	RoundTrips() int
	// Cut partitions a node from all others, or ends the partition.
	Cut(node int, cut bool)
	// Kill stops a node permanently. The others detect it after a delay.
	Kill(node int)
	// Restart replaces the process of a node with a new one without downtime.
	Restart(now clock.Mono, node int)
	// Coordinator returns the node that counts requests or holds the shares; -1 if
	// there is none.
	Coordinator() int
}

// Scenario is a load with faults.
type Scenario struct {
	Name     string
	Nodes    int
	Terms    contract.Terms
	Duration time.Duration
	// MeasureFrom is the time from which Result.Usable is measured.
	MeasureFrom time.Duration
	// Offered returns the load at a node in requests per second.
	Offered func(s *Scenario, t time.Duration, node int) float64
	// Faults are applied once each, in order, at their times.
	Faults []Fault
	// moving is true if the load moves between nodes, so that Result.Usable
	// includes the time until the shares have followed it.
	moving bool
	// lost are the nodes that no longer receive requests.
	lost map[int]bool
}

// Fault is a fault that is injected at a time.
type Fault struct {
	At    time.Duration
	Apply func(p Policy, now clock.Mono, s *Scenario)
}

// Result is the measurement of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	Offered  int    `json:"offered"`
	Admitted int    `json:"admitted"`
	// Overshoot is the excess of the requests admitted in the worst 10 s over the
	// contract, as a fraction of the contract. It is negative if they stay below.
	Overshoot float64 `json:"overshoot"`
	// Usable is the number of admitted requests divided by the number that could
	// have been admitted (the lesser of the offered load and the contract), from
	// Scenario.MeasureFrom on.
	Usable float64 `json:"usable"`
	// LongestGap is the longest time without an admitted request.
	LongestGap time.Duration `json:"longest_gap_ns"`
	// MessagesPerSecond is the message rate of all nodes together.
	MessagesPerSecond float64 `json:"messages_per_second"`
	// RoundTripShare is the fraction of requests that waited for another node.
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
			faults[0].Apply(p, now, &s)
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

// measure computes the result from the numbers of requests per step.
func (r *Result) measure(s Scenario, p Policy, offered, admitted []int) {
	r.Offered = sum(offered)
	r.Admitted = sum(admitted)
	r.Overshoot = overshoot(s.Terms, admitted)
	r.LongestGap = longestGap(admitted)
	from := int(s.MeasureFrom / step)
	admissible := min(float64(sum(offered[from:])), s.Terms.Rate*(s.Duration-s.MeasureFrom).Seconds())
	r.Usable = float64(sum(admitted[from:])) / admissible
	r.MessagesPerSecond = float64(p.Messages()) / s.Duration.Seconds()
	r.RoundTripShare = float64(p.RoundTrips()) / float64(max(1, r.Offered))
}

// overshoot returns Result.Overshoot, over all windows of 10 s.
func overshoot(terms contract.Terms, admitted []int) float64 {
	const window = 10 * time.Second
	windowSteps := int(window / step)
	allowed := terms.Rate*window.Seconds() + float64(terms.Burst)
	worst, inWindow := 0, 0
	for i, n := range admitted {
		inWindow += n
		if i >= windowSteps {
			inWindow -= admitted[i-windowSteps]
		}
		worst = max(worst, inWindow)
	}
	return float64(worst)/allowed - 1
}

func longestGap(admitted []int) time.Duration {
	longest, current := 0, 0
	for _, n := range admitted {
		current++
		if n > 0 {
			current = 0
		}
		longest = max(longest, current)
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

// poisson returns a Poisson-distributed random number. For a large mean it uses the
// normal approximation.
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

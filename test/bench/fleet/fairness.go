package main

import (
	"fmt"
	"slices"
	"time"

	"fulmarhinge/internal/contract"
	"fulmarhinge/test/fault/harness"
)

// Parameters of the fairness measurement.
const (
	floodCustomer = "flood"
	// floodContractRate is the contract of the flooding customer in requests per
	// second, and floodFactor the multiple of it that the customer sends.
	floodContractRate  = 40
	floodContractBurst = 20
	floodFactor        = 50

	fairnessRounds   = 7
	fairnessDuration = 5 * time.Second
	// overshootDuration is how long the flood lasts for the overshoot measurement.
	overshootDuration = 20 * time.Second
	overshootWindow   = 10 * time.Second
)

// fairnessResult compares the latency of a compliant customer while another
// customer exceeds its contract with its latency while the same load goes to a
// server outside the fleet. Both include the cost of generating the load on the
// same machine.
type fairnessResult struct {
	// Alone and DuringFlood are quantiles over the requests of all rounds.
	Alone       harness.Summary `json:"alone"`
	DuringFlood harness.Summary `json:"beside_the_flood"`
	// P50Ratios and P99Ratios have one ratio per pair of rounds.
	P50Ratios []float64 `json:"p50_ratios"`
	P99Ratios []float64 `json:"p99_ratios"`
	// Refused counts the requests of the compliant customer that were not answered.
	Refused int `json:"refused"`
	// FloodOffered and FloodAnswered count the requests of the flooding customer.
	FloodOffered  int `json:"flood_offered"`
	FloodAnswered int `json:"flood_answered"`
	// FloodOvershoot is the excess of its worst 10 s over its contract, as a
	// fraction of the contract.
	FloodOvershoot float64 `json:"flood_overshoot"`
}

// measureFairness alternates rounds with the flood outside and inside the fleet.
func measureFairness(binaries *harness.Binaries, _ options) (any, error) {
	o := fleetOptions(binaries, "")
	o.Work = 2 * time.Millisecond
	o.Contracts = append(o.Contracts, contract.Contract{Customer: floodCustomer, Total: contract.Terms{
		Rate: floodContractRate, Burst: floodContractBurst, MaxWaiting: floodContractBurst, MaxTime: contract.Duration(2 * time.Second),
	}})
	keys := harness.ShardKeys(o.Service.Shards, 1)
	var r fairnessResult
	err := withFleet(o, func(fleet *harness.Fleet) error {
		const startTimeout = 30 * time.Second
		if err := fleet.WaitServed(keys, customer, startTimeout); err != nil {
			return err
		}
		sheddingAddr, err := fleet.StartSheddingBackend()
		if err != nil {
			return err
		}
		var alone, duringFlood []time.Duration
		for round := range uint64(fairnessRounds) {
			flood := startFlood([]string{sheddingAddr}, keys, round)
			aloneRound := runCompliantRound(fleet, keys, round, &r)
			flood.Stop()
			flood = startFlood(fleet.Entries(), keys, round)
			floodRound := runCompliantRound(fleet, keys, round+fairnessRounds, &r)
			flood.Stop()
			aloneSummary, floodSummary := harness.Summarize(aloneRound), harness.Summarize(floodRound)
			r.P50Ratios = append(r.P50Ratios, float64(floodSummary.Median)/float64(aloneSummary.Median))
			r.P99Ratios = append(r.P99Ratios, float64(floodSummary.P99)/float64(aloneSummary.P99))
			alone = append(alone, aloneRound...)
			duringFlood = append(duringFlood, floodRound...)
		}
		r.Alone = harness.Summarize(alone)
		r.DuringFlood = harness.Summarize(duringFlood)
		flood := startFlood(fleet.Entries(), keys, 2*fairnessRounds)
		time.Sleep(overshootDuration)
		r.addFlood(flood.Stop())
		return nil
	})
	fmt.Printf("\ncompliant customer: p50 %v, p99 %v alone; p50 %v, p99 %v during a flood at %d times its contract\n",
		r.Alone.Median, r.Alone.P99, r.DuringFlood.Median, r.DuringFlood.P99, floodFactor)
	fmt.Printf("ratios of each pair of rounds: p50 %.2f, p99 %.2f\n", r.P50Ratios, r.P99Ratios)
	fmt.Printf("refused %d; flood answered %d of %d, overshoot over 10 s %+.1f%%\n",
		r.Refused, r.FloodAnswered, r.FloodOffered, 100*r.FloodOvershoot)
	return r, err
}

// runCompliantRound returns the latencies of a customer within its contract.
func runCompliantRound(fleet *harness.Fleet, keys []string, seed uint64, r *fairnessResult) []time.Duration {
	const compliantInterval = 100 * time.Millisecond
	load := harness.StartLoad(harness.LoadOptions{
		Seed: seed, Keys: keys, Interval: compliantInterval, Customer: customer, PathPrefix: harness.PathPrefix,
		Timeout: maxUnavailable, MaxAttempts: 1, Entries: fleet.Entries,
	})
	time.Sleep(fairnessDuration)
	var latencies []time.Duration
	for _, a := range load.Stop() {
		if a.Class != harness.Answered {
			r.Refused++
			continue
		}
		latencies = append(latencies, a.Latency())
	}
	return latencies
}

// startFlood sends floodFactor times the flooding customer's contract.
func startFlood(entries, keys []string, seed uint64) *harness.Load {
	interval := time.Duration(float64(time.Second) * float64(len(keys)) / (floodContractRate * floodFactor))
	return harness.StartLoad(harness.LoadOptions{
		Seed: seed, Keys: keys, Interval: interval, Customer: floodCustomer, PathPrefix: harness.PathPrefix,
		Timeout: maxUnavailable, MaxAttempts: 1, Entries: func() []string { return entries },
	})
}

// addFlood adds the flood's attempts to the result. The overshoot is the maximum
// over all windows of 10 s that end with an answered request. Requests count when
// they end, so those queued before the window count too.
func (r *fairnessResult) addFlood(attempts []harness.Attempt) {
	r.FloodOffered = len(attempts)
	var ends []time.Time
	for _, a := range attempts {
		if a.Class == harness.Answered {
			ends = append(ends, a.Ended)
		}
	}
	r.FloodAnswered = len(ends)
	slices.SortFunc(ends, time.Time.Compare)
	allowed := floodContractRate*overshootWindow.Seconds() + floodContractBurst
	worst, first := 0, 0
	for i, end := range ends {
		for end.Sub(ends[first]) > overshootWindow {
			first++
		}
		worst = max(worst, i-first+1)
	}
	r.FloodOvershoot = float64(worst)/allowed - 1
}

package main

import (
	"fmt"
	"slices"
	"time"

	"fulmarhinge/internal/contract"
	"fulmarhinge/test/fault/harness"
)

// Sizes of the measurement of fairness.
const (
	loudCustomer = "flood"
	// loudRate is the contract of the loud customer in requests a second, and
	// loudFactor by how much it exceeds it.
	loudRate   = 40
	loudBurst  = 20
	loudFactor = 50

	fairnessRounds   = 7
	fairnessDuration = 5 * time.Second
	// overshootRun is how long the loud customer goes on for the overshoot.
	overshootRun = 20 * time.Second
	window       = 10 * time.Second
)

// fairnessResult compares a customer's latency beside another one that exceeds
// its contract with that beside the same load on a server outside the fleet, so
// that the cost of making the load on the same machine is in both.
type fairnessResult struct {
	// Alone and Beside are quantiles of all rounds' requests.
	Alone  harness.Summary `json:"alone"`
	Beside harness.Summary `json:"beside_the_flood"`
	// P50Ratios and P99Ratios have one ratio for each pair of rounds.
	P50Ratios []float64 `json:"p50_ratios"`
	P99Ratios []float64 `json:"p99_ratios"`
	// Refused counts the requests of the quiet customer that were not answered.
	Refused int `json:"refused"`
	// LoudOffered and LoudAnswered count the requests of the loud customer.
	LoudOffered  int `json:"flood_offered"`
	LoudAnswered int `json:"flood_answered"`
	// LoudOvershoot is by how much its worst 10 s exceed its contract.
	LoudOvershoot float64 `json:"flood_overshoot"`
}

// measureFairness takes rounds with and without the flood in turn.
func measureFairness(binaries *harness.Binaries, _ options) (any, error) {
	o := fleetOptions(binaries, "")
	o.Work = 2 * time.Millisecond
	o.Contracts = append(o.Contracts, contract.Contract{Customer: loudCustomer, Total: contract.Terms{
		Rate: loudRate, Burst: loudBurst, MaxWaiting: loudBurst, MaxTime: contract.Duration(2 * time.Second),
	}})
	keys := harness.ShardKeys(o.Service.Shards, 1)
	var r fairnessResult
	err := withFleet(o, func(fleet *harness.Fleet) error {
		const startTimeout = 30 * time.Second
		if err := fleet.WaitServed(keys, customer, startTimeout); err != nil {
			return err
		}
		decoy, err := fleet.StartDecoy()
		if err != nil {
			return err
		}
		var alone, beside []time.Duration
		for round := range uint64(fairnessRounds) {
			flood := startFlood([]string{decoy}, keys, round)
			a := quietRound(fleet, keys, round, &r)
			flood.Stop()
			flood = startFlood(fleet.Entries(), keys, round)
			b := quietRound(fleet, keys, round+fairnessRounds, &r)
			flood.Stop()
			before, after := harness.Summarize(a), harness.Summarize(b)
			r.P50Ratios = append(r.P50Ratios, float64(after.Median)/float64(before.Median))
			r.P99Ratios = append(r.P99Ratios, float64(after.P99)/float64(before.P99))
			alone = append(alone, a...)
			beside = append(beside, b...)
		}
		r.Alone = harness.Summarize(alone)
		r.Beside = harness.Summarize(beside)
		flood := startFlood(fleet.Entries(), keys, 2*fairnessRounds)
		time.Sleep(overshootRun)
		r.overshoot(flood.Stop())
		return nil
	})
	fmt.Printf("\nquiet customer: p50 %v, p99 %v alone; p50 %v, p99 %v beside a customer at %d times its contract\n",
		r.Alone.Median, r.Alone.P99, r.Beside.Median, r.Beside.P99, loudFactor)
	fmt.Printf("ratios of each pair of rounds: p50 %.2f, p99 %.2f\n", r.P50Ratios, r.P99Ratios)
	fmt.Printf("refused %d; flood answered %d of %d, overshoot over 10 s %+.1f%%\n",
		r.Refused, r.LoudAnswered, r.LoudOffered, 100*r.LoudOvershoot)
	return r, err
}

// quietRound returns the latencies of a customer within its contract.
func quietRound(fleet *harness.Fleet, keys []string, seed uint64, r *fairnessResult) []time.Duration {
	const quietInterval = 100 * time.Millisecond
	load := harness.StartLoad(harness.LoadOptions{
		Seed: seed, Keys: keys, Interval: quietInterval, Customer: customer, PathPrefix: harness.PathPrefix,
		Timeout: bound, MaxAttempts: 1, Entries: fleet.Entries,
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

// startFlood offers a multiple of the loud customer's contract.
func startFlood(entries, keys []string, seed uint64) *harness.Load {
	interval := time.Duration(float64(time.Second) * float64(len(keys)) / (loudRate * loudFactor))
	return harness.StartLoad(harness.LoadOptions{
		Seed: seed, Keys: keys, Interval: interval, Customer: loudCustomer, PathPrefix: harness.PathPrefix,
		Timeout: bound, MaxAttempts: 1, Entries: func() []string { return entries },
	})
}

// overshoot looks at every 10 s that begin with an answered request. Requests
// are counted when they end, so waiting ones of an earlier time count, too.
func (r *fairnessResult) overshoot(attempts []harness.Attempt) {
	r.LoudOffered = len(attempts)
	var ends []time.Time
	for _, a := range attempts {
		if a.Class == harness.Answered {
			ends = append(ends, a.Ended)
		}
	}
	r.LoudAnswered = len(ends)
	slices.SortFunc(ends, time.Time.Compare)
	allowed := loudRate*window.Seconds() + loudBurst
	worst, first := 0, 0
	for i, end := range ends {
		for end.Sub(ends[first]) > window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	r.LoudOvershoot = float64(worst)/allowed - 1
}

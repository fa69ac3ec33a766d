// Command baseline simulates the baseline design that the project is compared
// with, in which each node stores its lease as an object on the platform and
// renews it there. Timing and faults are the same as in the project's design, and
// the seed is fixed. It prints a table and writes the results as JSON.
package main

import (
	"flag"
	"fmt"
	"log"
	"math/rand"
	"slices"
	"time"

	"fulmarhinge/test/bench/report"
)

// Timing of both designs and of the platform.
const (
	leaseDuration = 1700 * time.Millisecond
	renewInterval = 700 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
	// driftMargin is subtracted from a lease by its holder to allow for clock drift.
	driftMargin = leaseDuration / 100
	// minCallDuration and maxCallDuration bound the duration of a platform call.
	minCallDuration = 2 * time.Millisecond
	maxCallDuration = 6 * time.Millisecond
	outageDuration  = 60 * time.Second
	rounds          = 1000
)

// Row is the unavailability of a node's keys under one fault.
type Row struct {
	Fault    string  `json:"fault"`
	MedianMs float64 `json:"unavailable_median_ms"`
	P99Ms    float64 `json:"unavailable_p99_ms"`
	MaxMs    float64 `json:"unavailable_max_ms"`
	// WritesAt10 and WritesAt1200 are the platform writes per second for lease
	// renewals alone, in a fleet of that many nodes without faults.
	WritesAt10   float64 `json:"writes_per_second_10_nodes"`
	WritesAt1200 float64 `json:"writes_per_second_1200_nodes"`
}

func main() {
	out := flag.String("out", "", "file for the results as JSON; none if empty")
	flag.Parse()
	rng := rand.New(rand.NewSource(1))
	rows := []Row{
		row("owner killed", func() time.Duration { return downtimeAfterKill(rng) }),
		row("platform down 60 s, nobody lost", func() time.Duration { return downtimeInOutage(rng) }),
	}
	fmt.Printf("%-34s %10s %10s %10s %10s %12s\n", "fault", "median ms", "p99 ms", "max ms", "writes 10", "writes 1200")
	for _, r := range rows {
		fmt.Printf("%-34s %10.0f %10.0f %10.0f %10.1f %12.1f\n", r.Fault, r.MedianMs, r.P99Ms, r.MaxMs, r.WritesAt10, r.WritesAt1200)
	}
	if err := report.WriteJSON(*out, rows); err != nil {
		log.Fatal(err)
	}
}

// row simulates a fault many times and returns the quantiles.
func row(name string, simulate func() time.Duration) Row {
	var durations []time.Duration
	for range rounds {
		durations = append(durations, simulate())
	}
	slices.Sort(durations)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return Row{
		Fault:        name,
		MedianMs:     ms(durations[rounds/2]),
		P99Ms:        ms(durations[rounds*99/100]),
		MaxMs:        ms(durations[rounds-1]),
		WritesAt10:   10 / renewInterval.Seconds(),
		WritesAt1200: 1200 / renewInterval.Seconds(),
	}
}

// callDuration returns a random duration of one platform call.
func callDuration(rng *rand.Rand) time.Duration {
	return minCallDuration + time.Duration(rng.Int63n(int64(maxCallDuration-minCallDuration)))
}

// randomPart returns a random part of a period, such as the phase of a timer.
func randomPart(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int63n(int64(d)))
}

// downtimeAfterKill returns the time from the death of an owner until its keys are
// served again. The other nodes receive its last renewal on their watch and count
// the lease from then.
func downtimeAfterKill(rng *rand.Rand) time.Duration {
	sinceRenewal := randomPart(rng, renewInterval)
	untilExpiry := leaseDuration + callDuration(rng) - sinceRenewal
	detection := randomPart(rng, tickInterval)
	takeOver := 3 * callDuration(rng)
	return max(0, untilExpiry) + detection + takeOver
}

// downtimeInOutage returns how long a running owner has no lease because of a
// platform outage.
func downtimeInOutage(rng *rand.Rand) time.Duration {
	sinceRenewal := randomPart(rng, renewInterval)
	leaseLeft := leaseDuration - driftMargin - sinceRenewal
	recovery := randomPart(rng, tickInterval) + callDuration(rng)
	return outageDuration - leaseLeft + recovery
}

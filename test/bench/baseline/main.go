// Command baseline plays the policy that this project compares itself with:
// each node holds its lease as an object of the platform and renews it there.
// Timing and faults are those of the chosen policy; seeds are fixed. It prints a
// table and writes JSON.
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

// Timing of both policies, and of the platform.
const (
	promise = 1700 * time.Millisecond
	renew   = 700 * time.Millisecond
	tick    = 50 * time.Millisecond
	// drift is the part of a lease that its holder gives up.
	drift = promise / 100
	// callMin and callMax bound the time of one call to the platform.
	callMin = 2 * time.Millisecond
	callMax = 6 * time.Millisecond
	outage  = 60 * time.Second
	rounds  = 1000
)

// Row is what one fault does to the keys of a node.
type Row struct {
	Fault    string  `json:"fault"`
	MedianMs float64 `json:"unavailable_median_ms"`
	P99Ms    float64 `json:"unavailable_p99_ms"`
	MaxMs    float64 `json:"unavailable_max_ms"`
	// Writes is the platform's writes a second of a fleet at rest, for the
	// renewals alone, at the given number of nodes.
	WritesAt10   float64 `json:"writes_per_second_10_nodes"`
	WritesAt1200 float64 `json:"writes_per_second_1200_nodes"`
}

func main() {
	out := flag.String("out", "", "file for the results as JSON; none if empty")
	flag.Parse()
	rng := rand.New(rand.NewSource(1))
	rows := []Row{
		row("owner killed", func() time.Duration { return killed(rng) }),
		row("platform down 60 s, nobody lost", func() time.Duration { return platformDown(rng) }),
	}
	fmt.Printf("%-34s %10s %10s %10s %10s %12s\n", "fault", "median ms", "p99 ms", "max ms", "writes 10", "writes 1200")
	for _, r := range rows {
		fmt.Printf("%-34s %10.0f %10.0f %10.0f %10.1f %12.1f\n", r.Fault, r.MedianMs, r.P99Ms, r.MaxMs, r.WritesAt10, r.WritesAt1200)
	}
	if err := report.WriteJSON(*out, rows); err != nil {
		log.Fatal(err)
	}
}

// row plays a fault many times.
func row(name string, play func() time.Duration) Row {
	var all []time.Duration
	for range rounds {
		all = append(all, play())
	}
	slices.Sort(all)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return Row{
		Fault:        name,
		MedianMs:     ms(all[rounds/2]),
		P99Ms:        ms(all[rounds*99/100]),
		MaxMs:        ms(all[rounds-1]),
		WritesAt10:   10 / renew.Seconds(),
		WritesAt1200: 1200 / renew.Seconds(),
	}
}

// call is the time of one call to the platform.
func call(rng *rand.Rand) time.Duration {
	return callMin + time.Duration(rng.Int63n(int64(callMax-callMin)))
}

// upTo is a random part of a period, as of the phase of a timer.
func upTo(rng *rand.Rand, d time.Duration) time.Duration { return time.Duration(rng.Int63n(int64(d))) }

// killed is the time from the death of an owner until its keys are served: the
// others see its last renewal on their watch, and wait from then.
func killed(rng *rand.Rand) time.Duration {
	sinceRenewal := upTo(rng, renew)
	lapsed := promise + call(rng) - sinceRenewal
	notice := upTo(rng, tick)
	takeOver := 3 * call(rng)
	return max(0, lapsed) + notice + takeOver
}

// platformDown is the time during which a live owner has no lease.
func platformDown(rng *rand.Rand) time.Duration {
	sinceRenewal := upTo(rng, renew)
	held := promise - drift - sinceRenewal
	comeBack := upTo(rng, tick) + call(rng)
	return outage - held + comeBack
}

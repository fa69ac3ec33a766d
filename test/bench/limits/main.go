// Command limits simulates policies that enforce a customer's contract across a
// fleet, with fixed seeds. It prints a table and writes the results as JSON.
package main

import (
	"flag"
	"fmt"
	"log"
	"time"

	"fulmarhinge/test/bench/report"
	"fulmarhinge/test/limitsim"
)

func main() {
	out := flag.String("out", "bench-out/limits.json", "file for the results")
	seeds := flag.Uint64("seeds", 3, "number of seeds, from 1")
	flag.Parse()
	var results []limitsim.Result
	for _, s := range limitsim.Scenarios() {
		fmt.Printf("\n%s\n", s.Name)
		for _, p := range limitsim.Policies {
			for seed := uint64(1); seed <= *seeds; seed++ {
				r := limitsim.Run(s, p.Name, p.New(limitsim.StartTime, s.Nodes, s.Terms), seed)
				results = append(results, r)
				fmt.Printf("  %-18s seed %d  overshoot %+6.2f%%  usable %6.2f%%  longest gap %6v  messages/s %8.1f  round trips %6.2f%%\n",
					r.Policy, r.Seed, 100*r.Overshoot, 100*r.Usable, r.LongestGap.Round(time.Millisecond),
					r.MessagesPerSecond, 100*r.RoundTripShare)
			}
		}
	}
	if err := report.WriteJSON(*out, results); err != nil {
		log.Fatal(err)
	}
}

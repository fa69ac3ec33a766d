// Command placement compares the placement policy with rendezvous hashing. It
// measures imbalance and churn when a node joins, a node leaves, a zone is lost,
// 79 keys become hot, and 79 other keys become hot in their place. Seeds are
// fixed, so only the times differ between runs.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
)

// hotKeyCount is the number of keys that become hot at the same time.
const hotKeyCount = 79

// sizes are the measured fleet sizes: the current one and the target.
var sizes = []size{
	{Name: "today", Nodes: 7, Zones: 3, Shards: 112, Rate: 3500},
	{Name: "target", Nodes: 1200, Zones: 24, Shards: 19200, Rate: 4.2e6},
}

var scenarios = []scenario{
	{Name: "join", change: (*fleet).joinNode},
	{Name: "leave", change: (*fleet).drainNode},
	{Name: "zone-loss", change: (*fleet).loseZone},
	{Name: "hot-keys", change: (*fleet).addHotKeys},
	{Name: "other-hot-keys", prepare: (*fleet).addHotKeys, change: (*fleet).replaceHotKeys},
}

var seeds = []int64{1, 2, 3, 4, 5}

// result is the measurement of one scenario with one policy and seed.
type result struct {
	Size     string `json:"size"`
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     int64  `json:"seed"`
	// ImbalanceBefore and ImbalanceAfter are the maximum divided by the mean of
	// the load per node, right after the change and after the next plan.
	ImbalanceBefore float64 `json:"imbalance_before"`
	ImbalanceAfter  float64 `json:"imbalance_after"`
	// Churn is the share of the load whose owner changed.
	Churn float64 `json:"churn"`
	// LeastChurn is a lower bound on the churn that achieves a balance within
	// placement.MaxImbalance: the load of unusable owners and the load of the
	// others above that limit. It assumes that load is divisible, which shards
	// are not.
	LeastChurn float64 `json:"least_churn"`
	Pins       int     `json:"pins"`
	// SecondMoves is the number of moves in a second plan with the same load.
	// This plan dissolves pins that have returned to their shards' owners.
	SecondMoves  int     `json:"second_moves"`
	Milliseconds float64 `json:"milliseconds"`
}

func main() {
	out := flag.String("out", "", "file for the results as JSON; none if empty")
	flag.Parse()
	results := measureAll()
	printTable(results)
	if *out == "" {
		return
	}
	b, err := json.MarshalIndent(results, "", " ")
	if err == nil {
		err = os.WriteFile(*out, append(b, '\n'), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "placement:", err)
		os.Exit(1)
	}
}

func measureAll() []result {
	var results []result
	for _, sz := range sizes {
		for _, sc := range scenarios {
			for _, p := range policies {
				for _, seed := range seeds {
					results = append(results, measure(sz, sc, p, seed))
				}
			}
		}
	}
	return results
}

// printTable prints the worst value of all seeds for each combination of size,
// scenario and policy. Column "/least" is the churn divided by its lower bound.
func printTable(results []result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "worst of %d seeds\tscenario\tpolicy\tbefore\tafter\tchurn\t/least\tpins\tsecond\tms\t\n", len(seeds))
	for i := 0; i < len(results); i += len(seeds) {
		worst, ratio := results[i], 0.0
		for _, r := range results[i : i+len(seeds)] {
			worst.ImbalanceBefore = max(worst.ImbalanceBefore, r.ImbalanceBefore)
			worst.ImbalanceAfter = max(worst.ImbalanceAfter, r.ImbalanceAfter)
			worst.Milliseconds = max(worst.Milliseconds, r.Milliseconds)
			worst.SecondMoves = max(worst.SecondMoves, r.SecondMoves)
			worst.Pins = max(worst.Pins, r.Pins)
			worst.Churn = max(worst.Churn, r.Churn)
			if r.LeastChurn > 0 {
				ratio = max(ratio, r.Churn/r.LeastChurn)
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%.4f\t%.3f\t%d\t%d\t%.1f\t\n", worst.Size, worst.Scenario, worst.Policy,
			worst.ImbalanceBefore, worst.ImbalanceAfter, worst.Churn, ratio,
			worst.Pins, worst.SecondMoves, worst.Milliseconds)
	}
	w.Flush()
}

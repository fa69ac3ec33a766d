// Command configuration measures configuration changes on fleets of real
// processes: the time until a change is in force on every node, for single changes
// and for fifty concurrent ones, and the platform calls per change. It prints a
// table and writes the results as JSON.
package main

import (
	"flag"
	"fmt"
	"os"

	"fulmarhinge/test/bench/report"
	"fulmarhinge/test/fault/harness"
)

// Row is the measurement of one fleet size.
type Row struct {
	Nodes   int `json:"nodes"`
	Changes int `json:"changes"`
	// MedianMs and MaxMs are the times in milliseconds from the acceptance of a
	// single change until it is in force on every node.
	MedianMs float64 `json:"in_force_median_ms"`
	MaxMs    float64 `json:"in_force_max_ms"`
	// BurstMs is the time in milliseconds from the first of fifty edits by five
	// concurrent operators until the last edit is in force on every node.
	BurstMs float64 `json:"fifty_at_once_ms"`
	// EditReads and EditWrites are the platform calls of the operator per change,
	// with a cache of the configuration's parts.
	EditReads  float64 `json:"operator_reads_per_change"`
	EditWrites float64 `json:"operator_writes_per_change"`
	// FleetReads are the platform reads of all nodes per change, in excess of the
	// reads without changes.
	FleetReads float64 `json:"fleet_reads_per_change"`
}

func main() {
	sizes := flag.String("sizes", "6,12,24", "fleet sizes, separated by commas")
	changes := flag.Int("changes", 40, "number of single changes for each size")
	out := flag.String("out", "", "file for the results as JSON; none if empty")
	flag.Parse()
	if err := run(*sizes, *changes, *out); err != nil {
		fmt.Fprintln(os.Stderr, "configuration:", err)
		os.Exit(1)
	}
}

func run(sizes string, changes int, out string) error {
	counts, err := report.Sizes(sizes)
	if err != nil {
		return err
	}
	binaries, err := harness.Build()
	if err != nil {
		return err
	}
	defer binaries.Close()
	var rows []Row
	fmt.Printf("%6s %8s %10s %8s %14s %11s %12s %12s\n", "nodes", "changes", "median ms", "max ms",
		"50 at once ms", "edit reads", "edit writes", "fleet reads")
	for _, n := range counts {
		r, err := measure(binaries, n, changes)
		if err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
		fmt.Printf("%6d %8d %10.0f %8.0f %14.0f %11.1f %12.1f %12.1f\n", r.Nodes, r.Changes, r.MedianMs, r.MaxMs,
			r.BurstMs, r.EditReads, r.EditWrites, r.FleetReads)
		rows = append(rows, r)
	}
	return report.WriteJSON(out, rows)
}

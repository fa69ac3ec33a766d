// Command fleet measures fleets of real processes under load: the unavailability of
// keys under faults, the overhead of the request path, and the effect of a customer
// that far exceeds its contract on another customer. Seeds are fixed. It prints
// tables and writes the results as JSON.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/test/bench/report"
	"fulmarhinge/test/fault/harness"
)

// customer is the name of the customer within its contract.
const customer = "shop"

// options are the command line flags.
type options struct {
	parts  []string
	out    string
	rounds int
}

func parseOptions() options {
	parts := flag.String("parts", "faults,path,fairness", "comma-separated measurements to run")
	var o options
	flag.StringVar(&o.out, "out", "bench-out", "directory for the results")
	flag.IntVar(&o.rounds, "rounds", 3, "repetitions of each fault, with seeds from 1")
	flag.Parse()
	o.parts = strings.Split(*parts, ",")
	return o
}

func main() {
	if err := run(parseOptions()); err != nil {
		log.Fatal(err)
	}
}

// run runs the selected measurements.
func run(o options) error {
	binaries, err := harness.Build()
	if err != nil {
		return err
	}
	defer binaries.Close()
	parts := []struct {
		name    string
		measure func(*harness.Binaries, options) (any, error)
	}{
		{"faults", measureFaults},
		{"path", measurePath},
		{"fairness", measureFairness},
	}
	for _, p := range parts {
		if !slices.Contains(o.parts, p.name) {
			continue
		}
		result, err := p.measure(binaries, o)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		if err := report.WriteJSON(filepath.Join(o.out, p.name+".json"), result); err != nil {
			return err
		}
	}
	return nil
}

// fleetOptions returns the fleet options common to all measurements.
func fleetOptions(binaries *harness.Binaries, dir string) harness.Options {
	return harness.Options{
		Dir:      dir,
		Binaries: binaries,
		Zones:    []string{"zone-a", "zone-b", "zone-c"},
		Nodes:    6,
		Service:  config.Service{Name: "painel", DividedByKey: true, Shards: 48, ChecksFence: true},
		Contracts: []contract.Contract{{Customer: customer, Total: contract.Terms{
			Rate: 200_000, Burst: 50_000, MaxWaiting: 20_000, MaxTime: contract.Duration(2 * time.Second),
		}}},
		Slots: 40,
	}
}

// withFleet starts a fleet, waits until it is balanced, calls fn and stops the
// fleet.
func withFleet(o harness.Options, fn func(*harness.Fleet) error) error {
	const startTimeout = 60 * time.Second
	dir, err := os.MkdirTemp("", "fulmarhinge-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o.Dir = dir
	fleet, err := harness.Start(o)
	defer fleet.Stop()
	if err != nil {
		return err
	}
	if err := fleet.WaitBalanced(startTimeout); err != nil {
		return err
	}
	return fn(fleet)
}

// Package fault runs a fleet of processes under load, injects faults and checks
// the router's guarantees against the run logs of the backend servers.
package fault

import (
	"fmt"
	"os"
	"testing"
	"time"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/test/fault/harness"
)

// Parameters and bounds that the tests share.
const (
	customer = "shop"
	shards   = 48
	// requestInterval is the time between two requests for one key.
	requestInterval = 100 * time.Millisecond
	// startTimeout bounds the start of a fleet.
	startTimeout = 30 * time.Second
	// takeoverBound is how long a lost owner's keys may be without an answer.
	takeoverBound = 3 * time.Second
	// maxRequestTime is the longest time that the contract allows a request.
	maxRequestTime = 2 * time.Second
	loadSeed       = 7
)

var binaries *harness.Binaries

func TestMain(m *testing.M) {
	var err error
	binaries, err = harness.Build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	binaries.Close()
	os.Exit(code)
}

// loadedFleet is a fleet under load.
type loadedFleet struct {
	t           *testing.T
	fleet       *harness.Fleet
	keys        []string
	load        *harness.Load
	loadStarted time.Time
}

// startUnderLoad starts a fleet of 6 VMs in 3 availability zones, waits until
// every key is served and the shards are balanced, and starts the load.
func startUnderLoad(t *testing.T, adjust func(*harness.Options)) *loadedFleet {
	t.Helper()
	o := harness.Options{
		Dir:      t.TempDir(),
		Binaries: binaries,
		Zones:    []string{"zone-a", "zone-b", "zone-c"},
		Nodes:    6,
		Service:  config.Service{Name: "painel", DividedByKey: true, Shards: shards, ChecksFence: true},
		Contracts: []contract.Contract{{Customer: customer, Total: contract.Terms{
			Rate: 20_000, Burst: 5_000, MaxWaiting: 5_000, MaxTime: contract.Duration(maxRequestTime),
		}}},
		Slots: 40,
		Work:  5 * time.Millisecond,
	}
	if adjust != nil {
		adjust(&o)
	}
	fleet, err := harness.Start(o)
	s := &loadedFleet{t: t, fleet: fleet, keys: harness.ShardKeys(shards, 1)}
	t.Cleanup(s.stop)
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if err := fleet.WaitServed(s.keys, customer, startTimeout); err != nil {
		t.Fatal(err)
	}
	if err := fleet.WaitBalanced(startTimeout); err != nil {
		t.Fatal(err)
	}
	t.Logf("shards balanced and every key served through every entry %v after the start",
		time.Since(started).Round(time.Millisecond))
	s.load = harness.StartLoad(harness.LoadOptions{
		Seed:       loadSeed,
		Keys:       s.keys,
		Interval:   requestInterval,
		Customer:   customer,
		PathPrefix: harness.PathPrefix,
		WriteShare: 0.3,
		MaxSize:    20_000,
		Timeout:    3 * time.Second,
		Entries:    fleet.Entries,
	})
	s.loadStarted = time.Now()
	return s
}

// stop kills all processes; after a failure it logs the tail of each node's log.
func (s *loadedFleet) stop() {
	s.fleet.Stop()
	if !s.t.Failed() {
		return
	}
	const logTailBytes = 3000
	for _, n := range s.fleet.Nodes {
		if n.Node != nil {
			s.t.Logf("log of %s:\n%s", n.Name, n.Node.LogTail(logTailBytes))
		}
	}
}

// runFor lets the load run for the given time.
func (s *loadedFleet) runFor(d time.Duration) { time.Sleep(d) }

// must ends the test on an error of the harness.
func (s *loadedFleet) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// ownedBy returns the keys that the nodes owned before the given time.
func (s *loadedFleet) ownedBy(result loadResult, before time.Time, nodes ...*harness.Node) []string {
	s.t.Helper()
	var keys []string
	for _, n := range nodes {
		keys = append(keys, s.fleet.KeysOf(result.history, s.keys, n, before)...)
	}
	if len(keys) == 0 {
		s.t.Fatal("the nodes owned no keys before the fault")
	}
	return keys
}

// checkServesCallers checks that a node that returned after a fault has answered
// a caller since the given time.
func (s *loadedFleet) checkServesCallers(result loadResult, n *harness.Node, since time.Time) {
	s.t.Helper()
	for _, a := range result.attempts {
		if a.Entry == n.CallerAddr && a.Class == harness.Answered && a.Sent.After(since) {
			return
		}
	}
	s.t.Errorf("%s has answered no caller after it returned", n.Name)
}

// loadResult is what was recorded under a load that has ended at end.
type loadResult struct {
	attempts []harness.Attempt
	history  harness.History
	end      time.Time
}

// finish stops the load and checks the guarantees.
func (s *loadedFleet) finish() loadResult {
	s.t.Helper()
	end := time.Now()
	attempts := s.load.Stop()
	history, err := s.fleet.History(attempts)
	if err != nil {
		s.t.Fatal(err)
	}
	s.report(attempts, history)
	return loadResult{attempts, history, end}
}

// report fails the test for each violation and logs the number of attempts by
// outcome.
func (s *loadedFleet) report(attempts []harness.Attempt, history harness.History) {
	s.t.Helper()
	const maxReported = 10
	violations := harness.CheckHistory(history)
	for i, v := range violations {
		if i == maxReported {
			s.t.Errorf("and %d more violations", len(violations)-maxReported)
			break
		}
		s.t.Errorf("violation of %q: %s", v.Rule, v.Text)
	}
	type outcome struct {
		class harness.Class
		code  uint32
	}
	counts := make(map[outcome]int)
	for _, a := range attempts {
		counts[outcome{a.Class, a.Code}]++
	}
	s.t.Logf("%d attempts, %d log records: %v", len(attempts), len(history.Records), counts)
}

// checkGaps checks that no key, of the given ones or of all if nil, was without
// an answer for longer than bound after the fault.
func (s *loadedFleet) checkGaps(result loadResult, what string, keys []string, fault time.Time, bound time.Duration) {
	s.t.Helper()
	gaps := harness.KeyGaps(result.attempts, fault, result.end)
	summary := harness.Summarize(harness.LongestGaps(gaps, keys))
	s.t.Logf("%s: %d keys, longest gap median %v, p99 %v, max %v", what, summary.Count,
		summary.Median.Round(time.Millisecond), summary.P99.Round(time.Millisecond), summary.Max.Round(time.Millisecond))
	writes := harness.Summarize(harness.LongestGaps(harness.KeyGaps(harness.Writes(result.attempts), fault, result.end), keys))
	s.t.Logf("%s: writes only, longest gap median %v, max %v", what,
		writes.Median.Round(time.Millisecond), writes.Max.Round(time.Millisecond))
	if summary.Max > bound {
		s.t.Errorf("%s: a key was without an answer for %v, bound %v", what, summary.Max, bound)
	}
}

// Package fault runs a fleet of processes under load, makes parts of it fail,
// and judges the router by the logs of the backend servers.
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

// Sizes and bounds of all tests.
const (
	customer = "shop"
	shards   = 48
	// interval is the time between two requests for one key.
	interval = 100 * time.Millisecond
	// startTimeout bounds the start of a fleet.
	startTimeout = 30 * time.Second
	// servedAgain is the time in which a lost owner's keys must be served.
	servedAgain = 3 * time.Second
	// maxTime is how long the contract lets a request take.
	maxTime = 2 * time.Second
	seed    = 7
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

// scene is a fleet under load.
type scene struct {
	t     *testing.T
	fleet *harness.Fleet
	keys  []string
	load  *harness.Load
	begun time.Time
}

// start starts a fleet of 6 VMs in 3 availability zones, waits until every key
// is served and begins the load.
func start(t *testing.T, change func(*harness.Options)) *scene {
	t.Helper()
	o := harness.Options{
		Dir:      t.TempDir(),
		Binaries: binaries,
		Zones:    []string{"zone-a", "zone-b", "zone-c"},
		Nodes:    6,
		Service:  config.Service{Name: "painel", DividedByKey: true, Shards: shards, ChecksFence: true},
		Contracts: []contract.Contract{{Customer: customer, Total: contract.Terms{
			Rate: 20_000, Burst: 5_000, MaxWaiting: 5_000, MaxTime: contract.Duration(maxTime),
		}}},
		Slots: 40,
		Work:  5 * time.Millisecond,
	}
	if change != nil {
		change(&o)
	}
	fleet, err := harness.Start(o)
	s := &scene{t: t, fleet: fleet, keys: harness.ShardKeys(shards, 1)}
	t.Cleanup(s.stop)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	if err := fleet.WaitServed(s.keys, customer, startTimeout); err != nil {
		t.Fatal(err)
	}
	if err := fleet.WaitBalanced(startTimeout); err != nil {
		t.Fatal(err)
	}
	t.Logf("balanced, and every key served through every entry %v after the start", time.Since(begun).Round(time.Millisecond))
	s.load = harness.StartLoad(harness.LoadOptions{
		Seed:       seed,
		Keys:       s.keys,
		Interval:   interval,
		Customer:   customer,
		PathPrefix: harness.PathPrefix,
		WriteShare: 0.3,
		MaxSize:    20_000,
		Timeout:    3 * time.Second,
		Entries:    fleet.Entries,
	})
	s.begun = time.Now()
	return s
}

// stop kills all processes; after a failure it shows the ends of their logs.
func (s *scene) stop() {
	s.fleet.Stop()
	if !s.t.Failed() {
		return
	}
	const tail = 3000
	for _, n := range s.fleet.Nodes {
		if n.Node != nil {
			s.t.Logf("log of %s:\n%s", n.Name, n.Node.LogTail(tail))
		}
	}
}

// run lets the load go on for a while.
func (s *scene) run(d time.Duration) { time.Sleep(d) }

// must ends the test on an error of the harness.
func (s *scene) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// ownedBy returns the keys that the nodes served last before a time.
func (s *scene) ownedBy(v verdict, before time.Time, nodes ...*harness.Node) []string {
	s.t.Helper()
	var keys []string
	for _, n := range nodes {
		keys = append(keys, s.fleet.KeysOf(v.evidence, s.keys, n, before)...)
	}
	if len(keys) == 0 {
		s.t.Fatal("the nodes had no keys before the fault")
	}
	return keys
}

// answersThrough checks that a node that came back serves callers again.
func (s *scene) answersThrough(v verdict, n *harness.Node, since time.Time) {
	s.t.Helper()
	for _, a := range v.attempts {
		if a.Entry == n.CallerAddr && a.Class == harness.Answered && a.Sent.After(since) {
			return
		}
	}
	s.t.Errorf("%s has answered no caller after it came back", n.Name)
}

// verdict is what a finished scene has shown.
type verdict struct {
	attempts []harness.Attempt
	evidence harness.Evidence
	end      time.Time
}

// finish ends the load and judges.
func (s *scene) finish() verdict {
	s.t.Helper()
	end := time.Now()
	attempts := s.load.Stop()
	evidence, err := s.fleet.Evidence(attempts)
	if err != nil {
		s.t.Fatal(err)
	}
	s.report(attempts, evidence)
	return verdict{attempts, evidence, end}
}

// report fails the test for each violation and logs the outcomes.
func (s *scene) report(attempts []harness.Attempt, evidence harness.Evidence) {
	s.t.Helper()
	const most = 10
	violations := harness.Judge(evidence)
	for i, v := range violations {
		if i == most {
			s.t.Errorf("and %d more violations", len(violations)-most)
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
	s.t.Logf("%d attempts, %d log records: %v", len(attempts), len(evidence.Records), counts)
}

// gaps checks how long the keys were without an answer from the fault on.
func (s *scene) gaps(v verdict, what string, keys []string, fault time.Time, bound time.Duration) {
	s.t.Helper()
	gaps := harness.Unavailable(v.attempts, fault, v.end)
	sum := harness.Summarize(harness.LongestGaps(gaps, keys))
	s.t.Logf("%s: %d keys, longest gap median %v, p99 %v, max %v", what, sum.Count,
		sum.Median.Round(time.Millisecond), sum.P99.Round(time.Millisecond), sum.Max.Round(time.Millisecond))
	writes := harness.Summarize(harness.LongestGaps(harness.Unavailable(harness.Writes(v.attempts), fault, v.end), keys))
	s.t.Logf("%s: writes alone, longest gap median %v, max %v", what,
		writes.Median.Round(time.Millisecond), writes.Max.Round(time.Millisecond))
	if sum.Max > bound {
		s.t.Errorf("%s: a key went %v without an answer, more than %v", what, sum.Max, bound)
	}
}

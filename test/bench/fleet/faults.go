package main

import (
	"fmt"
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

// Timing of a round.
const (
	requestInterval = 100 * time.Millisecond
	beforeFault     = time.Second
	afterFault      = 6 * time.Second
	outageDuration  = 10 * time.Second
	// maxUnavailable is the target for the unavailability of a key, and the timeout
	// of a request.
	maxUnavailable = 3 * time.Second
)

// fault is a kind of failure to measure.
type fault struct {
	name string
	// victims returns the affected nodes. If there are none, all keys are measured.
	victims func(f *harness.Fleet) []*harness.Node
	inject  func(f *harness.Fleet, victims []*harness.Node) error
	// loadDuration is how long the load continues after the fault; at least
	// afterFault.
	loadDuration time.Duration
	avoidVictims bool
	work         time.Duration
	checksFence  bool
}

func oneNode(f *harness.Fleet) []*harness.Node { return f.Nodes[1:2] }
func noNodes(*harness.Fleet) []*harness.Node   { return nil }
func oneZone(f *harness.Fleet) []*harness.Node { return f.Zone("zone-b") }

// forEachVictim returns a function that applies fn to all victims.
func forEachVictim(fn func(f *harness.Fleet, n *harness.Node) error) func(*harness.Fleet, []*harness.Node) error {
	return func(f *harness.Fleet, victims []*harness.Node) error {
		for _, n := range victims {
			if err := fn(f, n); err != nil {
				return err
			}
		}
		return nil
	}
}

var (
	killVM       = forEachVictim(func(f *harness.Fleet, n *harness.Node) error { f.KillVM(n); return nil })
	pause        = forEachVictim(func(_ *harness.Fleet, n *harness.Node) error { return n.Node.Pause() })
	dropOutgoing = forEachVictim(func(f *harness.Fleet, n *harness.Node) error { return f.Cut(n.IP, harness.AnyIP, false) })
	dropIncoming = forEachVictim(func(f *harness.Fleet, n *harness.Node) error { return f.Cut(harness.AnyIP, n.IP, false) })
	isolate      = forEachVictim(func(f *harness.Fleet, n *harness.Node) error { return f.Cut(n.IP, harness.AnyIP, true) })
	stop         = forEachVictim(func(_ *harness.Fleet, n *harness.Node) error { return n.Node.Terminate() })
)

// faults are the measured failures.
var faults = []fault{
	{name: "VM killed", victims: oneNode, inject: killVM, avoidVictims: true, checksFence: true},
	{name: "VM killed, no fences", victims: oneNode, inject: killVM, avoidVictims: true},
	{name: "node paused", victims: oneNode, inject: pause, avoidVictims: true, checksFence: true},
	{name: "cut, node mute", victims: oneNode, inject: dropOutgoing, avoidVictims: true, checksFence: true},
	{name: "cut, node deaf", victims: oneNode, inject: dropIncoming, avoidVictims: true, checksFence: true},
	{name: "cut, both directions", victims: oneNode, inject: isolate, avoidVictims: true, checksFence: true},
	{name: "zone lost", victims: oneZone, inject: killVM, avoidVictims: true, checksFence: true},
	{name: "VM killed, slow platform", victims: oneNode, inject: func(f *harness.Fleet, v []*harness.Node) error {
		if err := f.SwitchPlatform(platform.Switches{SlowMs: 200}); err != nil {
			return err
		}
		return killVM(f, v)
	}, avoidVictims: true, checksFence: true},
	{name: "VM killed, answers lost", victims: oneNode, inject: func(f *harness.Fleet, v []*harness.Node) error {
		if err := f.SwitchPlatform(platform.Switches{LoseResponses: 4}); err != nil {
			return err
		}
		return killVM(f, v)
	}, avoidVictims: true, checksFence: true},
	{name: "platform down", victims: noNodes, inject: func(f *harness.Fleet, _ []*harness.Node) error {
		return f.SwitchPlatform(platform.Switches{Down: true})
	}, loadDuration: outageDuration, checksFence: true},
	{name: "planned stop", victims: oneNode, inject: stop, work: 200 * time.Millisecond, checksFence: true},
}

// faultResult is the result of all rounds of a fault.
type faultResult struct {
	Fault string `json:"fault"`
	// Unavailable summarizes the longest gap of each affected key over all rounds.
	Unavailable harness.Summary `json:"unavailable"`
	// Writes is the same for non-idempotent requests only. They are less
	// frequent, so the gaps include more of the interval between requests.
	Writes      harness.Summary `json:"unavailable_writes"`
	WithinBound bool            `json:"within_bound"`
	Attempts    int             `json:"attempts"`
	// Outcomes counts attempts by class and by result code.
	Outcomes   map[string]int      `json:"outcomes"`
	Violations []harness.Violation `json:"violations"`
	Seeds      int                 `json:"seeds"`
}

// measureFaults runs o.rounds rounds of every fault.
func measureFaults(binaries *harness.Binaries, o options) (any, error) {
	var results []faultResult
	fmt.Printf("%-26s %5s %9s %9s %9s %10s %8s %6s %6s %s\n", "fault", "keys", "median", "p99", "max", "writes max", "requests", "cut", "unkn.", "violations")
	for _, f := range faults {
		r := faultResult{Fault: f.name, Outcomes: make(map[string]int), Seeds: o.rounds}
		var gaps, writes []time.Duration
		for seed := 1; seed <= o.rounds; seed++ {
			roundGaps, roundWrites, err := runRound(binaries, f, uint64(seed), &r)
			if err != nil {
				return results, fmt.Errorf("%s, seed %d: %w", f.name, seed, err)
			}
			gaps = append(gaps, roundGaps...)
			writes = append(writes, roundWrites...)
		}
		r.Unavailable = harness.Summarize(gaps)
		r.Writes = harness.Summarize(writes)
		r.WithinBound = r.Unavailable.Max <= maxUnavailable
		results = append(results, r)
		u := r.Unavailable
		fmt.Printf("%-26s %5d %9v %9v %9v %10v %8d %6d %6d %d\n", f.name, u.Count, u.Median.Round(time.Millisecond),
			u.P99.Round(time.Millisecond), u.Max.Round(time.Millisecond), r.Writes.Max.Round(time.Millisecond), r.Attempts,
			r.Outcomes[string(harness.Incomplete)], r.Outcomes[string(harness.Unknown)], len(r.Violations))
	}
	return results, nil
}

// runRound runs one round and returns the longest gap of each affected key, for
// all requests and for the non-idempotent ones.
func runRound(binaries *harness.Binaries, f fault, seed uint64, r *faultResult) (all, writes []time.Duration, err error) {
	o := fleetOptions(binaries, "")
	o.Service.ChecksFence = f.checksFence
	o.Work = max(f.work, 2*time.Millisecond)
	keys := harness.ShardKeys(o.Service.Shards, 1)
	err = withFleet(o, func(fleet *harness.Fleet) error {
		const startTimeout = 30 * time.Second
		if err := fleet.WaitServed(keys, customer, startTimeout); err != nil {
			return err
		}
		load := harness.StartLoad(harness.LoadOptions{
			Seed: seed, Keys: keys, Interval: requestInterval, Customer: customer, PathPrefix: harness.PathPrefix,
			WriteShare: 0.3, MaxSize: 10_000, Timeout: maxUnavailable, Entries: fleet.Entries,
		})
		time.Sleep(beforeFault)
		victims := f.victims(fleet)
		if f.avoidVictims {
			fleet.Avoid(victims...)
		}
		faultTime := time.Now()
		injectErr := f.inject(fleet, victims)
		time.Sleep(max(f.loadDuration, afterFault))
		end := time.Now()
		attempts := load.Stop()
		if injectErr != nil {
			return injectErr
		}
		history, err := fleet.History(attempts)
		if err != nil {
			return err
		}
		affectedKeys := affected(fleet, history, keys, victims, faultTime)
		all = harness.LongestGaps(harness.KeyGaps(attempts, faultTime, end), affectedKeys)
		writes = harness.LongestGaps(harness.KeyGaps(harness.Writes(attempts), faultTime, end), affectedKeys)
		r.addAttempts(attempts, harness.CheckHistory(history))
		return nil
	})
	return all, writes, err
}

// affected returns the keys that the victims owned. If there are no victims, it
// returns nil, which stands for all keys.
func affected(f *harness.Fleet, history harness.History, keys []string, victims []*harness.Node, faultTime time.Time) []string {
	if len(victims) == 0 {
		return nil
	}
	owned := []string{}
	for _, n := range victims {
		owned = append(owned, f.KeysOf(history, keys, n, faultTime)...)
	}
	return owned
}

// addAttempts counts the outcomes of a round.
func (r *faultResult) addAttempts(attempts []harness.Attempt, violations []harness.Violation) {
	r.Attempts += len(attempts)
	for _, a := range attempts {
		r.Outcomes[string(a.Class)]++
		if a.Code != 0 {
			r.Outcomes[fmt.Sprintf("code %d", a.Code)]++
		}
	}
	r.Violations = append(r.Violations, violations...)
}

package main

import (
	"fmt"
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

// Timing of a round.
const (
	interval     = 100 * time.Millisecond
	beforeFault  = time.Second
	afterFault   = 6 * time.Second
	outageLength = 10 * time.Second
	bound        = 3 * time.Second
)

// fault is one kind of failure.
type fault struct {
	name string
	// victims are the nodes that it hits; all keys count if there are none.
	victims func(f *harness.Fleet) []*harness.Node
	strike  func(f *harness.Fleet, victims []*harness.Node) error
	// lasts is how long the load goes on; afterFault if zero.
	lasts       time.Duration
	avoid       bool
	work        time.Duration
	checksFence bool
}

func one(f *harness.Fleet) []*harness.Node  { return f.Nodes[1:2] }
func none(*harness.Fleet) []*harness.Node   { return nil }
func zone(f *harness.Fleet) []*harness.Node { return f.Zone("zone-b") }

// each applies fn to all victims.
func each(fn func(f *harness.Fleet, n *harness.Node) error) func(*harness.Fleet, []*harness.Node) error {
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
	killVM = each(func(f *harness.Fleet, n *harness.Node) error { f.KillVM(n); return nil })
	pause  = each(func(_ *harness.Fleet, n *harness.Node) error { return n.Node.Pause() })
	mute   = each(func(f *harness.Fleet, n *harness.Node) error { return f.Cut(n.IP, harness.Everyone, false) })
	deafen = each(func(f *harness.Fleet, n *harness.Node) error { return f.Cut(harness.Everyone, n.IP, false) })
	cutOff = each(func(f *harness.Fleet, n *harness.Node) error { return f.Cut(n.IP, harness.Everyone, true) })
	stop   = each(func(_ *harness.Fleet, n *harness.Node) error { return n.Node.Terminate() })
)

// faults lists what is measured.
var faults = []fault{
	{name: "VM killed", victims: one, strike: killVM, avoid: true, checksFence: true},
	{name: "VM killed, no fences", victims: one, strike: killVM, avoid: true},
	{name: "node paused", victims: one, strike: pause, avoid: true, checksFence: true},
	{name: "cut, node mute", victims: one, strike: mute, avoid: true, checksFence: true},
	{name: "cut, node deaf", victims: one, strike: deafen, avoid: true, checksFence: true},
	{name: "cut, both directions", victims: one, strike: cutOff, avoid: true, checksFence: true},
	{name: "zone lost", victims: zone, strike: killVM, avoid: true, checksFence: true},
	{name: "VM killed, slow platform", victims: one, strike: func(f *harness.Fleet, v []*harness.Node) error {
		if err := f.SwitchPlatform(platform.Switches{SlowMs: 200}); err != nil {
			return err
		}
		return killVM(f, v)
	}, avoid: true, checksFence: true},
	{name: "VM killed, answers lost", victims: one, strike: func(f *harness.Fleet, v []*harness.Node) error {
		if err := f.SwitchPlatform(platform.Switches{LoseAnswers: 4}); err != nil {
			return err
		}
		return killVM(f, v)
	}, avoid: true, checksFence: true},
	{name: "platform down", victims: none, strike: func(f *harness.Fleet, _ []*harness.Node) error {
		return f.SwitchPlatform(platform.Switches{Down: true})
	}, lasts: outageLength, checksFence: true},
	{name: "planned stop", victims: one, strike: stop, work: 200 * time.Millisecond, checksFence: true},
}

// faultResult is what all rounds of a fault showed.
type faultResult struct {
	Fault string `json:"fault"`
	// Unavailable is the longest gap of each affected key, all rounds together.
	Unavailable harness.Summary `json:"unavailable"`
	// Writes is the same for requests that are not idempotent alone. They come
	// less often, so it counts more of the load's interval in.
	Writes      harness.Summary `json:"unavailable_writes"`
	WithinBound bool            `json:"within_bound"`
	Attempts    int             `json:"attempts"`
	// Outcomes counts attempts by class and code.
	Outcomes   map[string]int      `json:"outcomes"`
	Violations []harness.Violation `json:"violations"`
	Seeds      int                 `json:"seeds"`
}

// measureFaults runs every fault several times.
func measureFaults(binaries *harness.Binaries, o options) (any, error) {
	var results []faultResult
	fmt.Printf("%-26s %5s %9s %9s %9s %10s %8s %6s %6s %s\n", "fault", "keys", "median", "p99", "max", "writes max", "requests", "cut", "unkn.", "violations")
	for _, f := range faults {
		r := faultResult{Fault: f.name, Outcomes: make(map[string]int), Seeds: o.rounds}
		var gaps, writes []time.Duration
		for seed := 1; seed <= o.rounds; seed++ {
			all, w, err := strikeOnce(binaries, f, uint64(seed), &r)
			if err != nil {
				return results, fmt.Errorf("%s, seed %d: %w", f.name, seed, err)
			}
			gaps = append(gaps, all...)
			writes = append(writes, w...)
		}
		r.Unavailable = harness.Summarize(gaps)
		r.Writes = harness.Summarize(writes)
		r.WithinBound = r.Unavailable.Max <= bound
		results = append(results, r)
		u := r.Unavailable
		fmt.Printf("%-26s %5d %9v %9v %9v %10v %8d %6d %6d %d\n", f.name, u.Count, u.Median.Round(time.Millisecond),
			u.P99.Round(time.Millisecond), u.Max.Round(time.Millisecond), r.Writes.Max.Round(time.Millisecond), r.Attempts,
			r.Outcomes[string(harness.Cut)], r.Outcomes[string(harness.Unknown)], len(r.Violations))
	}
	return results, nil
}

// strikeOnce runs one round and returns the longest gap of each affected key,
// for all requests and for those that are not idempotent.
func strikeOnce(binaries *harness.Binaries, f fault, seed uint64, r *faultResult) (all, writes []time.Duration, err error) {
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
			Seed: seed, Keys: keys, Interval: interval, Customer: customer, PathPrefix: harness.PathPrefix,
			WriteShare: 0.3, MaxSize: 10_000, Timeout: bound, Entries: fleet.Entries,
		})
		time.Sleep(beforeFault)
		victims := f.victims(fleet)
		if f.avoid {
			fleet.Avoid(victims...)
		}
		at := time.Now()
		strikeErr := f.strike(fleet, victims)
		time.Sleep(max(f.lasts, afterFault))
		end := time.Now()
		attempts := load.Stop()
		if strikeErr != nil {
			return strikeErr
		}
		evidence, err := fleet.Evidence(attempts)
		if err != nil {
			return err
		}
		hit := affected(fleet, evidence, keys, victims, at)
		all = harness.LongestGaps(harness.Unavailable(attempts, at, end), hit)
		writes = harness.LongestGaps(harness.Unavailable(harness.Writes(attempts), at, end), hit)
		r.add(attempts, harness.Judge(evidence))
		return nil
	})
	return all, writes, err
}

// affected returns the keys that the victims owned; nil, for all, if there are
// no victims.
func affected(f *harness.Fleet, e harness.Evidence, keys []string, victims []*harness.Node, at time.Time) []string {
	if len(victims) == 0 {
		return nil
	}
	owned := []string{}
	for _, n := range victims {
		owned = append(owned, f.KeysOf(e, keys, n, at)...)
	}
	return owned
}

// add counts the outcomes of a round.
func (r *faultResult) add(attempts []harness.Attempt, violations []harness.Violation) {
	r.Attempts += len(attempts)
	for _, a := range attempts {
		r.Outcomes[string(a.Class)]++
		if a.Code != 0 {
			r.Outcomes[fmt.Sprintf("code %d", a.Code)]++
		}
	}
	r.Violations = append(r.Violations, violations...)
}

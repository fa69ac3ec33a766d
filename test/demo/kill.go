package main

import (
	"fmt"
	"slices"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/test/fault/harness"
)

// loadSettle is how long a load runs before and after a fault.
const loadSettle = time.Second

// killOwner kills a VM that owns keys and measures until each is served again.
func (d *demo) killOwner() error {
	d.lostKey = d.keys[0]
	d.lost = d.node(d.owners[d.lostKey])
	if d.lost == nil {
		return fmt.Errorf("no node has the owner's address %q", d.owners[d.lostKey])
	}
	load := d.startLoad(1)
	time.Sleep(loadSettle)
	killed := time.Now()
	d.fleet.KillVM(d.lost)
	d.fleet.Avoid(d.lost)
	err := d.await("lost keys are served again", 4*unavailableBound, func() error {
		return d.servedSince(load.Snapshot(), killed)
	})
	time.Sleep(loadSettle)
	attempts := load.Stop()
	d.attempts = append(d.attempts, attempts...)
	if err != nil {
		return err
	}
	return d.reportLoss(attempts, killed)
}

// lostKeys are the keys that the killed node owned.
func (d *demo) lostKeys() []string {
	var keys []string
	for _, key := range d.keys {
		if d.owners[key] == d.lost.CallerAddr {
			keys = append(keys, key)
		}
	}
	return keys
}

func (d *demo) servedSince(attempts []harness.Attempt, killed time.Time) error {
	served := map[string]bool{}
	for _, a := range attempts {
		// A request that was sent before the kill may be answered after it.
		if a.Class == harness.Answered && a.Sent.After(killed) {
			served[a.Key] = true
		}
	}
	for _, key := range d.lostKeys() {
		if !served[key] {
			return fmt.Errorf("key %s is not served", key)
		}
	}
	return nil
}

func (d *demo) reportLoss(attempts []harness.Attempt, killed time.Time) error {
	gaps := harness.Unavailable(attempts, killed, time.Now())
	lost := d.lostKeys()
	summary := harness.Summarize(harness.LongestGaps(gaps, lost))
	var others []string
	for _, key := range d.keys {
		if !slices.Contains(lost, key) {
			others = append(others, key)
		}
	}
	rest := harness.Summarize(harness.LongestGaps(gaps, others))
	fmt.Printf("   %s lost with %d keys: unserved for %s (median), %s (max); bound %s\n",
		d.lost.Name, len(lost), round(summary.Median), round(summary.Max), unavailableBound)
	fmt.Printf("   the other %d keys: longest gap between answers %s\n", len(others), round(rest.Max))
	fmt.Printf("   callers saw: %s\n", count(attempts))
	if summary.Max > unavailableBound {
		return fmt.Errorf("a key was unserved for %s", summary.Max)
	}
	return nil
}

func round(t time.Duration) time.Duration { return t.Round(time.Millisecond) }

// restartLost starts the killed VM again under its old name.
func (d *demo) restartLost() error {
	if err := d.startVM(d.lost); err != nil {
		return err
	}
	if err := d.await("all nodes serve", joinTimeout, func() error { return d.allServed(nodes) }); err != nil {
		return err
	}
	for _, n := range d.last.Nodes {
		if n.Name == d.lost.Name {
			fmt.Printf("   %s#%d serves %d shards\n", n.Name, n.Incarnation, n.Owned.Serving)
		}
	}
	return d.explainLoss()
}

func (d *demo) startVM(n *harness.Node) error {
	if err := d.fleet.StartNode(n); err != nil {
		return err
	}
	if err := d.fleet.StartBackend(n); err != nil {
		return err
	}
	d.fleet.Allow(n)
	return nil
}

// explainLoss checks that the time line tells why the key was not served: the
// eviction of its owner, and the new owner after it.
func (d *demo) explainLoss() error {
	var line fleetTimeline
	if err := d.cli.json(&line, "timeline", "--service", service, "--key", d.lostKey); err != nil {
		return err
	}
	evicted := slices.IndexFunc(line.Events, func(e timeline.Event) bool {
		return e.Kind == timeline.KindEviction && e.Member != nil && e.Member.Name == d.lost.Name
	})
	if evicted < 0 {
		return fmt.Errorf("the time line of key %s has no eviction of %s", d.lostKey, d.lost.Name)
	}
	shard := cluster.ShardOf(d.lostKey, shards)
	served := slices.IndexFunc(line.Events[evicted:], func(e timeline.Event) bool {
		return e.Kind == timeline.KindPlacement && e.Unit != nil && e.Unit.Shard == shard
	})
	if served < 0 {
		return fmt.Errorf("the time line of key %s has no new owner after the eviction", d.lostKey)
	}
	text, err := d.cli.must("timeline", "--service", service, "--key", d.lostKey)
	fmt.Printf("   time line of key %s:\n%s", d.lostKey, indent(text, -1))
	return err
}

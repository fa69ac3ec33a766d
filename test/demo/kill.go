package main

import (
	"fmt"
	"slices"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/test/fault/harness"
)

// settleTime is how long the load runs before a fault and after its effect.
const settleTime = time.Second

// killOwner kills a VM that owns keys and measures how long they are unserved.
func (d *demo) killOwner() error {
	d.lostKey = d.keys[0]
	d.lostNode = d.node(d.owners[d.lostKey])
	if d.lostNode == nil {
		return fmt.Errorf("no node has the owner's address %q", d.owners[d.lostKey])
	}
	load := d.startLoad(1)
	time.Sleep(settleTime)
	killed := time.Now()
	d.fleet.KillVM(d.lostNode)
	d.fleet.Avoid(d.lostNode)
	err := d.await("lost keys are served again", 4*unavailableBound, func() error {
		return d.checkServedSince(load.Snapshot(), killed)
	})
	time.Sleep(settleTime)
	attempts := load.Stop()
	d.attempts = append(d.attempts, attempts...)
	if err != nil {
		return err
	}
	return d.reportLoss(attempts, killed)
}

// lostKeys returns the keys that the killed node owned.
func (d *demo) lostKeys() []string {
	var keys []string
	for _, key := range d.keys {
		if d.owners[key] == d.lostNode.CallerAddr {
			keys = append(keys, key)
		}
	}
	return keys
}

func (d *demo) checkServedSince(attempts []harness.Attempt, killed time.Time) error {
	served := map[string]bool{}
	for _, a := range attempts {
		// Requests sent before the kill don't count: they may be answered after
		// it.
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
	gaps := harness.KeyGaps(attempts, killed, time.Now())
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
		d.lostNode.Name, len(lost), round(summary.Median), round(summary.Max), unavailableBound)
	fmt.Printf("   the other %d keys: longest gap between answers %s\n", len(others), round(rest.Max))
	fmt.Printf("   attempts by class: %s\n", countByClass(attempts))
	if summary.Max > unavailableBound {
		return fmt.Errorf("a key was unserved for %s", summary.Max)
	}
	return nil
}

func round(t time.Duration) time.Duration { return t.Round(time.Millisecond) }

// restartLost restarts the killed VM under its old name.
func (d *demo) restartLost() error {
	if err := d.startVM(d.lostNode); err != nil {
		return err
	}
	if err := d.await("all nodes serve", joinTimeout, func() error { return d.checkAllServed(nodes) }); err != nil {
		return err
	}
	for _, n := range d.lastStatus.Nodes {
		if n.Name == d.lostNode.Name {
			fmt.Printf("   %s#%d serves %d shards\n", n.Name, n.Incarnation, n.Owned.Serving)
		}
	}
	return d.checkLossTimeline()
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

// checkLossTimeline checks that the timeline explains why the key was not served:
// it must contain the owner's eviction and, after it, the new owner.
func (d *demo) checkLossTimeline() error {
	var keyTimeline fleetTimeline
	if err := d.cli.json(&keyTimeline, "timeline", "--service", service, "--key", d.lostKey); err != nil {
		return err
	}
	evicted := slices.IndexFunc(keyTimeline.Events, func(e timeline.Event) bool {
		return e.Kind == timeline.KindEviction && e.Member != nil && e.Member.Name == d.lostNode.Name
	})
	if evicted < 0 {
		return fmt.Errorf("the timeline of key %s has no eviction of %s", d.lostKey, d.lostNode.Name)
	}
	shard := cluster.ShardOf(d.lostKey, shards)
	served := slices.IndexFunc(keyTimeline.Events[evicted:], func(e timeline.Event) bool {
		return e.Kind == timeline.KindPlacement && e.Unit != nil && e.Unit.Shard == shard
	})
	if served < 0 {
		return fmt.Errorf("the timeline of key %s has no new owner after the eviction", d.lostKey)
	}
	text, err := d.cli.must("timeline", "--service", service, "--key", d.lostKey)
	fmt.Printf("   timeline of key %s:\n%s", d.lostKey, indentTail(text, -1))
	return err
}

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"fulmarhinge/test/fault/harness"
)

// Slow requests that are in flight at a planned stop.
const (
	slowRequests = 12
	slowWork     = 1500 * time.Millisecond
	// stopDelay is the time from sending the slow requests to the stop.
	stopDelay = 300 * time.Millisecond
)

// stopBySignal makes a planned stop of a node with SIGTERM.
func (d *demo) stopBySignal() error {
	n := d.fleet.Nodes[1]
	return d.stopPlanned(n, 2, func() error { return n.Node.Terminate() })
}

// stopByDrain makes a planned stop of a node with the drain command.
func (d *demo) stopByDrain() error {
	n := d.fleet.Nodes[2]
	return d.stopPlanned(n, 3, func() error {
		_, err := d.cli.must("drain", n.Name)
		return err
	})
}

// stopPlanned stops a node under load with slow requests in flight, restarts its
// VM while the load continues, and checks that no request was interrupted.
func (d *demo) stopPlanned(n *harness.Node, seed uint64, stop func() error) error {
	load := d.startLoad(seed)
	time.Sleep(settleTime)
	took, slow, err := d.stopUnderLoad(n, stop)
	if err == nil {
		err = d.rejoin(n)
	}
	attempts := load.Stop()
	d.attempts = append(append(d.attempts, attempts...), slow...)
	if err != nil {
		return err
	}
	return reportStop(n, took, slow, attempts)
}

// stopUnderLoad stops a node and returns how long that took and the attempts of
// the slow requests.
func (d *demo) stopUnderLoad(n *harness.Node, stop func() error) (time.Duration, []harness.Attempt, error) {
	slow := d.startSlowRequests(n)
	time.Sleep(stopDelay)
	d.fleet.Avoid(n)
	began := time.Now()
	err := stop()
	if err == nil {
		err = d.awaitExit(n)
	}
	took := time.Since(began)
	return took, slow(), err
}

// rejoin restarts a stopped VM and waits until all nodes serve.
func (d *demo) rejoin(n *harness.Node) error {
	d.fleet.KillBackend(n)
	if err := d.startVM(n); err != nil {
		return err
	}
	began := time.Now()
	if err := d.await("all nodes serve", joinTimeout, func() error { return d.checkAllServed(nodes) }); err != nil {
		return err
	}
	fmt.Printf("   %s serves again %s after its start; shards by node: %v\n", n.Name, round(time.Since(began)), d.shardCounts())
	return nil
}

// shardCounts returns the number of shards that each node serves.
func (d *demo) shardCounts() []int {
	var counts []int
	for _, n := range d.lastStatus.Nodes {
		counts = append(counts, n.Owned.Serving)
	}
	return counts
}

// startSlowRequests sends slow requests for keys that the node owns, half of them
// through the node itself. The returned function waits for their outcomes.
func (d *demo) startSlowRequests(n *harness.Node) func() []harness.Attempt {
	keys := d.ownedKeys(n)
	entries := []string{n.CallerAddr, d.fleet.Nodes[0].CallerAddr}
	attempts := make([]harness.Attempt, slowRequests)
	var wg sync.WaitGroup
	for i := range attempts {
		wg.Go(func() {
			id := fmt.Sprintf("slow-%s-%d", n.Name, i)
			attempts[i] = d.send(entries[i%len(entries)], newCall(id, firstCustomer, keys[i%len(keys)], slowWork))
		})
	}
	return func() []harness.Attempt {
		wg.Wait()
		return attempts
	}
}

// ownedKeys requests each key through the first node and returns the keys whose
// answers name the given node as owner.
func (d *demo) ownedKeys(n *harness.Node) []string {
	var keys []string
	for i, key := range d.keys {
		a := d.send(d.fleet.Nodes[0].CallerAddr, newCall(fmt.Sprintf("who-%s-%d", n.Name, i), firstCustomer, key, 0))
		d.attempts = append(d.attempts, a)
		if a.Owner == n.CallerAddr {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		// The slow requests need a key. If the node's keys are not served, reportStop
		// reports the failed requests.
		return d.keys[:1]
	}
	return keys
}

// awaitExit waits for the node's process to exit and checks that its exit code is
// 0.
func (d *demo) awaitExit(n *harness.Node) error {
	select {
	case <-n.Node.Exited():
	case <-time.After(stopBound):
		return fmt.Errorf("%s still runs %s after the start of the stop", n.Name, stopBound)
	case <-d.ctx.Done():
		return errors.New("interrupted")
	}
	if code := n.Node.ExitCode(); code != 0 {
		return fmt.Errorf("%s exited with code %d:\n%s", n.Name, code, n.Node.LogTail(1000))
	}
	return nil
}

// reportStop prints the outcomes of a planned stop and checks that it interrupted
// no request.
func reportStop(n *harness.Node, took time.Duration, slow, load []harness.Attempt) error {
	fmt.Printf("   %s exited with code 0 after %s\n", n.Name, round(took))
	fmt.Printf("   %d slow requests in flight: %s\n", len(slow), countByClass(slow))
	fmt.Printf("   attempts of the load meanwhile: %s\n", countByClass(load))
	for _, a := range slow {
		if a.Class != harness.Answered {
			return fmt.Errorf("slow request %s at %s: %s %d %s", a.ID, a.Entry, a.Class, a.Code, a.Detail)
		}
	}
	return firstOfClass(load, harness.Incomplete, harness.Wrong, harness.Unknown)
}

// firstOfClass returns an error that describes the first attempt of the first
// given class that occurs, or nil.
func firstOfClass(attempts []harness.Attempt, classes ...harness.Class) error {
	for _, class := range classes {
		for _, a := range attempts {
			if a.Class == class {
				return fmt.Errorf("request %s (idempotency key %q) at %s, sent %s, ended %s: %s %d %s", a.ID, a.IdempotencyKey,
					a.Entry, a.Sent.Format(time.StampMicro), a.Ended.Format(time.StampMicro), a.Class, a.Code, a.Detail)
			}
		}
	}
	return nil
}

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"fulmarhinge/test/fault/harness"
)

// Requests that are in flight at a planned stop.
const (
	slowRequests = 12
	slowWork     = 1500 * time.Millisecond
	// slowHeadStart is how long they have run when the stop begins.
	slowHeadStart = 300 * time.Millisecond
)

// stopBySignal stops a node with SIGTERM.
func (d *demo) stopBySignal() error {
	n := d.fleet.Nodes[1]
	return d.stopPlanned(n, 2, func() error { return n.Node.Terminate() })
}

// stopByDrain stops a node by the command line.
func (d *demo) stopByDrain() error {
	n := d.fleet.Nodes[2]
	return d.stopPlanned(n, 3, func() error {
		_, err := d.cli.must("drain", n.Name)
		return err
	})
}

// stopPlanned stops a node under load and with slow requests in flight, and
// checks that none of them is cut. Then the VM is started again, still under
// load.
func (d *demo) stopPlanned(n *harness.Node, seed uint64, stop func() error) error {
	load := d.startLoad(seed)
	time.Sleep(loadSettle)
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

// stopUnderLoad stops a node and returns how long that took and what became of
// the slow requests.
func (d *demo) stopUnderLoad(n *harness.Node, stop func() error) (time.Duration, []harness.Attempt, error) {
	slow := d.startSlow(n)
	time.Sleep(slowHeadStart)
	d.fleet.Avoid(n)
	began := time.Now()
	err := stop()
	if err == nil {
		err = d.awaitExit(n)
	}
	took := time.Since(began)
	return took, slow(), err
}

// rejoin starts a stopped VM again and waits until it serves.
func (d *demo) rejoin(n *harness.Node) error {
	d.fleet.KillBackend(n)
	if err := d.startVM(n); err != nil {
		return err
	}
	began := time.Now()
	if err := d.await("all nodes serve", joinTimeout, func() error { return d.allServed(nodes) }); err != nil {
		return err
	}
	fmt.Printf("   %s serves again %s after its start; shards by node: %v\n", n.Name, round(time.Since(began)), d.shardCounts())
	return nil
}

// shardCounts lists how many shards each node serves.
func (d *demo) shardCounts() []int {
	var counts []int
	for _, n := range d.last.Nodes {
		counts = append(counts, n.Owned.Serving)
	}
	return counts
}

// startSlow sends slow requests for keys that the node owns, half of them
// through the node itself. The returned function waits for their ends.
func (d *demo) startSlow(n *harness.Node) func() []harness.Attempt {
	keys := d.keysOf(n)
	entries := []string{n.CallerAddr, d.fleet.Nodes[0].CallerAddr}
	attempts := make([]harness.Attempt, slowRequests)
	var wg sync.WaitGroup
	for i := range attempts {
		wg.Go(func() {
			id := fmt.Sprintf("slow-%s-%d", n.Name, i)
			attempts[i] = d.send(entries[i%len(entries)], call(id, shop, keys[i%len(keys)], slowWork))
		})
	}
	return func() []harness.Attempt {
		wg.Wait()
		return attempts
	}
}

// keysOf asks any node who owns each key now, and returns those of one node.
func (d *demo) keysOf(n *harness.Node) []string {
	var keys []string
	for i, key := range d.keys {
		a := d.send(d.fleet.Nodes[0].CallerAddr, call(fmt.Sprintf("who-%s-%d", n.Name, i), shop, key, 0))
		d.attempts = append(d.attempts, a)
		if a.Owner == n.CallerAddr {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		// The check of the slow requests fails then, and says so.
		return d.keys[:1]
	}
	return keys
}

// awaitExit waits until the node's process has ended with code 0.
func (d *demo) awaitExit(n *harness.Node) error {
	select {
	case <-n.Node.Exited():
	case <-time.After(stopBound):
		return fmt.Errorf("%s still runs %s after the stop began", n.Name, stopBound)
	case <-d.ctx.Done():
		return errors.New("interrupted")
	}
	if code := n.Node.ExitCode(); code != 0 {
		return fmt.Errorf("%s ended with code %d:\n%s", n.Name, code, n.Node.LogTail(1000))
	}
	return nil
}

// reportStop checks that nothing was cut off by the stop.
func reportStop(n *harness.Node, took time.Duration, slow, load []harness.Attempt) error {
	fmt.Printf("   %s ended with code 0 after %s\n", n.Name, round(took))
	fmt.Printf("   %d slow requests in flight: %s\n", len(slow), count(slow))
	fmt.Printf("   load meanwhile: %s\n", count(load))
	for _, a := range slow {
		if a.Class != harness.Answered {
			return fmt.Errorf("slow request %s at %s: %s %d %s", a.ID, a.Entry, a.Class, a.Code, a.Detail)
		}
	}
	return firstOf(load, harness.Cut, harness.Wrong, harness.Unknown)
}

// firstOf returns the first attempt of the first class that has any, as an
// error.
func firstOf(attempts []harness.Attempt, classes ...harness.Class) error {
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

package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/test/fault/harness"
)

// contractFor returns a contract whose limits the demo's load does not reach.
func contractFor(customer string) contract.Contract {
	return contract.Contract{Customer: customer, Total: contract.Terms{
		Rate: 5000, Burst: 1000, MaxWaiting: 500, MaxTime: contract.Duration(5 * time.Second),
	}}
}

func (d *demo) configure() error {
	if err := d.cli.mustSet("service", service, 0, d.fleet.Options.Service); err != nil {
		return err
	}
	route := config.Route{
		Name: "shops", PathPrefix: harness.PathPrefix, Service: service, CustomerHeader: "Customer", KeySegment: 2,
	}
	if err := d.cli.mustSet("route", route.Name, 0, route); err != nil {
		return err
	}
	return d.cli.mustSet("contract", firstCustomer, 0, contractFor(firstCustomer))
}

func (d *demo) awaitServing() error {
	began := time.Now()
	err := d.await("all nodes serve", joinTimeout, func() error { return d.checkAllServed(nodes) })
	if err != nil {
		return err
	}
	for _, n := range d.lastStatus.Nodes {
		fmt.Printf("   %s#%d serves %d shards\n", n.Name, n.Incarnation, n.Owned.Serving)
	}
	fmt.Printf("   all shards served after %s\n", time.Since(began).Round(time.Millisecond))
	return nil
}

// checkAllServed checks that the wanted number of nodes answer, admit requests
// and together serve all shards.
func (d *demo) checkAllServed(want int) error {
	if err := d.cli.json(&d.lastStatus, "status"); err != nil {
		return err
	}
	if len(d.lastStatus.Nodes) != want {
		return fmt.Errorf("%d nodes answer, want %d", len(d.lastStatus.Nodes), want)
	}
	serving := 0
	for _, n := range d.lastStatus.Nodes {
		serving += n.Owned.Serving
		if !n.Admitting || n.LeaseLeftMs <= 0 {
			return fmt.Errorf("%s does not admit requests: %s", n.Name, n.Reason)
		}
		if n.Owned.Serving == 0 {
			return fmt.Errorf("%s serves no shards yet", n.Name)
		}
	}
	if serving != shards {
		return fmt.Errorf("%d shards of %d are served", serving, shards)
	}
	return nil
}

// serveEverywhere requests every key through every node and checks that all
// answers name the same owner of a key.
func (d *demo) serveEverywhere() error {
	var wg sync.WaitGroup
	answers := make([][]harness.Attempt, len(d.fleet.Nodes))
	for i, n := range d.fleet.Nodes {
		wg.Go(func() {
			for _, key := range d.keys {
				id := fmt.Sprintf("all-%s-%s", n.Name, key)
				answers[i] = append(answers[i], d.send(n.CallerAddr, newCall(id, firstCustomer, key, 0)))
			}
		})
	}
	wg.Wait()
	for i := range answers {
		d.attempts = append(d.attempts, answers[i]...)
		for _, a := range answers[i] {
			if a.Class != harness.Answered {
				return fmt.Errorf("key %s at %s: %s %d %s", a.Key, a.Entry, a.Class, a.Code, a.Detail)
			}
			if known := d.owners[a.Key]; known != "" && known != a.Owner {
				return fmt.Errorf("key %s: different nodes name the owners %s and %s", a.Key, known, a.Owner)
			}
			d.owners[a.Key] = a.Owner
		}
	}
	fmt.Printf("   %d keys through %d nodes: %d complete answers, one owner per key\n",
		len(d.keys), len(d.fleet.Nodes), len(d.keys)*len(d.fleet.Nodes))
	return nil
}

func newCall(id, customer, key string, work time.Duration) harness.Call {
	return harness.Call{
		ID: id, Attempt: id, Customer: customer, Path: harness.PathPrefix + key, Key: key, Size: 1000, Work: work,
	}
}

func (d *demo) send(entry string, c harness.Call) harness.Attempt {
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	return harness.Send(ctx, d.client, entry, c)
}

// startLoad starts to send requests for all keys through all nodes that are not
// avoided; a fifth of the requests are non-idempotent.
func (d *demo) startLoad(seed uint64) *harness.Load {
	return harness.StartLoad(harness.LoadOptions{
		Seed: seed, Name: fmt.Sprintf("load%d-", seed), Keys: d.keys, Interval: loadInterval, Customer: firstCustomer,
		PathPrefix: harness.PathPrefix, WriteShare: 0.2, Work: work, MaxSize: 4000,
		Timeout: callTimeout, Entries: d.fleet.Entries,
	})
}

// countByClass returns the number of attempts by class and result code as text.
func countByClass(attempts []harness.Attempt) string {
	classes := map[string]int{}
	for _, a := range attempts {
		what := string(a.Class)
		if a.Code != 0 && a.Class != harness.Answered {
			what = fmt.Sprintf("%s (%d)", a.Class, a.Code)
		}
		classes[what]++
	}
	var parts []string
	for _, what := range slices.Sorted(maps.Keys(classes)) {
		parts = append(parts, fmt.Sprintf("%d %s", classes[what], what))
	}
	return strings.Join(parts, ", ")
}

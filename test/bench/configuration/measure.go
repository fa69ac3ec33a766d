package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

// Durations of the measurement.
const (
	// startTimeout limits the time until the first revision is in force on each
	// node.
	startTimeout = time.Minute
	// changeTimeout limits the wait for one change.
	changeTimeout = time.Minute
	// idleDuration is how long the platform reads are counted without changes.
	idleDuration = 10 * time.Second
	// pollInterval is the interval between two status calls, which is the resolution
	// of the measured times.
	pollInterval = 5 * time.Millisecond
	// callTimeout limits one status call to one node.
	callTimeout = time.Second
)

// The burst of concurrent changes.
const (
	burstChanges   = 50
	burstOperators = 5
)

// bench is a running fleet with an operator.
type bench struct {
	fleet     *harness.Fleet
	members   []cluster.Member
	nodes     *operator.Client
	store     *countingStore
	editor    *config.Editor
	editCount int
}

// measure measures single changes and a burst on a fleet of n nodes.
func measure(binaries *harness.Binaries, n, changes int) (Row, error) {
	dir, err := os.MkdirTemp("", "configuration")
	if err != nil {
		return Row{}, err
	}
	defer os.RemoveAll(dir)
	f, err := harness.Start(harness.Options{
		Dir: dir, Binaries: binaries, Nodes: n, Slots: 20,
		Zones:     []string{"zone-1", "zone-2", "zone-3"},
		Service:   config.Service{Name: "painel", DividedByKey: true, Shards: 16 * n},
		Contracts: []contract.Contract{newContract("first")},
	})
	defer f.Stop()
	if err != nil {
		return Row{}, err
	}
	b := newBench(f)
	if _, err := b.awaitRevision(1, startTimeout); err != nil {
		return Row{}, err
	}
	row := Row{Nodes: n, Changes: changes}
	if err := b.measureSingle(&row); err != nil {
		return Row{}, err
	}
	return row, b.measureBurst(&row)
}

// newBench returns a bench with the clients of an operator.
func newBench(f *harness.Fleet) *bench {
	b := &bench{fleet: f, nodes: operator.NewClient(callTimeout), store: &countingStore{Store: f.Store()}}
	b.editor = config.NewEditor(b.store)
	for _, n := range f.Nodes {
		ref := cluster.MemberRef{Name: n.Name}
		b.members = append(b.members, cluster.Member{MemberRef: ref, OperatorAddr: n.OperatorAddr})
	}
	return b
}

// measureSingle applies changes one at a time and waits until each is in force.
func (b *bench) measureSingle(row *Row) error {
	idleRate, err := b.idleReadRate()
	if err != nil {
		return err
	}
	before, err := b.fleet.PlatformCounts()
	if err != nil {
		return err
	}
	began := time.Now()
	var times []time.Duration
	for range row.Changes {
		a, err := b.editor.Apply(context.Background(), config.AnyRevision, b.nextEdit())
		if err != nil {
			return err
		}
		took, err := b.awaitRevision(a.Revision, changeTimeout)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	after, err := b.fleet.PlatformCounts()
	if err != nil {
		return err
	}
	changes := float64(row.Changes)
	all := float64(reads(after) - reads(before))
	slices.Sort(times)
	row.MedianMs = milliseconds(times[len(times)/2])
	row.MaxMs = milliseconds(times[len(times)-1])
	row.EditReads = float64(b.store.reads.Load()) / changes
	row.EditWrites = float64(b.store.writes.Load()) / changes
	row.FleetReads = (all-idleRate*time.Since(began).Seconds())/changes - row.EditReads
	return nil
}

// measureBurst applies burstChanges changes by burstOperators concurrent operators.
func (b *bench) measureBurst(row *Row) error {
	began := time.Now()
	accepted := make(chan config.Accepted, burstChanges)
	errs := make(chan error, burstOperators)
	for range burstOperators {
		edits := make([]config.Edit, burstChanges/burstOperators)
		for i := range edits {
			edits[i] = b.nextEdit()
		}
		go func() { errs <- applyAll(config.NewEditor(b.fleet.Store()), edits, accepted) }()
	}
	for range burstOperators {
		if err := <-errs; err != nil {
			return err
		}
	}
	close(accepted)
	newest := uint64(0)
	for a := range accepted {
		newest = max(newest, a.Revision)
	}
	_, err := b.awaitRevision(newest, changeTimeout)
	row.BurstMs = milliseconds(time.Since(began))
	return err
}

// applyAll applies the edits of one operator.
func applyAll(e *config.Editor, edits []config.Edit, accepted chan<- config.Accepted) error {
	for _, edit := range edits {
		a, err := e.Apply(context.Background(), config.AnyRevision, edit)
		if err != nil {
			return err
		}
		accepted <- a
	}
	return nil
}

// nextEdit returns an edit that adds a contract which no other edit changes.
func (b *bench) nextEdit() config.Edit {
	b.editCount++
	return config.Contracts.Set(0, newContract(fmt.Sprintf("customer-%d", b.editCount)))
}

func newContract(customer string) contract.Contract {
	total := contract.Terms{Rate: 1000, Burst: 100, MaxWaiting: 100, MaxTime: contract.Duration(time.Second)}
	return contract.Contract{Customer: customer, Total: total}
}

// awaitRevision waits until the revision is in force on each node, and returns how
// long that took.
func (b *bench) awaitRevision(revision uint64, timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	pending := b.members
	for {
		var lagging []cluster.Member
		for _, a := range b.nodes.StatusAll(context.Background(), pending) {
			if a.Err != nil || a.Value.RevisionInForce < revision {
				lagging = append(lagging, a.Member)
			}
		}
		took := time.Since(began)
		if len(lagging) == 0 {
			return took, nil
		}
		if took > timeout {
			return took, fmt.Errorf("revision %d is not in force on %d nodes after %s", revision, len(lagging), timeout)
		}
		pending = lagging
		time.Sleep(pollInterval)
	}
}

// idleReadRate returns the platform reads per second without changes.
func (b *bench) idleReadRate() (float64, error) {
	before, err := b.fleet.PlatformCounts()
	if err != nil {
		return 0, err
	}
	time.Sleep(idleDuration)
	after, err := b.fleet.PlatformCounts()
	return float64(reads(after)-reads(before)) / idleDuration.Seconds(), err
}

func reads(c platform.Counts) uint64 { return c.Get + c.List }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// countingStore counts the calls of an operator, which may be concurrent.
type countingStore struct {
	platform.Store
	reads, writes atomic.Int64
}

// Get implements platform.Store.
func (c *countingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	c.reads.Add(1)
	return c.Store.Get(ctx, key)
}

// Put implements platform.Store.
func (c *countingStore) Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	c.writes.Add(1)
	return c.Store.Put(ctx, key, expected, value)
}

// Delete implements platform.Store.
func (c *countingStore) Delete(ctx context.Context, key string, expected uint64) error {
	c.writes.Add(1)
	return c.Store.Delete(ctx, key, expected)
}

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

// Times of the measurement.
const (
	// startTimeout is how long a fleet may take until each node has the first
	// revision in force.
	startTimeout = time.Minute
	// changeTimeout bounds the wait for one change.
	changeTimeout = time.Minute
	// restTime is how long the fleet's reads are counted without a change.
	restTime = 10 * time.Second
	// poll is the time between two looks, and so the resolution of the times.
	poll = 5 * time.Millisecond
	// callTimeout bounds one look at one node.
	callTimeout = time.Second
)

// The burst of changes.
const (
	burstChanges   = 50
	burstOperators = 5
)

// bench is one running fleet with its operator.
type bench struct {
	fleet   *harness.Fleet
	members []cluster.Member
	nodes   *operator.Client
	store   *counted
	editor  *config.Editor
	edits   int
}

// measure runs all changes on a fleet of n nodes.
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
	if err := b.single(&row); err != nil {
		return Row{}, err
	}
	return row, b.burst(&row)
}

// newBench returns the operator's side of a fleet.
func newBench(f *harness.Fleet) *bench {
	b := &bench{fleet: f, nodes: operator.NewClient(callTimeout), store: &counted{Store: f.Store()}}
	b.editor = config.NewEditor(b.store)
	for _, n := range f.Nodes {
		ref := cluster.MemberRef{Name: n.Name}
		b.members = append(b.members, cluster.Member{MemberRef: ref, OperatorAddr: n.OperatorAddr})
	}
	return b
}

// single makes one change after another, each once the last is in force.
func (b *bench) single(row *Row) error {
	rest, err := b.readsAtRest()
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
	row.SpreadReads = (all-rest*time.Since(began).Seconds())/changes - row.EditReads
	return nil
}

// burst makes fifty changes by five operators at once.
func (b *bench) burst(row *Row) error {
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

// applyAll makes the edits of one operator.
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

// nextEdit adds a contract that no other edit touches.
func (b *bench) nextEdit() config.Edit {
	b.edits++
	return config.Contracts.Set(0, newContract(fmt.Sprintf("customer-%d", b.edits)))
}

func newContract(customer string) contract.Contract {
	total := contract.Terms{Rate: 1000, Burst: 100, MaxWaiting: 100, MaxTime: contract.Duration(time.Second)}
	return contract.Contract{Customer: customer, Total: total}
}

// awaitRevision waits until each node has the revision in force.
func (b *bench) awaitRevision(revision uint64, timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	open := b.members
	for {
		var lagging []cluster.Member
		for _, a := range b.nodes.StatusAll(context.Background(), open) {
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
		open = lagging
		time.Sleep(poll)
	}
}

// readsAtRest returns the platform's reads a second without a change.
func (b *bench) readsAtRest() (float64, error) {
	before, err := b.fleet.PlatformCounts()
	if err != nil {
		return 0, err
	}
	time.Sleep(restTime)
	after, err := b.fleet.PlatformCounts()
	return float64(reads(after)-reads(before)) / restTime.Seconds(), err
}

func reads(c platform.Counts) uint64 { return c.Get + c.List }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// counted counts the operator's calls, of which some run at the same time.
type counted struct {
	platform.Store
	reads, writes atomic.Int64
}

// Get implements platform.Store.
func (c *counted) Get(ctx context.Context, key string) (platform.Object, error) {
	c.reads.Add(1)
	return c.Store.Get(ctx, key)
}

// Put implements platform.Store.
func (c *counted) Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	c.writes.Add(1)
	return c.Store.Put(ctx, key, expected, value)
}

// Delete implements platform.Store.
func (c *counted) Delete(ctx context.Context, key string, expected uint64) error {
	c.writes.Add(1)
	return c.Store.Delete(ctx, key, expected)
}

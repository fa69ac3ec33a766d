package configuration

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/platform"
)

// distinctEdit returns an edit that conflicts with that of no other i.
func distinctEdit(i int) config.Edit {
	return config.Contracts.Set(0, contractWithRate(fmt.Sprintf("customer-%d", i), 10))
}

func TestEachChangeIsInForceEverywhereInTime(t *testing.T) {
	f := start(t)
	before, err := f.PlatformCounts()
	f.must(err)
	const changes = 20
	var durations []time.Duration
	for i := range changes {
		durations = append(durations, f.awaitRevision(f.apply(distinctEdit(i))))
	}
	after, err := f.PlatformCounts()
	f.must(err)
	slices.Sort(durations)
	t.Logf("%d nodes, %d changes: in force everywhere after median %s, max %s", nodeCount, changes, durations[changes/2], durations[changes-1])
	t.Logf("platform calls including the operator's: %d reads, %d writes",
		after.Get+after.List-before.Get-before.List, after.Put+after.Delete-before.Put-before.Delete)
}

func TestFiftyChangesAtOnceWhileRevisionsNeverGoBack(t *testing.T) {
	f := start(t)
	first := f.apply(distinctEdit(-1))
	f.awaitRevision(first)
	const changes = 50
	const operators = 5
	errs := make(chan error, changes)
	for o := range operators {
		go func() {
			e := config.NewEditor(f.Store())
			for i := range changes / operators {
				_, err := e.Apply(context.Background(), config.AnyRevision, distinctEdit(o*changes+i))
				errs <- err
			}
		}()
	}
	newest := map[string]uint64{}
	pending := changes
	took := f.await("50 changes", time.Minute, func() bool {
		for {
			select {
			case err := <-errs:
				f.must(err)
				pending--
				continue
			default:
			}
			break
		}
		done := 0
		for name, s := range f.statuses() {
			if s.RevisionInForce < newest[name] {
				t.Fatalf("%s went from revision %d to %d", name, newest[name], s.RevisionInForce)
			}
			newest[name] = s.RevisionInForce
			if s.RevisionInForce == first+changes {
				done++
			}
		}
		return pending == 0 && done == nodeCount
	})
	t.Logf("%d changes by %d operators in force on all %d nodes after %s", changes, operators, nodeCount, took)
}

func TestWatchThatSkipsAndRepeats(t *testing.T) {
	f := start(t)
	for i, s := range []platform.Switches{{WatchRepeat: true}, {WatchSkip: 1000}} {
		f.switchPlatform(s)
		t.Logf("switches %+v: in force everywhere after %s", s, f.awaitRevision(f.apply(distinctEdit(i))))
	}
}

func TestOutageBetweenAcceptAndSpread(t *testing.T) {
	f := start(t)
	// No watch reports the change, and the platform is down right after it.
	f.switchPlatform(platform.Switches{WatchSkip: 1000})
	revision := f.apply(distinctEdit(1))
	f.switchPlatform(platform.Switches{Down: true})
	const outage = 10 * time.Second
	end := time.Now().Add(outage)
	inForce := 0
	f.await("the outage ends", 2*outage, func() bool {
		inForce = 0
		for name, s := range f.statuses() {
			if !s.Admitting {
				t.Fatalf("%s refuses requests during the outage: %s", name, s.Reason)
			}
			if s.RevisionInForce >= revision {
				inForce++
			}
		}
		return time.Now().After(end)
	})
	t.Logf("%d of %d nodes had the change in force at the end of the outage", inForce, nodeCount)
	f.switchPlatform(platform.Switches{})
	t.Logf("in force everywhere %s after the outage", f.awaitRevision(revision))
}

func TestNodeCutOffDuringAChange(t *testing.T) {
	f := start(t)
	isolated, others := f.Nodes[0], f.Nodes[1:]
	f.must(f.Cut(isolated.IP, "*", true))
	revision := f.apply(distinctEdit(1))
	took := f.awaitRevision(revision, others...)
	t.Logf("in force on the others after %s", took)
	f.await("the cut-off node stops serving", inForceBound, func() bool {
		s, ok := f.statuses(isolated)[isolated.Name]
		return ok && s.RevisionInForce < revision && s.LeaseLeftMs == 0
	})
	f.must(f.HealAll())
	healed := f.await("the node has caught up", 3*inForceBound, func() bool {
		s, ok := f.statuses(isolated)[isolated.Name]
		return ok && s.RevisionInForce >= revision && s.Admitting
	})
	t.Logf("caught up %s after the cut was healed", healed)
}

func TestPausedAndRestartedNodesReturnWithTheNewRevision(t *testing.T) {
	f := start(t)
	paused, restarted := f.Nodes[1], f.Nodes[2]
	pausedAt := time.Now()
	f.must(paused.Node.Pause())
	f.KillNode(restarted)
	revision := f.apply(distinctEdit(1))
	others := append(slices.Clone(f.Nodes[:1]), f.Nodes[3:]...)
	f.awaitRevision(revision, others...)
	// The pause is longer than the lease and than inForceBound.
	f.await("the paused node is evicted", 3*inForceBound, func() bool {
		m, err := operator.Member(context.Background(), f.Store(), paused.Name)
		return err == nil && m.State == cluster.StateEvicted && time.Since(pausedAt) > inForceBound
	})
	f.must(paused.Node.Resume())
	f.must(f.StartNode(restarted))
	took := f.await("both have caught up", 3*inForceBound, func() bool {
		caught := 0
		for _, s := range f.statuses(paused, restarted) {
			if s.RevisionInForce >= revision && s.Admitting {
				caught++
			}
			if s.RevisionInForce < revision && s.LeaseLeftMs > 0 {
				t.Fatalf("%s holds a lease with revision %d in force", s.Name, s.RevisionInForce)
			}
		}
		return caught == 2
	})
	t.Logf("caught up %s after they returned", took)
}

package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/platform"
)

// hookedStore is a store that calls a hook before each put.
type hookedStore struct {
	*platform.Memory
	beforePut func(key string)
}

// Put calls the hook and then Memory.Put.
func (h *hookedStore) Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	if h.beforePut != nil {
		h.beforePut(key)
	}
	return h.Memory.Put(ctx, key, expected, value)
}

// terms returns valid terms with the given rate.
func terms(rate float64) contract.Terms {
	return contract.Terms{Rate: rate, Burst: 10, MaxWaiting: 5, MaxTime: contract.Duration(time.Second)}
}

// contractOf returns a valid contract with the given rate.
func contractOf(customer string, rate float64) contract.Contract {
	return contract.Contract{Customer: customer, Total: terms(rate)}
}

// newFastEditor returns an editor with a negligible backoff.
func newFastEditor(s platform.Store) *Editor {
	e := NewEditor(s)
	e.backoff = platform.Backoff{Base: time.Microsecond, Max: time.Millisecond, Random: func() float64 { return 0 }}
	return e
}

// mustApply makes a change and fails the test if it is not accepted.
func mustApply(t *testing.T, e *Editor, edit Edit) Accepted {
	t.Helper()
	a, err := e.Apply(t.Context(), AnyRevision, edit)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// mustLoad loads the configuration and fails the test if it can't.
func mustLoad(t *testing.T, e *Editor) Snapshot {
	t.Helper()
	s, err := e.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// countPartObjects returns the number of part objects in the platform.
func countPartObjects(t *testing.T, m *platform.Memory) int {
	t.Helper()
	parts, err := m.List(t.Context(), PartPrefix)
	if err != nil {
		t.Fatal(err)
	}
	return len(parts)
}

func TestEditorStartsWithEmptyStore(t *testing.T) {
	m := platform.NewMemory()
	e := newFastEditor(m)
	if s := mustLoad(t, e); s.Config.Revision != 0 || s.Config.Contracts == nil {
		t.Fatalf("snapshot %+v", s)
	}
	a := mustApply(t, e, Contracts.Set(0, contractOf("padaria-1", 5)))
	s := mustLoad(t, newFastEditor(m))
	if a.Revision != 1 || s.Config.Revision != 1 || s.Head.Accepted != a {
		t.Fatalf("accepted %+v, loaded %+v", a, s.Head)
	}
	if s.Config.Contracts["padaria-1"].Total.Rate != 5 || s.Config.Versions.Contracts["padaria-1"] != 1 {
		t.Fatalf("config %+v", s.Config)
	}
}

func TestContractChangeWritesOnePartAndHead(t *testing.T) {
	m := platform.NewMemory()
	e := newFastEditor(m)
	for i := range 20 {
		mustApply(t, e, Contracts.Set(0, contractOf(fmt.Sprintf("customer-%d", i), 5)))
	}
	before := m.Counts()
	mustApply(t, e, Contracts.Set(1, contractOf("customer-0", 6)))
	after := m.Counts()
	if puts := after.Put - before.Put; puts != 2 {
		t.Errorf("%d puts, expected 2", puts)
	}
}

func TestNoOpEditCreatesNoRevision(t *testing.T) {
	e := newFastEditor(platform.NewMemory())
	first := mustApply(t, e, Contracts.Set(0, contractOf("c", 5)))
	if again := mustApply(t, e, Contracts.Set(1, contractOf("c", 5))); again != first {
		t.Errorf("accepted %+v, expected %+v", again, first)
	}
}

func TestStaleEditGetsConflictWithBothVersions(t *testing.T) {
	e := newFastEditor(platform.NewMemory())
	mustApply(t, e, Contracts.Set(0, contractOf("c", 5)))
	mustApply(t, e, Contracts.Set(0, contractOf("other", 5)))
	mustApply(t, e, Contracts.Set(1, contractOf("c", 6)))
	_, err := e.Apply(t.Context(), AnyRevision, Contracts.Set(1, contractOf("c", 7)))
	var conflict *ConflictError
	if !ErrConflict.Has(err) || !errors.As(err, &conflict) {
		t.Fatalf("error %v, expected a conflict", err)
	}
	if *conflict != (ConflictError{Item: "contract c", Expected: 1, Current: 3}) {
		t.Errorf("conflict %+v", conflict)
	}
	if rate := mustLoad(t, e).Config.Contracts["c"].Total.Rate; rate != 6 {
		t.Errorf("rate %v, expected the first operator's 6", rate)
	}
	_, err = e.Apply(t.Context(), 2, Contracts.Delete(3, "c"))
	if !errors.As(err, &conflict) || conflict.Expected != 2 || conflict.Current != 3 {
		t.Errorf("error %v, expected a conflict of revisions 2 and 3", err)
	}
}

func TestConcurrentChangesOfDifferentItemsAreBothKept(t *testing.T) {
	h := &hookedStore{Memory: platform.NewMemory()}
	first, second := newFastEditor(h), newFastEditor(h.Memory)
	raced := false
	h.beforePut = func(key string) {
		if key == cluster.ConfigHeadKey && !raced {
			raced = true
			mustApply(t, second, Contracts.Set(0, contractOf("b", 2)))
		}
	}
	a := mustApply(t, first, Contracts.Set(0, contractOf("a", 1)))
	s := mustLoad(t, second)
	if !raced || a.Revision != 2 || len(s.Config.Contracts) != 2 {
		t.Fatalf("accepted %+v, contracts %v", a, s.Config.Contracts)
	}
	if n, known := countPartObjects(t, h.Memory), len(s.Head.Parts)+len(s.Head.Superseded); n != known {
		t.Errorf("%d part objects, the head lists %d", n, known)
	}
}

func TestConcurrentChangesOfOneContractConflict(t *testing.T) {
	h := &hookedStore{Memory: platform.NewMemory()}
	first, second := newFastEditor(h), newFastEditor(h.Memory)
	mustApply(t, second, Contracts.Set(0, contractOf("c", 1)))
	raced := false
	h.beforePut = func(key string) {
		if key == cluster.ConfigHeadKey && !raced {
			raced = true
			mustApply(t, second, Contracts.Set(1, contractOf("c", 2)))
		}
	}
	_, err := first.Apply(t.Context(), AnyRevision, Contracts.Set(1, contractOf("c", 3)))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current != 2 {
		t.Fatalf("error %v, expected a conflict with version 2", err)
	}
	s := mustLoad(t, second)
	if s.Config.Revision != 2 || s.Config.Contracts["c"].Total.Rate != 2 {
		t.Errorf("config %+v", s.Config)
	}
}

func TestLostAnswers(t *testing.T) {
	cases := []struct {
		name string
		// faults are set right before the put of the head.
		faults platform.Switches
		// changesAfter is the number of other changes made between the lost
		// answer and the next read of the head.
		changesAfter int
	}{
		{name: "answer lost after the head took effect", faults: platform.Switches{LoseResponses: 1}},
		{name: "request lost before the head took effect", faults: platform.Switches{LoseRequests: 1}},
		{name: "request lost, then answer lost", faults: platform.Switches{LoseRequests: 1, LoseResponses: 1}},
		{name: "answer lost, then changed by others", faults: platform.Switches{LoseResponses: 1}, changesAfter: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &hookedStore{Memory: platform.NewMemory()}
			e, other := newFastEditor(h), newFastEditor(h.Memory)
			done := false
			h.beforePut = func(key string) {
				if key == cluster.ConfigHeadKey && !done {
					done = true
					h.SetSwitches(c.faults)
				}
			}
			e.backoff.Random = func() float64 {
				for ; c.changesAfter > 0; c.changesAfter-- {
					mustApply(t, other, Contracts.Set(0, contractOf(fmt.Sprintf("later-%d", c.changesAfter), 1)))
				}
				return 0
			}
			a := mustApply(t, e, Contracts.Set(0, contractOf("c", 5)))
			s := mustLoad(t, other)
			if a.Revision != 1 || s.Config.Versions.Contracts["c"] != 1 {
				t.Fatalf("accepted %+v, versions %+v", a, s.Config.Versions)
			}
			if n := countPartObjects(t, h.Memory); n < len(s.Head.Parts) {
				t.Errorf("%d part objects for %d parts", n, len(s.Head.Parts))
			}
		})
	}
}

func TestUnresolvedLostAnswerIsUnknown(t *testing.T) {
	h := &hookedStore{Memory: platform.NewMemory()}
	e := newFastEditor(h)
	ctx, cancel := context.WithCancel(t.Context())
	h.beforePut = func(key string) {
		if key == cluster.ConfigHeadKey {
			h.SetSwitches(platform.Switches{LoseResponses: 1})
		}
	}
	e.backoff.Random = func() float64 { cancel(); return 0 }
	_, err := e.Apply(ctx, AnyRevision, Contracts.Set(0, contractOf("c", 5)))
	var unknown *UnknownError
	if !ErrUnknown.Has(err) || !errors.As(err, &unknown) || unknown.Revision != 1 || unknown.ChangeID == "" {
		t.Fatalf("error %v, expected outcome unknown", err)
	}
	if mustLoad(t, newFastEditor(h.Memory)).Config.Revision != 1 {
		t.Error("a change of unknown outcome must not be undone")
	}
}

func TestOutageBetweenPartAndHeadWrites(t *testing.T) {
	h := &hookedStore{Memory: platform.NewMemory()}
	e, other := newFastEditor(h), newFastEditor(h.Memory)
	mustApply(t, other, Contracts.Set(0, contractOf("c", 1)))
	h.beforePut = func(key string) {
		h.SetSwitches(platform.Switches{Down: key == cluster.ConfigHeadKey})
	}
	_, err := e.Apply(t.Context(), AnyRevision, Contracts.Set(1, contractOf("c", 2)))
	if !platform.ErrUnavailable.Has(err) {
		t.Fatalf("error %v, expected unavailable", err)
	}
	h.SetSwitches(platform.Switches{})
	s := mustLoad(t, other)
	if s.Config.Revision != 1 || s.Config.Contracts["c"].Total.Rate != 1 {
		t.Fatalf("incomplete change is visible: %+v", s.Config)
	}
	if n := countPartObjects(t, h.Memory); n != 2 {
		t.Fatalf("%d part objects, expected the one in use and the unused one", n)
	}
	if n, err := other.Sweep(t.Context()); err != nil || n != 1 {
		t.Fatalf("swept %d, %v", n, err)
	}
	if after := mustLoad(t, newFastEditor(h.Memory)); after.Config.Contracts["c"].Total.Rate != 1 || after.Config.Revision != 1 {
		t.Errorf("sweep changed the configuration: %+v", after.Config)
	}
}

func TestChangeIsRetriedAfterConcurrentSweep(t *testing.T) {
	h := &hookedStore{Memory: platform.NewMemory()}
	e, other := newFastEditor(h), newFastEditor(h.Memory)
	mustApply(t, other, Contracts.Set(0, contractOf("c", 1)))
	swept := 0
	h.beforePut = func(key string) {
		if key != cluster.ConfigHeadKey || swept > 0 {
			return
		}
		n, err := other.Sweep(t.Context())
		if err != nil {
			t.Error(err)
		}
		swept = n
	}
	a := mustApply(t, e, Contracts.Set(1, contractOf("c", 2)))
	s := mustLoad(t, newFastEditor(h.Memory))
	if swept != 1 || a.Revision != 2 || s.Config.Contracts["c"].Total.Rate != 2 {
		t.Errorf("swept %d, accepted %+v, config %+v", swept, a, s.Config)
	}
}

func TestSupersededPartsAreRemoved(t *testing.T) {
	m := platform.NewMemory()
	e := newFastEditor(m)
	version := uint64(0)
	for i := range 3 * supersededRetentionRevisions {
		version = mustApply(t, e, Contracts.Set(version, contractOf("c", float64(i+1)))).Revision
	}
	if n := countPartObjects(t, m); n > supersededRetentionRevisions+1 {
		t.Errorf("%d part objects, expected at most %d", n, supersededRetentionRevisions+1)
	}
}

func TestAllAppliesSeveralEditsAsOneChange(t *testing.T) {
	e := newFastEditor(platform.NewMemory())
	painel := Service{Name: "painel", DividedByKey: true, Shards: 16}
	route := Route{Name: "painel", PathPrefix: "/painel/", Service: "painel", CustomerHeader: "Customer", KeySegment: 2}
	a := mustApply(t, e, All(Routes.Set(0, route), Services.Set(0, painel), Contracts.Set(0, contractOf("c", 1))))
	s := mustLoad(t, e)
	if a.Revision != 1 || len(s.Config.Services)+len(s.Config.Routes)+len(s.Config.Contracts) != 3 {
		t.Fatalf("accepted %+v, config %+v", a, s.Config)
	}
	mustApply(t, e, All(Routes.Delete(1, "painel"), Services.Delete(1, "painel")))
	painel.Shards = 32
	if _, err := e.Apply(t.Context(), AnyRevision, Services.Set(0, painel)); !ErrInvalid.Has(err) {
		t.Errorf("error %v, expected ErrInvalid: a recreated service must keep its number of shards", err)
	}
}

package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarhinge/internal/platform"
)

// Seeds and sizes of the property tests.
const (
	propertySeed  = 20261204
	propertyRuns  = 400
	scriptLength  = 120
	patience      = 5
	operatorCount = 3
)

// step is what happens at one call of a script.
type step int

// The steps of a script.
const (
	stepNone step = iota
	stepLoseAnswer
	stepLoseRequest
	stepDelayRequest
	stepGoDown
	stepComeBack
	stepOtherChange
	stepSweep
	stepCount
)

// world runs a script of faults and racing operators against one store.
type world struct {
	*platform.Memory
	script []step
	depth  int
	// values numbers the changes, so that each one is recognised by its rate.
	values int
	// accepted has the revision of each change that was reported as accepted,
	// and refused the changes that were reported as not made.
	accepted map[int]Accepted
	refused  map[int]bool
	// seen has the change id of each revision and the revision of each value.
	seenIDs    map[uint64]string
	seenValues map[int]uint64
	newest     uint64
	fault      error
}

// next takes one step off the script.
func (w *world) next() step {
	if len(w.script) == 0 {
		return stepNone
	}
	s := w.script[0]
	w.script = w.script[1:]
	return s
}

// act carries out one step.
func (w *world) act(s step) {
	switch s {
	case stepLoseAnswer:
		w.Set(platform.Switches{LoseAnswers: 1})
	case stepLoseRequest:
		w.Set(platform.Switches{LoseRequests: 1})
	case stepDelayRequest:
		w.Set(platform.Switches{LateRequests: 1})
	case stepGoDown:
		w.Set(platform.Switches{Down: true})
	case stepComeBack:
		w.Set(platform.Switches{})
	case stepOtherChange:
		w.change()
	case stepSweep:
		_, _ = quickEditor(w).Sweep(context.Background())
	}
}

// Put takes a step, puts, and checks what is visible after it.
func (w *world) Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	w.act(w.next())
	version, err := w.Memory.Put(ctx, key, expected, value)
	w.observe()
	return version, err
}

// Get takes a step, then gets.
func (w *world) Get(ctx context.Context, key string) (platform.Object, error) {
	w.act(w.next())
	return w.Memory.Get(ctx, key)
}

// change lets one operator edit one of a few contracts.
func (w *world) change() {
	if w.depth == operatorCount {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	w.values++
	value := w.values
	customer := fmt.Sprintf("customer-%d", value%2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := quickEditor(w)
	// One call at a time makes a script mean the same at each run.
	e.parallel = 1
	waits := 0
	e.backoff.Random = func() float64 {
		if waits++; waits == patience {
			cancel()
		}
		return 0
	}
	s, err := e.Load(ctx)
	if err != nil {
		return
	}
	edit := Contracts.Set(s.Config.Versions.Contracts[customer], contractOf(customer, float64(value)))
	a, err := e.Apply(ctx, AnyRevision, edit)
	switch {
	case err == nil:
		w.accepted[value] = a
	case !ErrUnknown.Has(err):
		w.refused[value] = true
	}
}

// observe reads the configuration past all faults, and checks that it is whole
// and went forward.
func (w *world) observe() {
	switches := w.Switches()
	w.Set(platform.Switches{})
	defer w.Set(switches)
	s, missing, err := quickEditor(w.Memory).loadOnce(context.Background())
	switch {
	case err != nil:
		w.fail("load: %v", err)
	case len(missing) > 0:
		w.fail("revision %d lacks %v", s.Head.Revision, missing)
	case s.Head.Revision < w.newest || s.Head.Revision > w.newest+1:
		w.fail("revision went from %d to %d", w.newest, s.Head.Revision)
	case s.Head.Revision == 0:
	case w.seenIDs[s.Head.Revision] != "" && w.seenIDs[s.Head.Revision] != s.Head.ChangeID:
		w.fail("revision %d has two changes", s.Head.Revision)
	default:
		w.newest = s.Head.Revision
		w.seenIDs[w.newest] = s.Head.ChangeID
		for name, ct := range s.Config.Contracts {
			w.seenValues[int(ct.Total.Rate)] = s.Config.Versions.Contracts[name]
		}
	}
}

// fail keeps the first fault.
func (w *world) fail(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format, args...)
	}
}

// judge compares what the operators were told with what was visible.
func (w *world) judge() {
	for value, a := range w.accepted {
		if w.seenIDs[a.Revision] != a.ChangeID || w.seenValues[value] != a.Revision {
			w.fail("change %d was accepted as %+v, seen as revision %d", value, a, w.seenValues[value])
		}
	}
	for value := range w.refused {
		if revision, ok := w.seenValues[value]; ok {
			w.fail("change %d was refused, and is in force since revision %d", value, revision)
		}
	}
}

// runScript runs a whole script, then brings the platform back and makes one
// more change, which must be accepted.
func runScript(raw []int) (*world, error) {
	w := &world{
		Memory:     platform.NewMemory(),
		accepted:   map[int]Accepted{},
		refused:    map[int]bool{},
		seenIDs:    map[uint64]string{},
		seenValues: map[int]uint64{},
	}
	for _, r := range raw {
		w.script = append(w.script, step(r))
	}
	for len(w.script) > 0 && w.fault == nil {
		if s := w.next(); s == stepOtherChange || s == stepNone {
			w.change()
		} else {
			w.act(s)
		}
	}
	w.Set(platform.Switches{})
	w.change()
	if _, ok := w.accepted[w.values]; !ok {
		w.fail("a change after all faults was not accepted")
	}
	w.judge()
	return w, w.fault
}

func TestChangesAreNeitherLostNorDoubledUnderFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertyRuns
	parameters.MinSize = scriptLength
	parameters.MaxSize = scriptLength + 1
	properties := gopter.NewProperties(parameters)
	accepted, refused, total := 0, 0, 0
	properties.Property("what operators are told is what is in force", prop.ForAll(
		func(raw []int) (string, error) {
			w, err := runScript(raw)
			accepted += len(w.accepted)
			refused += len(w.refused)
			total += w.values
			if err != nil {
				return err.Error(), nil
			}
			return "", nil
		},
		gen.SliceOf(gen.IntRange(0, int(stepCount)-1)),
	))
	properties.TestingRun(t)
	t.Logf("%d changes: %d accepted, %d refused", total, accepted, refused)
	if accepted == 0 || refused == 0 || accepted+refused == total {
		t.Errorf("the scripts must lead to each outcome")
	}
}

func TestFiftyRacingChangesAreFiftyRevisions(t *testing.T) {
	m := platform.NewMemory()
	const changes = 50
	done := make(chan error)
	for i := range changes {
		go func() {
			e := NewEditor(m)
			e.backoff = platform.Backoff{Base: time.Millisecond, Max: 100 * time.Millisecond, Random: rand.Float64}
			_, err := e.Apply(t.Context(), AnyRevision, Contracts.Set(0, contractOf(fmt.Sprintf("c-%d", i), 1)))
			done <- err
		}()
	}
	for range changes {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	s := mustLoad(t, quickEditor(m))
	if s.Config.Revision != changes || len(s.Config.Contracts) != changes {
		t.Errorf("revision %d, %d contracts, expected %d", s.Config.Revision, len(s.Config.Contracts), changes)
	}
}

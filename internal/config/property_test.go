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

// Seed and sizes of the property test.
const (
	propertySeed     = 20261204
	propertyRuns     = 400
	scriptSteps      = 120
	maxBackoffWaits  = 5
	maxNestedChanges = 3
)

// faultStep is an event that a script injects at one platform call.
type faultStep int

// Steps of a script.
const (
	stepNone faultStep = iota
	stepLoseAnswer
	stepLoseRequest
	stepDelayRequest
	stepOutageStart
	stepOutageEnd
	stepChange
	stepSweep
	stepCount
)

// faultModel runs a script of faults and concurrent changes against one store.
type faultModel struct {
	*platform.Memory
	script        []faultStep
	nestedChanges int
	// lastValue numbers the changes; each change uses its number as the rate,
	// which identifies it.
	lastValue int
	// accepted holds the result of each change that was reported as accepted, by
	// its number; rejected holds the changes that were reported as not made.
	accepted map[int]Accepted
	rejected map[int]bool
	// observedIDs holds the change id of each observed revision, and
	// observedValues the revision of each observed change.
	observedIDs    map[uint64]string
	observedValues map[int]uint64
	newestRevision uint64
	violation      error
}

// nextStep removes the first step from the script and returns it.
func (m *faultModel) nextStep() faultStep {
	if len(m.script) == 0 {
		return stepNone
	}
	s := m.script[0]
	m.script = m.script[1:]
	return s
}

// runStep performs one step.
func (m *faultModel) runStep(s faultStep) {
	switch s {
	case stepLoseAnswer:
		m.SetSwitches(platform.Switches{LoseResponses: 1})
	case stepLoseRequest:
		m.SetSwitches(platform.Switches{LoseRequests: 1})
	case stepDelayRequest:
		m.SetSwitches(platform.Switches{LateRequests: 1})
	case stepOutageStart:
		m.SetSwitches(platform.Switches{Down: true})
	case stepOutageEnd:
		m.SetSwitches(platform.Switches{})
	case stepChange:
		m.change()
	case stepSweep:
		_, _ = newFastEditor(m).Sweep(context.Background())
	}
}

// Put runs the next step, calls Memory.Put, and then checks the visible
// configuration.
func (m *faultModel) Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	m.runStep(m.nextStep())
	version, err := m.Memory.Put(ctx, key, expected, value)
	m.observe()
	return version, err
}

// Get runs the next step, then calls Memory.Get.
func (m *faultModel) Get(ctx context.Context, key string) (platform.Object, error) {
	m.runStep(m.nextStep())
	return m.Memory.Get(ctx, key)
}

// change has an operator edit one of two contracts.
func (m *faultModel) change() {
	if m.nestedChanges == maxNestedChanges {
		return
	}
	m.nestedChanges++
	defer func() { m.nestedChanges-- }()
	m.lastValue++
	value := m.lastValue
	customer := fmt.Sprintf("customer-%d", value%2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := newFastEditor(m)
	// With one call at a time a script has the same effect in each run.
	e.concurrency = 1
	waits := 0
	e.backoff.Random = func() float64 {
		if waits++; waits == maxBackoffWaits {
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
		m.accepted[value] = a
	case !ErrUnknown.Has(err):
		m.rejected[value] = true
	}
}

// observe reads the configuration with all faults off, and checks that it is
// complete and that its revision is the previous one or the next.
func (m *faultModel) observe() {
	switches := m.Switches()
	m.SetSwitches(platform.Switches{})
	defer m.SetSwitches(switches)
	s, missing, err := newFastEditor(m.Memory).loadOnce(context.Background())
	switch {
	case err != nil:
		m.fail("load: %v", err)
	case len(missing) > 0:
		m.fail("revision %d: parts %v are missing", s.Head.Revision, missing)
	case s.Head.Revision < m.newestRevision || s.Head.Revision > m.newestRevision+1:
		m.fail("revision changed from %d to %d", m.newestRevision, s.Head.Revision)
	case s.Head.Revision == 0:
	case m.observedIDs[s.Head.Revision] != "" && m.observedIDs[s.Head.Revision] != s.Head.ChangeID:
		m.fail("revision %d was accepted for two changes", s.Head.Revision)
	default:
		m.newestRevision = s.Head.Revision
		m.observedIDs[m.newestRevision] = s.Head.ChangeID
		for name, ct := range s.Config.Contracts {
			m.observedValues[int(ct.Total.Rate)] = s.Config.Versions.Contracts[name]
		}
	}
}

// fail records the first violation.
func (m *faultModel) fail(format string, args ...any) {
	if m.violation == nil {
		m.violation = fmt.Errorf(format, args...)
	}
}

// checkOutcomes compares the outcomes reported to the operators with the
// observed configurations.
func (m *faultModel) checkOutcomes() {
	for value, a := range m.accepted {
		if m.observedIDs[a.Revision] != a.ChangeID || m.observedValues[value] != a.Revision {
			m.fail("change %d was accepted as %+v, observed as revision %d", value, a, m.observedValues[value])
		}
	}
	for value := range m.rejected {
		if revision, ok := m.observedValues[value]; ok {
			m.fail("change %d was reported as not made, but is in force since revision %d", value, revision)
		}
	}
}

// runScript runs a script, then turns all faults off and makes one more change,
// which must be accepted.
func runScript(raw []int) (*faultModel, error) {
	m := &faultModel{
		Memory:         platform.NewMemory(),
		accepted:       map[int]Accepted{},
		rejected:       map[int]bool{},
		observedIDs:    map[uint64]string{},
		observedValues: map[int]uint64{},
	}
	for _, r := range raw {
		m.script = append(m.script, faultStep(r))
	}
	for len(m.script) > 0 && m.violation == nil {
		if s := m.nextStep(); s == stepChange || s == stepNone {
			m.change()
		} else {
			m.runStep(s)
		}
	}
	m.SetSwitches(platform.Switches{})
	m.change()
	if _, ok := m.accepted[m.lastValue]; !ok {
		m.fail("a change made after all faults were cleared was not accepted")
	}
	m.checkOutcomes()
	return m, m.violation
}

func TestChangesAreNotLostOrDuplicatedUnderFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertyRuns
	parameters.MinSize = scriptSteps
	parameters.MaxSize = scriptSteps + 1
	properties := gopter.NewProperties(parameters)
	accepted, rejected, total := 0, 0, 0
	properties.Property("the reported outcomes agree with the configuration in force", prop.ForAll(
		func(raw []int) (string, error) {
			m, err := runScript(raw)
			accepted += len(m.accepted)
			rejected += len(m.rejected)
			total += m.lastValue
			if err != nil {
				return err.Error(), nil
			}
			return "", nil
		},
		gen.SliceOf(gen.IntRange(0, int(stepCount)-1)),
	))
	properties.TestingRun(t)
	t.Logf("%d changes: %d accepted, %d rejected", total, accepted, rejected)
	if accepted == 0 || rejected == 0 || accepted+rejected == total {
		t.Errorf("the scripts must produce accepted, rejected and unknown outcomes")
	}
}

func TestFiftyConcurrentChangesMakeFiftyRevisions(t *testing.T) {
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
	s := mustLoad(t, newFastEditor(m))
	if s.Config.Revision != changes || len(s.Config.Contracts) != changes {
		t.Errorf("revision %d, %d contracts, expected %d", s.Config.Revision, len(s.Config.Contracts), changes)
	}
}

package control

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/platform"
)

// faultSequenceCount is the number of fault sequences tried for each kind of
// backend server.
const faultSequenceCount = 60

var faultType = reflect.TypeOf(fault{})

const (
	testService = "painel"
	testShards  = 24
	// servedWithin is the guaranteed bound on the time for which a key is
	// unavailable.
	servedWithin = 3 * time.Second
)

func mustDecode(b []byte, v any) {
	if err := json.Unmarshal(b, v); err != nil {
		panic(err)
	}
}

// testConfig returns the stored objects of a configuration with one service.
func testConfig(fenced bool) []platform.Object {
	store := platform.NewMemory()
	terms := contract.Terms{Rate: 100, Burst: 10, MaxWaiting: 10, MaxTime: contract.Duration(maxRunTime)}
	_, err := config.NewEditor(store).Apply(context.Background(), 0, func(c *config.Config) error {
		c.Services[testService] = config.Service{Name: testService, DividedByKey: true, Shards: testShards, ChecksFence: fenced}
		c.Routes["r"] = config.Route{Name: "r", PathPrefix: "/", Service: testService, CustomerHeader: "Customer", KeySegment: 1}
		c.Contracts["c"] = contract.Contract{Customer: "c", Total: terms}
		return nil
	})
	if err != nil {
		panic(err)
	}
	objects, err := store.List(context.Background(), cluster.ConfigPrefix)
	if err != nil {
		panic(err)
	}
	return objects
}

// faultKind is a kind of injected fault.
type faultKind int

const (
	faultKill faultKind = iota
	faultRestart
	faultPause
	faultCutOneWay
	faultCutNode
	faultHeal
	faultOutage
	faultOutageEnds
	faultStoreDelay
	faultLostAnswers
	faultDuplicateMessages
	faultDrain
	faultZone
	faultKindCount
)

var faultNames = [...]string{"kill", "restart", "pause", "cut one way", "cut node", "heal", "outage",
	"outage ends", "store delay", "lost answers", "duplicate messages", "drain", "zone"}

// fault is one generated fault. Arg also determines how long the fleet runs
// after it.
type fault struct {
	Kind faultKind
	Node int
	Arg  int
}

func (x fault) String() string { return fmt.Sprintf("%s(%d,%d)", faultNames[x.Kind], x.Node, x.Arg) }

func (f *fleet) inject(x fault) {
	s := f.nodes[x.Node%len(f.nodes)]
	other := f.nodes[x.Arg%len(f.nodes)]
	switch x.Kind {
	case faultKill:
		s.alive = false
	case faultRestart:
		s.alive = false
		f.start(s)
	case faultPause:
		s.pausedUntil = f.now + time.Duration(x.Arg%4000)*time.Millisecond
	case faultCutOneWay:
		f.cutLinks[[2]string{s.name, other.name}] = true
	case faultCutNode:
		for _, o := range f.nodes {
			f.cutLinks[[2]string{s.name, o.name}] = true
			f.cutLinks[[2]string{o.name, s.name}] = x.Arg%2 == 0
		}
	case faultHeal:
		clear(f.cutLinks)
	case faultOutage:
		f.storeDown = true
	case faultOutageEnds:
		f.storeDown = false
	case faultStoreDelay:
		f.storeDelay = time.Duration(x.Arg%300) * time.Millisecond
	case faultLostAnswers:
		f.writeAnswersToLose = x.Arg % 5
	case faultDuplicateMessages:
		f.duplicateMessages = x.Arg%2 == 0
	case faultDrain:
		s.m.Step(f.local(s), DrainRequested{})
	case faultZone:
		f.killZone(s.zone)
	}
}

func (f *fleet) killZone(zone string) {
	for _, s := range f.nodes {
		if s.zone == zone {
			s.alive = false
		}
	}
}

// healAndSettle ends every fault and gives the fleet time to recover.
func (f *fleet) healAndSettle() {
	clear(f.cutLinks)
	f.storeDown, f.storeDelay, f.writeAnswersToLose, f.duplicateMessages = false, 0, 0, false
	for _, s := range f.nodes {
		s.pausedUntil = 0
		if !s.alive {
			f.start(s)
		}
	}
	f.advance(20 * time.Second)
}

// unserved returns the units that no node may dispatch now.
func (f *fleet) unserved() []cluster.Unit {
	var out []cluster.Unit
	for i := range testShards {
		u := cluster.Unit{Service: testService, Shard: i}
		served := false
		for _, s := range f.nodes {
			served = served || f.mayDispatch(s, u)
		}
		if !served {
			out = append(out, u)
		}
	}
	return out
}

func genFault() gopter.Gen {
	return gen.Struct(faultType, map[string]gopter.Gen{
		"Kind": gen.IntRange(0, int(faultKindCount)-1).Map(func(i int) faultKind { return faultKind(i) }),
		"Node": gen.IntRange(0, 6),
		"Arg":  gen.IntRange(0, 4000),
	})
}

func TestOwnershipUnderFaults(t *testing.T) {
	cases := map[string]bool{"backend servers that check fences": true, "backend servers that do not": false}
	for name, fenced := range cases {
		t.Run(name, func(t *testing.T) {
			params := gopter.DefaultTestParametersWithSeed(20261204)
			params.MinSuccessfulTests = faultSequenceCount
			params.MaxSize = 14
			objects := testConfig(fenced)
			props := gopter.NewProperties(params)
			props.Property("one dispatcher per unit, epochs never decrease, and all units are served again", prop.ForAll(
				func(seed int64, faults []fault) string { return runFaults(seed, faults, fenced, objects) },
				gen.Int64Range(1, 1<<40), gen.SliceOf(genFault()),
			))
			props.TestingRun(t)
		})
	}
}

func runFaults(seed int64, faults []fault, fenced bool, objects []platform.Object) string {
	f := newFleet(seed, 7, testService, objects)
	f.requestsOutliveEviction = !fenced
	f.advance(6 * time.Second)
	for _, x := range faults {
		f.inject(x)
		f.advance(time.Duration(x.Arg%2000) * time.Millisecond)
	}
	f.healAndSettle()
	if f.failure != "" {
		return f.failure
	}
	if unserved := f.unserved(); len(unserved) > 0 {
		return fmt.Sprintf("%d units are not served after all faults ended, first %s", len(unserved), unserved[0])
	}
	return ""
}

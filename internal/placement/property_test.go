package placement

import (
	"cmp"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarhinge/internal/cluster"
)

const (
	propertySeed  = 20260101
	propertyTests = 200
)

func checkProperty(t *testing.T, name string, property gopter.Prop) {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = propertyTests
	p := gopter.NewProperties(params)
	p.Property(name, property)
	p.TestingRun(t)
}

// leastSufficientSum returns the smallest sum of any selection of the weights
// that is at least the excess, by dynamic programming over all sums.
func leastSufficientSum(weights []int, excess float64) int {
	total := 0
	for _, w := range weights {
		total += w
	}
	reachable := make([]bool, total+1)
	reachable[0] = true
	for _, w := range weights {
		for sum := total; sum >= w; sum-- {
			reachable[sum] = reachable[sum] || reachable[sum-w]
		}
	}
	for sum := range reachable {
		if reachable[sum] && float64(sum) >= excess {
			return sum
		}
	}
	return total
}

// TestBalanceMovesNearMinimumLoad guards against plans that move much more load
// than necessary. It places shards at random, each at most a tenth of a node's
// share of the load, and compares the moved load with the least load that must
// leave the overloaded nodes.
func TestBalanceMovesNearMinimumLoad(t *testing.T) {
	checkProperty(t, "the plan balances the load and moves at most 1.5 times the minimum", prop.ForAll(func(seed int64, n int) bool {
		rng := rand.New(rand.NewSource(seed))
		in := Input{Service: testService, Nodes: fleet(n, 3), MaxMoves: 1 << 20, Load: map[cluster.Unit]float64{}}
		weights := map[cluster.MemberRef][]int{}
		load := map[cluster.MemberRef]int{}
		total := 0
		for i := range n * 24 {
			w := 50 + rng.Intn(100)
			owner := in.Nodes[rng.Intn(n)].Ref
			in.Shards = append(in.Shards, cluster.Assignment{Owner: owner, Epoch: 1})
			in.Load[cluster.Unit{Service: testService, Shard: i}] = float64(w) * 1e6
			weights[owner] = append(weights[owner], w)
			load[owner] += w
			total += w
		}
		leastMoved := 0
		for owner, l := range load {
			if excess := float64(l) - MaxImbalance*float64(total)/float64(n); excess > 0 {
				leastMoved += leastSufficientSum(weights[owner], excess)
			}
		}
		moves := Plan(in)
		moved := 0.0
		for _, m := range moves {
			moved += in.Load[m.Unit] / 1e6
		}
		after := apply(in, moves, isGone(in.Nodes))
		return imbalance(after) <= MaxImbalance+1e-9 && moved <= 1.5*float64(leastMoved) && len(Plan(after)) == 0
	}, gen.Int64().WithShrinker(gopter.NoShrinker), gen.IntRange(3, 20)))
}

// fleetModel is a fleet that changes at random. unreleased records, for each
// unit, the incarnations that have been its owner and have not released it since,
// with the epoch of their ownership.
type fleetModel struct {
	in          Input
	unreleased  map[cluster.Unit]map[cluster.MemberRef]uint64
	epochs      map[int]uint64
	joinedNodes int
}

func newFleetModel() *fleetModel {
	model := &fleetModel{
		in:         balancedInput(5, 3, 20),
		unreleased: map[cluster.Unit]map[cluster.MemberRef]uint64{},
		epochs:     map[int]uint64{},
	}
	model.in.Serving = map[cluster.Unit]uint64{}
	model.in.Draining = map[cluster.MemberRef]bool{}
	for i, a := range model.in.Shards {
		model.unreleased[cluster.Unit{Service: testService, Shard: i}] = map[cluster.MemberRef]uint64{a.Owner: a.Epoch}
	}
	return model
}

// hotKey returns the key of a shard whose load the test raises and lowers.
func hotKey(shard int) cluster.Unit {
	return cluster.Unit{Service: testService, Shard: shard, Key: "k" + string(rune('a'+shard))}
}

func (model *fleetModel) assignments() map[cluster.Unit]cluster.Assignment {
	all := map[cluster.Unit]cluster.Assignment{}
	for i, a := range model.in.Shards {
		all[cluster.Unit{Service: testService, Shard: i}] = a
	}
	for _, p := range model.in.Pins {
		all[cluster.Unit{Service: testService, Shard: p.Shard, Key: p.Key}] = p.Assignment
	}
	return all
}

// changeAtRandom applies one random change to the nodes or the load.
func (model *fleetModel) changeAtRandom(rng *rand.Rand) {
	i := rng.Intn(len(model.in.Nodes))
	n := &model.in.Nodes[i]
	shard := rng.Intn(len(model.in.Shards))
	switch rng.Intn(8) {
	case 0:
		model.joinedNodes++
		model.in.Nodes = append(model.in.Nodes, Node{Ref: ref(100 + model.joinedNodes), Slots: 10 + rng.Intn(20), Eligible: true})
	case 1:
		n.Gone = true
	case 2:
		n.Ref.Incarnation++
		n.Gone, n.Eligible = false, true
	case 3:
		model.in.Draining[n.Ref] = !model.in.Draining[n.Ref]
	case 4:
		n.Eligible = !n.Eligible
	case 5, 6:
		model.in.Load[hotKey(shard)] = 4e6
	default:
		model.in.Load[hotKey(shard)] = 0
	}
}

// releaseAndServe lets random incarnations release units that they no longer own,
// and random owners serve units whose listed predecessors have released them or
// are gone. It returns false if an owner would serve a unit that another
// incarnation may still serve.
func (model *fleetModel) releaseAndServe(rng *rand.Rand) bool {
	gone := isGone(model.in.Nodes)
	all := model.assignments()
	units := slices.SortedFunc(maps.Keys(all), func(a, b cluster.Unit) int { return cmp.Compare(a.String(), b.String()) })
	for _, u := range units {
		a := all[u]
		for _, n := range model.in.Nodes {
			if n.Ref != a.Owner && rng.Intn(3) == 0 {
				delete(model.unreleased[u], n.Ref)
			}
		}
		ready := rng.Intn(2) == 0 && !gone(a.Owner)
		for _, p := range a.Predecessors {
			if epoch, isUnreleased := model.unreleased[u][p.MemberRef]; isUnreleased && !gone(p.MemberRef) {
				ready = false
				if p.Epoch < epoch {
					return false
				}
			}
		}
		if !ready {
			continue
		}
		for r := range model.unreleased[u] {
			if r != a.Owner && !gone(r) {
				return false
			}
		}
		model.in.Serving[u] = a.Epoch
	}
	return true
}

// planAndApply makes and applies one plan and reports whether all invariants hold:
// epochs never decrease, a new owner or a new pin gets a higher epoch, and a
// removed pin returns to a shard with the same owner and a higher epoch.
func (model *fleetModel) planAndApply() bool {
	before := model.assignments()
	model.in = apply(model.in, Plan(model.in), isGone(model.in.Nodes))
	after := model.assignments()
	newPins := map[cluster.Unit]bool{}
	// A new pin starts with the unreleased owners that its shard had before the
	// plan.
	for u := range after {
		if _, existed := before[u]; !existed {
			shard := cluster.Unit{Service: testService, Shard: u.Shard}
			model.unreleased[u] = maps.Clone(model.unreleased[shard])
			before[u] = before[shard]
			newPins[u] = true
		}
	}
	for u, a := range after {
		from := before[u]
		if a.Epoch < from.Epoch || ((a.Owner != from.Owner || newPins[u]) && a.Epoch == from.Epoch) {
			return false
		}
		model.unreleased[u][a.Owner] = a.Epoch
	}
	for u, a := range before {
		if _, kept := after[u]; kept {
			continue
		}
		shard := after[cluster.Unit{Service: testService, Shard: u.Shard}]
		if u.Key == "" || shard.Epoch <= a.Epoch || shard.Owner != a.Owner {
			return false
		}
	}
	return true
}

func TestRandomChangesKeepOneOwner(t *testing.T) {
	checkProperty(t, "each unit has one owner, no unit is lost, epochs only increase", prop.ForAll(func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		model := newFleetModel()
		for range 60 {
			model.changeAtRandom(rng)
			if !model.planAndApply() || !model.releaseAndServe(rng) {
				return false
			}
		}
		return true
	}, gen.Int64().WithShrinker(gopter.NoShrinker)))
}

// TestMeasurementNoiseMovesLittleLoad guards against moves that are caused by
// random variation of the measured load. The true load is constant, but each
// report covers only a few seconds of it.
func TestMeasurementNoiseMovesLittleLoad(t *testing.T) {
	const (
		reportSeconds     = 5.0 // seconds of load that a report covers
		rounds            = 60
		maxMovedPerMinute = 0.01 // share of the load that may move per minute
	)
	for _, perNode := range []float64{5, 20, 50, 100, 500} {
		rng := rand.New(rand.NewSource(propertySeed))
		in := balancedInput(7, 3, 112)
		mean := perNode / 16
		moves := 0
		for range rounds {
			for i := range in.Shards {
				seen := mean*reportSeconds + math.Sqrt(mean*reportSeconds)*rng.NormFloat64()
				in.Load[cluster.Unit{Service: testService, Shard: i}] = max(0, seen/reportSeconds)
			}
			plan := Plan(in)
			moves += len(plan)
			in = apply(in, plan, isGone(in.Nodes))
		}
		if got := float64(moves) / 112 / (rounds * reportSeconds / 60); got > maxMovedPerMinute {
			t.Errorf("%v requests/s per node: a share of %.4f of the load moves per minute", perNode, got)
		}
	}
}

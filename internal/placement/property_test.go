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

func check(t *testing.T, name string, property gopter.Prop) {
	t.Helper()
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = propertyTests
	p := gopter.NewProperties(params)
	p.Property(name, property)
	p.TestingRun(t)
}

// leastCover returns the least sum of a selection of the weights that reaches
// the excess, by dynamic programming over all sums.
func leastCover(weights []int, excess float64) int {
	total := 0
	for _, w := range weights {
		total += w
	}
	reach := make([]bool, total+1)
	reach[0] = true
	for _, w := range weights {
		for sum := total; sum >= w; sum-- {
			reach[sum] = reach[sum] || reach[sum-w]
		}
	}
	for sum := range reach {
		if reach[sum] && float64(sum) >= excess {
			return sum
		}
	}
	return total
}

// TestBalanceIsReachedCheaply places shards at random, each at most a tenth of
// a node's share, and compares the plan with the least load that must leave
// the overloaded nodes.
func TestBalanceIsReachedCheaply(t *testing.T) {
	check(t, "balanced at no more than 1.5 times the least load", prop.ForAll(func(seed int64, n int) bool {
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
		least := 0
		for owner, l := range load {
			if excess := float64(l) - MaxImbalance*float64(total)/float64(n); excess > 0 {
				least += leastCover(weights[owner], excess)
			}
		}
		moves := Plan(in)
		moved := 0.0
		for _, m := range moves {
			moved += in.Load[m.Unit] / 1e6
		}
		after := apply(in, moves, isGone(in.Nodes))
		return imbalance(after) <= MaxImbalance+1e-9 && moved <= 1.5*float64(least) && len(Plan(after)) == 0
	}, gen.Int64().WithShrinker(gopter.NoShrinker), gen.IntRange(3, 20)))
}

// world is a fleet under random changes. claims records, for each unit, every
// incarnation that was named its owner and has not released it since.
type world struct {
	in     Input
	claims map[cluster.Unit]map[cluster.MemberRef]uint64
	epochs map[int]uint64
	next   int
}

func newWorld() *world {
	w := &world{in: settled(5, 3, 20), claims: map[cluster.Unit]map[cluster.MemberRef]uint64{}, epochs: map[int]uint64{}}
	w.in.Serving = map[cluster.Unit]uint64{}
	w.in.Draining = map[cluster.MemberRef]bool{}
	for i, a := range w.in.Shards {
		w.claims[cluster.Unit{Service: testService, Shard: i}] = map[cluster.MemberRef]uint64{a.Owner: a.Epoch}
	}
	return w
}

// key is the hot key of a shard that the walk pins and dissolves.
func key(shard int) cluster.Unit {
	return cluster.Unit{Service: testService, Shard: shard, Key: "k" + string(rune('a'+shard))}
}

func (w *world) assignments() map[cluster.Unit]cluster.Assignment {
	all := map[cluster.Unit]cluster.Assignment{}
	for i, a := range w.in.Shards {
		all[cluster.Unit{Service: testService, Shard: i}] = a
	}
	for _, p := range w.in.Pins {
		all[cluster.Unit{Service: testService, Shard: p.Shard, Key: p.Key}] = p.Assignment
	}
	return all
}

// change applies one random event to the nodes or to the load.
func (w *world) change(rng *rand.Rand) {
	i := rng.Intn(len(w.in.Nodes))
	n := &w.in.Nodes[i]
	shard := rng.Intn(len(w.in.Shards))
	switch rng.Intn(8) {
	case 0:
		w.next++
		w.in.Nodes = append(w.in.Nodes, Node{Ref: ref(100 + w.next), Slots: 10 + rng.Intn(20), Eligible: true})
	case 1:
		n.Gone = true
	case 2:
		n.Ref.Incarnation++
		n.Gone, n.Eligible = false, true
	case 3:
		w.in.Draining[n.Ref] = !w.in.Draining[n.Ref]
	case 4:
		n.Eligible = !n.Eligible
	case 5, 6:
		w.in.Load[key(shard)] = 4e6
	default:
		w.in.Load[key(shard)] = 0
	}
}

// serve lets random incarnations release what they lost, and random owners
// serve what their listed predecessors allow. It reports false if an owner
// would serve a unit that another incarnation may still serve.
func (w *world) serve(rng *rand.Rand) bool {
	gone := isGone(w.in.Nodes)
	all := w.assignments()
	units := slices.SortedFunc(maps.Keys(all), func(a, b cluster.Unit) int { return cmp.Compare(a.String(), b.String()) })
	for _, u := range units {
		a := all[u]
		for _, n := range w.in.Nodes {
			if n.Ref != a.Owner && rng.Intn(3) == 0 {
				delete(w.claims[u], n.Ref)
			}
		}
		ready := rng.Intn(2) == 0 && !gone(a.Owner)
		for _, p := range a.Predecessors {
			if epoch, held := w.claims[u][p.MemberRef]; held && !gone(p.MemberRef) {
				ready = false
				if p.Epoch < epoch {
					return false
				}
			}
		}
		if !ready {
			continue
		}
		for r := range w.claims[u] {
			if r != a.Owner && !gone(r) {
				return false
			}
		}
		w.in.Serving[u] = a.Epoch
	}
	return true
}

// step plans and applies once, and reports whether all invariants hold.
func (w *world) step() bool {
	before := w.assignments()
	w.in = apply(w.in, Plan(w.in), isGone(w.in.Nodes))
	after := w.assignments()
	newPins := map[cluster.Unit]bool{}
	// A new pin starts with the claims that its shard had before the plan.
	for u := range after {
		if _, existed := before[u]; !existed {
			shard := cluster.Unit{Service: testService, Shard: u.Shard}
			w.claims[u] = maps.Clone(w.claims[shard])
			before[u] = before[shard]
			newPins[u] = true
		}
	}
	for u, a := range after {
		from := before[u]
		if a.Epoch < from.Epoch || ((a.Owner != from.Owner || newPins[u]) && a.Epoch == from.Epoch) {
			return false
		}
		w.claims[u][a.Owner] = a.Epoch
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

func TestRandomWalkKeepsOneOwner(t *testing.T) {
	check(t, "one owner, no unit lost, epochs only grow", prop.ForAll(func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		w := newWorld()
		for range 60 {
			w.change(rng)
			if !w.step() || !w.serve(rng) {
				return false
			}
		}
		return true
	}, gen.Int64().WithShrinker(gopter.NoShrinker)))
}

// TestNoiseMovesLittle plans again and again for a steady load of which each
// report counts a few seconds only.
func TestNoiseMovesLittle(t *testing.T) {
	const (
		window  = 5.0 // seconds of a report
		rounds  = 60
		maxMove = 0.01 // share of the load for each minute
	)
	for _, perNode := range []float64{5, 20, 50, 100, 500} {
		rng := rand.New(rand.NewSource(propertySeed))
		in := settled(7, 3, 112)
		mean := perNode / 16
		moves := 0
		for range rounds {
			for i := range in.Shards {
				seen := mean*window + math.Sqrt(mean*window)*rng.NormFloat64()
				in.Load[cluster.Unit{Service: testService, Shard: i}] = max(0, seen/window)
			}
			plan := Plan(in)
			moves += len(plan)
			in = apply(in, plan, isGone(in.Nodes))
		}
		if got := float64(moves) / 112 / (rounds * window / 60); got > maxMove {
			t.Errorf("%v requests/s a node: %.4f of the load moves each minute", perNode, got)
		}
	}
}

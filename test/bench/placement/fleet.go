package main

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/placement"
)

const (
	service      = "records"
	slotsPerNode = 20
	// shardLoadSigma is the standard deviation of the logarithm of shard loads.
	shardLoadSigma = 0.3
	// hottestShare is the load of the hottest key relative to the mean load of a
	// node. The loads of the other hot keys follow Zipf's law.
	hottestShare = 0.8
	// warmUpPlans is the number of plans that balance a fleet before a change.
	warmUpPlans = 4
)

// size is the size of a fleet. Rate is its load in requests per second.
type size struct {
	Name                 string
	Nodes, Zones, Shards int
	Rate                 float64
}

// scenario is a change of a balanced fleet. prepare, if set, runs before the fleet
// is balanced.
type scenario struct {
	Name    string
	prepare func(f *fleet)
	change  func(f *fleet)
}

// fleet is the state that a placement policy reads and updates.
type fleet struct {
	in  placement.Input
	rng *rand.Rand
	// shardLoad is the load of each shard without the hot keys.
	shardLoad []float64
	// keys are all keys that have been hot, and keyLoad is their current load.
	keys    []cluster.Unit
	keyLoad map[cluster.Unit]float64
	// lastPlanDuration is the time that the policy needed for the last plan.
	lastPlanDuration time.Duration
}

func newFleet(sz size, seed int64) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), keyLoad: map[cluster.Unit]float64{}}
	f.in = placement.Input{
		Service:  service,
		Shards:   make([]cluster.Assignment, sz.Shards),
		Load:     map[cluster.Unit]float64{},
		MaxMoves: sz.Shards,
	}
	for i := range sz.Nodes {
		f.addNode(i, i%sz.Zones)
	}
	f.shardLoad = make([]float64, sz.Shards)
	sum := 0.0
	for i := range f.shardLoad {
		f.shardLoad[i] = math.Exp(f.rng.NormFloat64() * shardLoadSigma)
		sum += f.shardLoad[i]
	}
	for i := range f.shardLoad {
		f.shardLoad[i] *= sz.Rate / sum
	}
	f.reportLoads()
	return f
}

// reportLoads writes the current loads to the policy's input. The load of a hot key
// is part of its shard's load unless the key is pinned.
func (f *fleet) reportLoads() {
	for i, l := range f.shardLoad {
		f.in.Load[shardUnit(i)] = l
	}
	pins := f.pinned()
	for _, u := range f.keys {
		f.in.Load[u] = f.keyLoad[u]
		if !pins[u.Key] {
			f.in.Load[shardUnit(u.Shard)] += f.keyLoad[u]
		}
	}
}

// pinned returns the keys that are pinned.
func (f *fleet) pinned() map[string]bool {
	pins := map[string]bool{}
	for _, p := range f.in.Pins {
		pins[p.Key] = true
	}
	return pins
}

func shardUnit(i int) cluster.Unit { return cluster.Unit{Service: service, Shard: i} }

func (f *fleet) addNode(i, zone int) {
	f.in.Nodes = append(f.in.Nodes, placement.Node{
		Ref:      cluster.MemberRef{Name: fmt.Sprintf("vm-%04d", i), Incarnation: 1},
		Zone:     fmt.Sprintf("zone-%02d", zone),
		Slots:    slotsPerNode,
		Eligible: true,
	})
}

// joinNode adds a node that owns no units.
func (f *fleet) joinNode() { f.addNode(len(f.in.Nodes), 0) }

// drainNode starts draining a random node.
func (f *fleet) drainNode() {
	f.in.Draining = map[cluster.MemberRef]bool{f.in.Nodes[f.rng.Intn(len(f.in.Nodes))].Ref: true}
}

// loseZone marks every node of a random zone as gone.
func (f *fleet) loseZone() {
	zone := f.in.Nodes[f.rng.Intn(len(f.in.Nodes))].Zone
	for i := range f.in.Nodes {
		f.in.Nodes[i].Gone = f.in.Nodes[i].Zone == zone
	}
}

// addHotKeys adds hotKeyCount new hot keys.
func (f *fleet) addHotKeys() {
	total := 0.0
	for _, l := range f.shardLoad {
		total += l
	}
	hottest := hottestShare * total / float64(len(f.in.Nodes))
	for k := range hotKeyCount {
		key := fmt.Sprintf("key-%d-%d", f.rng.Int63(), k)
		u := cluster.Unit{Service: service, Shard: cluster.ShardOf(key, len(f.in.Shards)), Key: key}
		f.keys = append(f.keys, u)
		f.keyLoad[u] = hottest / float64(k+1)
	}
	f.reportLoads()
}

// replaceHotKeys sets the load of the current hot keys to 0 and adds new ones.
func (f *fleet) replaceHotKeys() {
	clear(f.keyLoad)
	f.addHotKeys()
}

// usable reports whether a node may own units.
func (f *fleet) usable(n placement.Node) bool {
	return n.Eligible && !n.Gone && !f.in.Draining[n.Ref]
}

// owners returns the owner and the load of each shard, without its hot keys, and
// of each hot key.
func (f *fleet) owners() (owner map[cluster.Unit]cluster.MemberRef, load map[cluster.Unit]float64) {
	owner = map[cluster.Unit]cluster.MemberRef{}
	load = map[cluster.Unit]float64{}
	for i, a := range f.in.Shards {
		owner[shardUnit(i)] = a.Owner
		load[shardUnit(i)] = f.shardLoad[i]
	}
	for _, u := range f.keys {
		owner[u] = f.in.Shards[u.Shard].Owner
		load[u] = f.keyLoad[u]
	}
	for _, p := range f.in.Pins {
		owner[cluster.Unit{Service: service, Shard: p.Shard, Key: p.Key}] = p.Owner
	}
	return owner, load
}

// loadByNode returns the load of each owner and the total load.
func (f *fleet) loadByNode() (loads map[cluster.MemberRef]float64, total float64) {
	owner, load := f.owners()
	loads = map[cluster.MemberRef]float64{}
	for u, l := range load {
		loads[owner[u]] += l
		total += l
	}
	return loads, total
}

// imbalance returns the maximum load divided by the mean load over the usable
// nodes, which all have the same number of slots.
func (f *fleet) imbalance() float64 {
	loads, total := f.loadByNode()
	highest, n := 0.0, 0
	for _, node := range f.in.Nodes {
		if f.usable(node) {
			highest = max(highest, loads[node.Ref])
			n++
		}
	}
	return highest * float64(n) / total
}

// leastChurn returns the value of result.LeastChurn.
func (f *fleet) leastChurn() float64 {
	loads, total := f.loadByNode()
	n := 0
	for _, node := range f.in.Nodes {
		if f.usable(node) {
			n++
		}
	}
	limit := placement.MaxImbalance * total / float64(n)
	least := 0.0
	for _, node := range f.in.Nodes {
		if !f.usable(node) {
			least += loads[node.Ref]
			continue
		}
		least += max(0, loads[node.Ref]-limit)
	}
	return least / total
}

// measure balances a fleet, applies the scenario's change and measures the policy's
// next plan.
func measure(sz size, sc scenario, p policy, seed int64) result {
	f := newFleet(sz, seed)
	if sc.prepare != nil {
		sc.prepare(f)
	}
	for range warmUpPlans {
		p.place(f)
	}
	sc.change(f)
	r := result{Size: sz.Name, Scenario: sc.Name, Policy: p.Name, Seed: seed}
	r.ImbalanceBefore = f.imbalance()
	r.LeastChurn = f.leastChurn()
	before, _ := f.owners()
	p.place(f)
	r.Milliseconds = float64(f.lastPlanDuration.Microseconds()) / 1000
	after, load := f.owners()
	total := 0.0
	for u, l := range load {
		total += l
		if after[u] != before[u] {
			r.Churn += l
		}
	}
	r.Churn /= total
	r.ImbalanceAfter = f.imbalance()
	r.Pins = len(f.in.Pins)
	r.SecondMoves = p.place(f)
	return r
}

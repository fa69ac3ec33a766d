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
	service = "records"
	slots   = 20
	// shardSpread is the standard deviation of the logarithm of shard loads.
	shardSpread = 0.3
	// hottestShare is the load of the hottest key as a share of a node's mean;
	// the others follow Zipf's law.
	hottestShare = 0.8
	// warmUpPlans is the number of plans that settle a fleet before a change.
	warmUpPlans = 4
)

// size is a fleet's size; Rate is its load in requests/s.
type size struct {
	Name                 string
	Nodes, Zones, Shards int
	Rate                 float64
}

// scenario is a change of a settled fleet; prepare, if set, comes before the
// fleet settles.
type scenario struct {
	Name    string
	prepare func(f *fleet)
	change  func(f *fleet)
}

// fleet is the state that a policy places.
type fleet struct {
	in  placement.Input
	rng *rand.Rand
	// shardLoad is the load of each shard without the hot keys.
	shardLoad []float64
	// keys are all keys that ever were hot, and keyLoad their present load.
	keys    []cluster.Unit
	keyLoad map[cluster.Unit]float64
	// took is the time that the last decision took.
	took time.Duration
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
		f.shardLoad[i] = math.Exp(f.rng.NormFloat64() * shardSpread)
		sum += f.shardLoad[i]
	}
	for i := range f.shardLoad {
		f.shardLoad[i] *= sz.Rate / sum
	}
	f.report()
	return f
}

// report gives the policy the present loads: that of a hot key is part of its
// shard's unless it is pinned.
func (f *fleet) report() {
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
		Slots:    slots,
		Eligible: true,
	})
}

// join adds one node without load.
func (f *fleet) join() { f.addNode(len(f.in.Nodes), 0) }

// leave starts the planned stop of one node.
func (f *fleet) leave() {
	f.in.Draining = map[cluster.MemberRef]bool{f.in.Nodes[f.rng.Intn(len(f.in.Nodes))].Ref: true}
}

// loseZone evicts every node of a zone.
func (f *fleet) loseZone() {
	zone := f.in.Nodes[f.rng.Intn(len(f.in.Nodes))].Zone
	for i := range f.in.Nodes {
		f.in.Nodes[i].Gone = f.in.Nodes[i].Zone == zone
	}
}

// heatKeys lets keys turn hot.
func (f *fleet) heatKeys() {
	total := 0.0
	for _, l := range f.shardLoad {
		total += l
	}
	hottest := hottestShare * total / float64(len(f.in.Nodes))
	for k := range hotKeys {
		key := fmt.Sprintf("key-%d-%d", f.rng.Int63(), k)
		u := cluster.Unit{Service: service, Shard: cluster.ShardOf(key, len(f.in.Shards)), Key: key}
		f.keys = append(f.keys, u)
		f.keyLoad[u] = hottest / float64(k+1)
	}
	f.report()
}

// replaceHotKeys lets the present hot keys turn idle and others hot.
func (f *fleet) replaceHotKeys() {
	clear(f.keyLoad)
	f.heatKeys()
}

// usable reports whether a node may own units.
func (f *fleet) usable(n placement.Node) bool {
	return n.Eligible && !n.Gone && !f.in.Draining[n.Ref]
}

// owners returns each part of the load with its owner: shards without the hot
// keys, and the hot keys on their own.
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

// byNode adds up the load of each owner.
func (f *fleet) byNode() (loads map[cluster.MemberRef]float64, total float64) {
	owner, load := f.owners()
	loads = map[cluster.MemberRef]float64{}
	for u, l := range load {
		loads[owner[u]] += l
		total += l
	}
	return loads, total
}

// imbalance returns max/mean over the usable nodes, which all have the same
// number of slots.
func (f *fleet) imbalance() float64 {
	loads, total := f.byNode()
	highest, n := 0.0, 0
	for _, node := range f.in.Nodes {
		if f.usable(node) {
			highest = max(highest, loads[node.Ref])
			n++
		}
	}
	return highest * float64(n) / total
}

// leastChurn returns the lower bound of result.LeastChurn.
func (f *fleet) leastChurn() float64 {
	loads, total := f.byNode()
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

// measure settles a fleet, changes it and lets the policy answer.
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
	r.Milliseconds = float64(f.took.Microseconds()) / 1000
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

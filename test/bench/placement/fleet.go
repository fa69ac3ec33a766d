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

// scenario is a change of a settled fleet.
type scenario struct {
	Name   string
	change func(f *fleet)
}

// fleet is the state that a policy places.
type fleet struct {
	in  placement.Input
	rng *rand.Rand
	// keyLoad is the load of the hot keys, pinned or not.
	keyLoad map[cluster.Unit]float64
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
	loads := make([]float64, sz.Shards)
	sum := 0.0
	for i := range loads {
		loads[i] = math.Exp(f.rng.NormFloat64() * shardSpread)
		sum += loads[i]
	}
	for i, l := range loads {
		f.in.Load[shardUnit(i)] = l / sum * sz.Rate
	}
	return f
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

// heatKeys adds the load of the hot keys to that of their shards.
func (f *fleet) heatKeys() {
	total := 0.0
	for i := range f.in.Shards {
		total += f.in.Load[shardUnit(i)]
	}
	hottest := hottestShare * total / float64(len(f.in.Nodes))
	for k := range hotKeys {
		key := fmt.Sprintf("key-%d-%d", f.rng.Int63(), k)
		u := cluster.Unit{Service: service, Shard: cluster.ShardOf(key, len(f.in.Shards)), Key: key}
		f.keyLoad[u] = hottest / float64(k+1)
		f.in.Load[u] = f.keyLoad[u]
		f.in.Load[shardUnit(u.Shard)] += f.keyLoad[u]
	}
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
		load[shardUnit(i)] = f.in.Load[shardUnit(i)]
	}
	pins := map[string]bool{}
	for _, p := range f.in.Pins {
		u := cluster.Unit{Service: service, Shard: p.Shard, Key: p.Key}
		owner[u] = p.Owner
		load[u] = f.keyLoad[u]
		pins[p.Key] = true
	}
	for u, l := range f.keyLoad {
		if !pins[u.Key] {
			owner[u] = f.in.Shards[u.Shard].Owner
			load[u] = l
			load[shardUnit(u.Shard)] -= l
		}
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
	for range warmUpPlans {
		p.place(f)
	}
	sc.change(f)
	r := result{Size: sz.Name, Scenario: sc.Name, Policy: p.Name, Seed: seed}
	r.ImbalanceBefore = f.imbalance()
	r.LeastChurn = f.leastChurn()
	before, _ := f.owners()
	start := time.Now()
	p.place(f)
	r.Milliseconds = float64(time.Since(start).Microseconds()) / 1000
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

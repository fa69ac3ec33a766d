package main

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/placement"
)

// policy is a placement policy. place assigns the fleet's units and returns the
// number of moves.
type policy struct {
	Name  string
	place func(f *fleet) int
}

var policies = []policy{
	{"fulmarhinge", planAndApply},
	{"rendezvous", rendezvous},
}

// planAndApply runs the policy of package placement. The measured time includes
// planning and applying the plan.
func planAndApply(f *fleet) int {
	f.in.Serving = f.serving()
	gone := map[cluster.MemberRef]bool{}
	for _, n := range f.in.Nodes {
		gone[n.Ref] = n.Gone
	}
	start := time.Now()
	moves := placement.Plan(f.in)
	group := &cluster.Group{Service: service, Shards: f.in.Shards, Pins: f.in.Pins}
	group, _ = placement.Apply(group, moves, func(r cluster.MemberRef) bool { return gone[r] })
	f.lastPlanDuration = time.Since(start)
	f.in.Shards, f.in.Pins = group.Shards, group.Pins
	f.reportLoads()
	return len(moves)
}

// serving returns the input for a fleet in which every owner serves all its units.
func (f *fleet) serving() map[cluster.Unit]uint64 {
	all := map[cluster.Unit]uint64{}
	for i, a := range f.in.Shards {
		all[shardUnit(i)] = a.Epoch
	}
	for _, p := range f.in.Pins {
		all[cluster.Unit{Service: service, Shard: p.Shard, Key: p.Key}] = p.Epoch
	}
	return all
}

// rendezvous assigns each shard to the usable node with the highest hash of shard
// and node.
func rendezvous(f *fleet) int {
	start := time.Now()
	defer func() { f.lastPlanDuration = time.Since(start) }()
	var usable []cluster.MemberRef
	var hashes []uint64
	for _, n := range f.in.Nodes {
		if f.usable(n) {
			usable = append(usable, n.Ref)
			hashes = append(hashes, xxhash.Sum64String(n.Ref.Name))
		}
	}
	moves := 0
	for i := range f.in.Shards {
		best, highest := 0, uint64(0)
		for j, h := range hashes {
			if score := mix(h ^ mix(uint64(i)+1)); score > highest {
				best, highest = j, score
			}
		}
		if f.in.Shards[i].Owner != usable[best] {
			f.in.Shards[i].Owner = usable[best]
			moves++
		}
	}
	return moves
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

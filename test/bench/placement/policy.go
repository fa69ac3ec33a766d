package main

import (
	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/placement"
)

// policy places a fleet's units and returns the number of its moves.
type policy struct {
	Name  string
	place func(f *fleet) int
}

var policies = []policy{
	{"fulmarhinge", planAndApply},
	{"rendezvous", rendezvous},
}

// planAndApply runs the product's policy. The time of both steps is counted.
func planAndApply(f *fleet) int {
	moves := placement.Plan(f.in)
	gone := map[cluster.MemberRef]bool{}
	for _, n := range f.in.Nodes {
		gone[n.Ref] = n.Gone
	}
	pins := len(f.in.Pins)
	group := &cluster.Group{Service: service, Shards: f.in.Shards, Pins: f.in.Pins}
	group, _ = placement.Apply(group, moves, func(r cluster.MemberRef) bool { return gone[r] })
	f.in.Shards, f.in.Pins = group.Shards, group.Pins
	if len(f.in.Pins) != pins {
		f.separateLoad()
	}
	return len(moves)
}

// separateLoad takes the load of pinned keys out of their shards', as the next
// load reports do.
func (f *fleet) separateLoad() {
	for _, p := range f.in.Pins {
		u := cluster.Unit{Service: service, Shard: p.Shard, Key: p.Key}
		f.in.Load[shardUnit(p.Shard)] -= f.keyLoad[u]
	}
}

// rendezvous gives each shard to the usable node with the highest hash of both.
func rendezvous(f *fleet) int {
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

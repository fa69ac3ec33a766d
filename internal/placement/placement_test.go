package placement

import (
	"fmt"
	"reflect"
	"testing"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
)

const testService = "desk"

func ref(i int) cluster.MemberRef {
	return cluster.MemberRef{Name: fmt.Sprintf("n%04d", i), Incarnation: 1}
}

// fleet returns n eligible nodes with equal slots, spread over the zones.
func fleet(n, zones int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{Ref: ref(i), Zone: fmt.Sprintf("z%d", i%zones), Slots: 20, Eligible: true}
	}
	return nodes
}

// apply applies a plan to the assignments of the input, as the controller does.
func apply(in Input, moves []Move, gone func(cluster.MemberRef) bool) Input {
	g := &cluster.Group{Service: in.Service, Shards: in.Shards, Pins: in.Pins}
	g, _ = Apply(g, moves, gone)
	in.Shards, in.Pins = g.Shards, g.Pins
	return in
}

func isGone(nodes []Node) func(cluster.MemberRef) bool {
	return func(r cluster.MemberRef) bool {
		for _, n := range nodes {
			if n.Ref == r {
				return n.Gone
			}
		}
		return true
	}
}

// balancedInput returns the input for a fleet whose shards are all placed and have
// equal load.
func balancedInput(n, zones, shards int) Input {
	in := Input{Service: testService, Shards: make([]cluster.Assignment, shards), Nodes: fleet(n, zones), MaxMoves: 1 << 20}
	in.Load = map[cluster.Unit]float64{}
	for i := range shards {
		in.Load[cluster.Unit{Service: testService, Shard: i}] = 1e6
	}
	return apply(in, Plan(in), isGone(in.Nodes))
}

// imbalance returns the ratio of the highest measured load per slot to the mean.
func imbalance(in Input) float64 {
	load := map[cluster.MemberRef]float64{}
	for i, a := range in.Shards {
		load[a.Owner] += in.Load[cluster.Unit{Service: in.Service, Shard: i}]
	}
	for _, p := range in.Pins {
		load[p.Owner] += in.Load[cluster.Unit{Service: in.Service, Shard: p.Shard, Key: p.Key}]
	}
	total, slots, highest := 0.0, 0.0, 0.0
	for _, n := range in.Nodes {
		if n.Eligible && !n.Gone && !in.Draining[n.Ref] {
			total += load[n.Ref]
			slots += float64(n.Slots)
			highest = max(highest, load[n.Ref]/float64(n.Slots))
		}
	}
	return highest * slots / total
}

func addHotKeys(in *Input, n int, load float64) {
	for k := range n {
		key := fmt.Sprintf("hot%03d", k)
		shard := cluster.Unit{Service: testService, Shard: cluster.ShardOf(key, len(in.Shards))}
		in.Load[cluster.Unit{Service: testService, Shard: shard.Shard, Key: key}] = load
		in.Load[shard] += load
	}
}

// subtractPinLoad subtracts the load of new pins from their shards, as the next
// load report does.
func subtractPinLoad(before, after Input) Input {
	alreadyPinned := map[string]bool{}
	for _, p := range before.Pins {
		alreadyPinned[p.Key] = true
	}
	for _, p := range after.Pins {
		if !alreadyPinned[p.Key] {
			u := cluster.Unit{Service: testService, Shard: p.Shard}
			after.Load[u] -= after.Load[cluster.Unit{Service: testService, Shard: p.Shard, Key: p.Key}]
		}
	}
	return after
}

func TestPlanOnChange(t *testing.T) {
	tests := []struct {
		name   string
		change func(in *Input)
		// maxMoved is the maximum share of the shards that may change owner.
		maxMoved float64
		reasons  []Reason
	}{
		{"nothing changes", func(*Input) {}, 0, nil},
		{"one node joins a balanced fleet", func(in *Input) {
			in.Nodes = append(in.Nodes, Node{Ref: ref(100), Slots: 20, Eligible: true})
		}, 0, nil},
		{"the number of nodes doubles", func(in *Input) {
			for i := range 9 {
				in.Nodes = append(in.Nodes, Node{Ref: ref(100 + i), Slots: 20, Eligible: true})
			}
		}, 0.5, []Reason{Balance}},
		{"one node is evicted", func(in *Input) { in.Nodes[3].Gone = true }, 1.0/9 + 1e-9, []Reason{OwnerGone}},
		{"one backend server is not ready", func(in *Input) { in.Nodes[3].Eligible = false }, 1.0/9 + 1e-9, []Reason{OwnerWithdrawn}},
		{"one node drains", func(in *Input) {
			in.Draining = map[cluster.MemberRef]bool{in.Nodes[3].Ref: true}
		}, 1.0/9 + 1e-9, []Reason{OwnerDraining}},
		{"a zone is lost", func(in *Input) {
			for i := range in.Nodes {
				in.Nodes[i].Gone = in.Nodes[i].Zone == "z1"
			}
		}, 1.0/3 + 1e-9, []Reason{OwnerGone}},
		{"one node restarts", func(in *Input) { in.Nodes[3].Ref.Incarnation = 2 }, 1.0/9 + 1e-9, []Reason{OwnerGone}},
		{"79 keys become hot", func(in *Input) { addHotKeys(in, 79, 1e6) }, 0.5, []Reason{HotKey, Balance}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := balancedInput(9, 3, 144)
			tt.change(&in)
			moves := Plan(in)
			owners := 0
			for _, m := range moves {
				allowed := false
				for _, r := range tt.reasons {
					allowed = allowed || m.Reason == r
				}
				if !allowed {
					t.Errorf("unexpected reason %v for %v", m.Reason, m.Unit)
				}
				if m.Unit.Key == "" {
					owners++
				}
			}
			if got := float64(owners) / 144; got > tt.maxMoved {
				t.Errorf("moved %.3f of the shards, want at most %.3f", got, tt.maxMoved)
			}
			after := subtractPinLoad(in, apply(in, moves, isGone(in.Nodes)))
			if got := imbalance(after); got > MaxImbalance+1e-9 {
				t.Errorf("imbalance %.4f exceeds MaxImbalance", got)
			}
			if again := Plan(after); len(again) != 0 {
				t.Errorf("second plan has %d moves, want none; first move: %v", len(again), again[0])
			}
		})
	}
}

func TestRestartMovesNothingElse(t *testing.T) {
	in := balancedInput(9, 3, 144)
	in.Shards[3].Owner, in.Shards[7].Owner = in.Shards[7].Owner, in.Shards[3].Owner
	for _, i := range []int{3, 7} {
		in.Nodes[i].Ref.Incarnation = 2
	}
	moves := Plan(in)
	for _, m := range moves {
		if old := in.Shards[m.Unit.Shard].Owner; m.To.Name != old.Name {
			t.Errorf("%v moves from %v to %v", m.Unit, old, m.To)
		}
	}
	if len(moves) != 32 {
		t.Errorf("got %d moves, want 32", len(moves))
	}
}

func TestColdPinReturnsToShard(t *testing.T) {
	in := balancedInput(3, 3, 48)
	pin := cluster.Unit{Service: testService, Shard: 5, Key: "k"}
	shardOwner := in.Shards[5].Owner
	otherOwner := in.Nodes[0].Ref
	if otherOwner == shardOwner {
		otherOwner = in.Nodes[1].Ref
	}
	in.Pins = []cluster.Pin{{Key: "k", Shard: 5, Assignment: cluster.Assignment{Owner: otherOwner, Epoch: 9}}}
	in.Serving = map[cluster.Unit]uint64{pin: 9}

	in = apply(in, Plan(in), isGone(in.Nodes))
	if p := in.Pins[0]; p.Owner != shardOwner || p.Epoch != 10 || p.Predecessors[0].MemberRef != otherOwner {
		t.Fatalf("the pin did not move to the owner of its shard first: %+v", p)
	}
	if again := Plan(in); len(again) != 0 {
		t.Fatalf("the pin changes before it is served: %v", again)
	}
	in.Serving[pin] = 10
	if again := Plan(in); len(again) != 0 {
		t.Fatalf("the pin is removed before its shard is served: %v", again)
	}
	in.Serving[cluster.Unit{Service: testService, Shard: 5}] = in.Shards[5].Epoch
	in.Shards[5].Predecessors = []cluster.Predecessor{{MemberRef: otherOwner, Epoch: 1}}
	in = apply(in, Plan(in), isGone(in.Nodes))
	if len(in.Pins) != 0 || !reflect.DeepEqual(in.Shards[5], cluster.Assignment{Owner: shardOwner, Epoch: 11}) {
		t.Fatalf("the pin was not removed: pins %+v, shard %+v", in.Pins, in.Shards[5])
	}
	if again := Plan(in); len(again) != 0 {
		t.Fatalf("moves after the pin was removed: %v", again)
	}
}

func TestApplySkipsUnsafeMoves(t *testing.T) {
	shard, pin := cluster.Unit{Service: testService}, cluster.Unit{Service: testService, Key: "k"}
	tests := []struct {
		name string
		move Move
	}{
		{"based on an older epoch", Move{Unit: shard, To: ref(1), Reason: Balance, FromEpoch: 3}},
		{"new pin based on an older epoch", Move{Unit: cluster.Unit{Service: testService, Key: "x"}, To: ref(1), Reason: HotKey, FromEpoch: 3}},
		{"pin based on an older epoch", Move{Unit: pin, To: ref(1), Reason: Balance, FromEpoch: 5}},
		{"pin that does not exist", Move{Unit: cluster.Unit{Service: testService, Key: "x"}, To: ref(1), Reason: Unpin, FromEpoch: 4}},
		{"pin removed before it is served", Move{Unit: pin, To: ref(0), Reason: Unpin, FromEpoch: 6, Remove: true, ShardEpoch: 4}},
		{"pin removed after its shard moved", Move{Unit: pin, To: ref(0), Reason: Unpin, FromEpoch: 6, FromServing: true, Remove: true, ShardEpoch: 3}},
		{"shard of another group", Move{Unit: cluster.Unit{Service: testService, Shard: 1}, To: ref(1), FromEpoch: 4}},
	}
	g := &cluster.Group{Service: testService, Shards: []cluster.Assignment{{Owner: ref(0), Epoch: 4}}}
	g.Pins = []cluster.Pin{{Key: "k", SplitEpoch: 4, Assignment: cluster.Assignment{Owner: ref(0), Epoch: 6}}}
	for _, tt := range tests {
		if out, n := Apply(g, []Move{tt.move}, isGone(nil)); n != 0 || !reflect.DeepEqual(g, out) {
			t.Errorf("%s: move was applied: %+v", tt.name, out)
		}
	}
}

func TestInitialGroups(t *testing.T) {
	groups := InitialGroups(config.Service{Name: testService, Shards: 2*cluster.MaxShardsPerGroup + 52})
	if len(groups) != 3 || groups[2].First != 2*cluster.MaxShardsPerGroup || len(groups[2].Shards) != 52 {
		t.Errorf("got %d groups, want 3, the last with 52 shards", len(groups))
	}
}

func TestBudgetLimitsPlannedMovesOnly(t *testing.T) {
	in := balancedInput(9, 3, 144)
	in.MaxMoves = 2
	for i := range in.Shards {
		in.Shards[i].Owner = in.Nodes[i%3].Ref
	}
	if got := len(Plan(in)); got != 2 {
		t.Errorf("got %d planned moves, want 2", got)
	}
	in.Nodes[0].Gone = true
	forced := 0
	for _, m := range Plan(in) {
		if m.Reason == OwnerGone {
			forced++
		}
	}
	if forced != 48 {
		t.Errorf("got %d forced moves, want 48", forced)
	}
}

func BenchmarkPlanZoneLoss(b *testing.B) {
	in := balancedInput(1200, 24, 19200)
	for i := range in.Nodes {
		in.Nodes[i].Gone = in.Nodes[i].Zone == "z1"
	}
	for b.Loop() {
		Plan(in)
	}
}

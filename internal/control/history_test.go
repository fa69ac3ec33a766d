package control

import (
	"testing"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// TestInheritedHistoryNeedsEveryEpoch checks that the history of an earlier
// owner is not used if a later owner is gone and therefore not listed.
func TestInheritedHistoryNeedsEveryEpoch(t *testing.T) {
	u := cluster.Unit{Service: "painel", Shard: 3}
	a := cluster.MemberRef{Name: "a", Incarnation: 1}
	b := cluster.MemberRef{Name: "b", Incarnation: 1}
	served := &wire.History{FloorMs: 7}
	never := &wire.History{NeverServed: true}
	cases := map[string]struct {
		epoch        uint64
		predecessors []cluster.Predecessor
		received     map[cluster.MemberRef]receivedRelease
		want         *wire.History
	}{
		"the last owner released": {
			epoch:        2,
			predecessors: []cluster.Predecessor{{MemberRef: a, Epoch: 1}},
			received:     map[cluster.MemberRef]receivedRelease{a: {epoch: 1, history: served}},
			want:         served,
		},
		"the last owner is gone, an earlier one released": {
			epoch:        3,
			predecessors: []cluster.Predecessor{{MemberRef: a, Epoch: 1}},
			received:     map[cluster.MemberRef]receivedRelease{a: {epoch: 1, history: served}},
		},
		"the last owner never served": {
			epoch:        3,
			predecessors: []cluster.Predecessor{{MemberRef: a, Epoch: 1}, {MemberRef: b, Epoch: 2}},
			received: map[cluster.MemberRef]receivedRelease{
				a: {epoch: 1, history: served}, b: {epoch: 2, history: never},
			},
			want: served,
		},
		"an owner in between is gone": {
			epoch:        4,
			predecessors: []cluster.Predecessor{{MemberRef: a, Epoch: 1}, {MemberRef: b, Epoch: 3}},
			received: map[cluster.MemberRef]receivedRelease{
				a: {epoch: 1, history: served}, b: {epoch: 3, history: never},
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &Machine{}
			m.units.init()
			m.units.receivedReleases[u] = c.received
			if got := m.inheritedHistory(u, c.epoch, c.predecessors); got != c.want {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

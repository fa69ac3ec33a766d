package cluster

import (
	"encoding/json"
	"reflect"
	"testing"
)

func TestGroupRoundTrip(t *testing.T) {
	a := MemberRef{Name: "a", Incarnation: 3}
	b := MemberRef{Name: "b", Incarnation: 1}
	g := Group{
		Service: "painel",
		First:   1024,
		Shards: []Assignment{
			{},
			{Owner: a, Epoch: 4},
			{Owner: b, Epoch: 9, Predecessors: []Predecessor{{MemberRef: a, Epoch: 8}}},
		},
		Pins:     []Pin{{Key: "k", Shard: 257, Assignment: Assignment{Owner: b, Epoch: 5}}},
		ChangeID: "c",
	}
	var got Group
	if err := json.Unmarshal(Encode(g), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, g) {
		t.Fatalf("got %+v, want %+v", got, g)
	}
}

func TestGroupRefusesBadIndexes(t *testing.T) {
	bad := map[string]string{
		"owner out of range":        `{"owners":[],"shards":[[0,1]]}`,
		"predecessors out of range": `{"shards":[],"moving":[{"index":0}]}`,
	}
	for name, in := range bad {
		t.Run(name, func(t *testing.T) {
			var g Group
			if err := json.Unmarshal([]byte(in), &g); err == nil {
				t.Fatal("group with a bad index was accepted")
			}
		})
	}
}

package view

import (
	"testing"

	"fulmarhinge/internal/cluster"
)

func TestServingSinceKeepsTheFirstTimeOfAnEpoch(t *testing.T) {
	var s Source
	u := cluster.Unit{Service: "s", Shard: 1}
	publish := func(state UnitState, epoch uint64) {
		s.Publish(&View{Owned: map[cluster.Unit]Ownership{u: {State: state, Epoch: epoch}}})
	}
	publish(Pending, 1)
	if _, ok := s.ServingSince(u, 1); ok {
		t.Fatal("a pending unit has a serving start")
	}
	publish(Serving, 1)
	first, ok := s.ServingSince(u, 1)
	publish(Serving, 1)
	if again, _ := s.ServingSince(u, 1); !ok || !again.Equal(first) {
		t.Fatal("the serving start changed within an epoch")
	}
	publish(Serving, 2)
	if _, ok := s.ServingSince(u, 1); ok {
		t.Fatal("an old epoch has a serving start")
	}
	if second, ok := s.ServingSince(u, 2); !ok || !second.After(first) {
		t.Fatal("a new epoch has no serving start of its own")
	}
}

func TestChangedIsClosedAtTheNextPublication(t *testing.T) {
	var s Source
	ch := s.Changed()
	select {
	case <-ch:
		t.Fatal("channel was closed before a publication")
	default:
	}
	s.Publish(&View{})
	<-ch
	if next := s.Changed(); next == ch {
		t.Fatal("the channel was not replaced")
	}
}
